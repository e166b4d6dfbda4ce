"""Emulates a plain service, an HTTP service without a model, such as a deposit ledger.

It runs every call and ignores idempotency keys, so that a call that the system sends twice appears
as two entries in its log.
"""

import asyncio
import dataclasses
import hashlib

from basilpost.core import clock, names
from basilpost.emulator import records, server, silent_connections


class PlainService(server.EmulatedServer):
    """One instance of a plain service.

    Attributes:
        instance: Name of the instance.
        run_seconds: Time that a call takes.
        faults: What the instance is made to do wrong.
        filings: Log of the calls that it ran, one filing for each.
        unfrozen: Set unless the fault `freeze` is in force.
    """

    def __init__(
        self,
        *,
        instance: str,
        run_seconds: float = 0.005,
        host: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        super().__init__(host=host, port=port)
        self.instance = instance
        self.run_seconds = run_seconds
        self.faults = records.ServiceFaults()
        self.filings: list[records.Filing] = []
        self.unfrozen = asyncio.Event()
        self.unfrozen.set()
        self._last_request_id = "none"

    def routes(self) -> server.Routes:
        """Returns the handlers of the service."""
        arguments = {"owner": self}
        return [
            (r"/healthz", _HealthHandler, arguments),
            (r"/faults", _FaultsHandler, arguments),
            (r"/log", _LogHandler, arguments),
            (r"/outcomes/(.+)", _OutcomeHandler, arguments),
            (r"/catalogue/(.+)", _CatalogueHandler, arguments),
            (r"/.*", _CallHandler, arguments),
        ]

    def run(self, *, request_id: str, key: str, path: str, body: bytes) -> records.Filing:
        """Logs a call as run and returns its log entry."""
        filing = records.Filing(
            request_id=request_id,
            key=key,
            instance=self.instance,
            path=path,
            digest=hashlib.sha256(body).hexdigest(),
            at=clock.monotonic(),
        )
        self.filings.append(filing)
        return filing

    def ran(self, key: str) -> bool:
        """Returns True if a call with that idempotency key ran on this instance."""
        return any(filing.key == key for filing in self.filings)

    def answered_id(self, request_id: str) -> str:
        """Returns the request id that an answer carries.

        With the fault `cross_answers` it is the id of the request before.
        """
        crossed, self._last_request_id = self._last_request_id, request_id
        return crossed if self.consume_fault("cross_answers") else request_id

    def consume_fault(self, fault: str) -> bool:
        """Decrements the counter of a fault and returns True, or returns False if it is 0."""
        remaining = getattr(self.faults, fault)
        if remaining <= 0:
            return False
        self.faults = dataclasses.replace(self.faults, **{fault: remaining - 1})
        return True

    def set_faults(self, faults: records.ServiceFaults) -> None:
        """Replaces the faults that are in force."""
        self.faults = faults
        if faults.freeze:
            self.unfrozen.clear()
        else:
            self.unfrozen.set()


class _ServiceHandler(server.JsonHandler):
    def initialize(self, owner: PlainService) -> None:
        self.owner = owner

    async def prepare(self) -> None:
        await self.owner.silent_connections.block_if_silent(self.request)
        await self.owner.unfrozen.wait()

    @property
    def request_id(self) -> str:
        """Returns the id of the request."""
        return self.request.headers.get(names.REQUEST_ID_HEADER, "")

    def echo_id(self) -> None:
        """Sets the header with the id of the request that the answer belongs to."""
        self.set_header(names.REQUEST_ID_HEADER, self.owner.answered_id(self.request_id))


class _HealthHandler(_ServiceHandler):
    def get(self) -> None:
        self.answer({"instance": self.owner.instance})


class _OutcomeHandler(_ServiceHandler):
    def get(self, key: str) -> None:
        self.echo_id()
        self.answer({"key": key, "ran": self.owner.ran(key)})


class _CatalogueHandler(_ServiceHandler):
    async def get(self, item: str) -> None:
        await asyncio.sleep(self.owner.run_seconds + self.owner.faults.late)
        if self.owner.consume_fault("drop_before") or self.owner.consume_fault("drop_after"):
            self.drop_connection()
            return
        self.echo_id()
        self.answer({"id": item, "title": f"clip {item}", "instance": self.owner.instance})


class _CallHandler(_ServiceHandler):
    async def post(self) -> None:
        owner = self.owner
        if owner.consume_fault("refuse"):
            self.echo_id()
            self.set_header(names.OUTCOME_HEADER, "not-run")
            self.answer({"error": {"code": "full"}}, status=503)
            return
        if owner.consume_fault("drop_before"):
            self.drop_connection()
            return
        await asyncio.sleep(owner.run_seconds)
        filing = owner.run(
            request_id=self.request_id,
            key=self.request.headers.get(names.IDEMPOTENCY_HEADER, ""),
            path=self.request.path,
            body=self.request.body,
        )
        number = len(owner.filings)
        await asyncio.sleep(owner.faults.late)
        if owner.consume_fault("drop_after"):
            self.drop_connection()
            return
        self.echo_id()
        receipt = {
            "receipt": f"{owner.instance}-{number}",
            "instance": owner.instance,
            "key": filing.key,
            "digest": filing.digest,
        }
        self.answer(receipt, status=201)


class _FaultsHandler(server.JsonHandler):
    def initialize(self, owner: PlainService) -> None:
        self.owner = owner

    def post(self) -> None:
        body = self.body_json()
        if body.pop("silent", False):
            self.owner.silent_connections.silence_open_connections(
                except_for=silent_connections.stream_of(self.request)
            )
        self.owner.set_faults(dataclasses.replace(self.owner.faults, **body))
        self.answer_nothing()


class _LogHandler(_ServiceHandler):
    def get(self) -> None:
        filings = [dataclasses.asdict(filing) for filing in self.owner.filings]
        self.answer({"instance": self.owner.instance, "filings": filings})
