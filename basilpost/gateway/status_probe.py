"""Asks a VM's runner for its status, to see whether anything passes on the way to it and back."""

import asyncio
from collections.abc import Awaitable, Callable

import tornado.httputil

from basilpost.core import catalog, channels
from basilpost.members import knowledge as knowledges
from basilpost.members import path_probe
from basilpost.routing import header_dialect

# Opens a new connection to an address within some seconds.
Connect = Callable[[str, float], Awaitable[channels.Channel | channels.ConnectFailed]]


class StatusProbe:
    """Sends status requests, each on a connection of its own: an open one may be silent for good."""

    def __init__(
        self,
        *,
        connect: Connect,
        dialect: header_dialect.HeaderDialect,
        knowledge: knowledges.Knowledge,
    ) -> None:
        self._connect = connect
        self._dialect = dialect
        self._knowledge = knowledge

    async def ask(self, vm: catalog.Vm) -> path_probe.Contact:
        """Sends a status request; an answer of any status shows that there is a path."""
        channel = await self._connect(vm.address, path_probe.CONNECT_SECONDS)
        if isinstance(channel, channels.ConnectFailed):
            return path_probe.Contact.UNREACHED
        heads: list[channels.Head] = []
        try:
            async with asyncio.timeout(path_probe.ANSWER_SECONDS):
                channel.send("GET", self._path(vm), _headers(vm), b"")
                await channel.receive(on_head=heads.append, on_data=lambda data: None)
        except TimeoutError:
            return path_probe.Contact.ANSWERED if heads else path_probe.Contact.SILENT
        finally:
            channel.close()
        return path_probe.Contact.ANSWERED if heads else path_probe.Contact.UNREACHED

    def _path(self, vm: catalog.Vm) -> str:
        configuration = self._knowledge.configuration
        services_by_name = configuration.services_by_name if configuration is not None else {}
        return self._dialect.status_path(services_by_name.get(vm.service))


def _headers(vm: catalog.Vm) -> tornado.httputil.HTTPHeaders:
    return tornado.httputil.HTTPHeaders({"Host": vm.address, "Connection": "close"})
