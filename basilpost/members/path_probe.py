"""Status requests to a few VMs, which show whether there is a path to them.

Evidence of a path is an answer, not a connection: a middlebox, or the backlog of a process that has
stopped, opens connections on which nothing passes. One VM that answers is enough.
"""

import asyncio
import enum
import itertools
import random
from collections.abc import Awaitable, Callable, Iterable

from basilpost.core import catalog

# VMs that are asked, the first of them alone for a moment: mostly it answers.
CHECKED_VMS = 4
ALONE_SECONDS = 0.05
CONNECT_SECONDS = 0.3
# Time from the open connection to the head of the answer. Runners answer such a request within
# milliseconds, without a slot or after a few others.
ANSWER_SECONDS = 0.5
# A path that was found this short a time ago is not probed again.
FRESH_SECONDS = 0.05
# After a probe that took longer, this process was itself delayed, and its failure says nothing.
LATE_SECONDS = 2 * (ALONE_SECONDS + CONNECT_SECONDS + ANSWER_SECONDS)


class Contact(enum.Enum):
    """What came of a status request to a VM.

    UNREACHED: no connection opened, or it was closed without an answer. SILENT: it stayed open without
    one. ANSWERED: an answer of any status began.
    """

    UNREACHED = "unreached"
    SILENT = "silent"
    ANSWERED = "answered"


# Sends a VM a status request on a new connection; takes at most `CONNECT_SECONDS` and `ANSWER_SECONDS`.
Ask = Callable[[catalog.Vm], Awaitable[Contact]]


async def ask_any(ask: Ask, vms: Iterable[catalog.Vm]) -> Contact:
    """Asks some VMs, the first one a moment earlier; returns `ANSWERED` as soon as one answers.

    Otherwise it returns `SILENT` if a connection to one of them stayed open, `UNREACHED` if none did.
    """
    first, *others = vms
    requests = [asyncio.ensure_future(ask(first))]
    best = Contact.UNREACHED
    try:
        done, _ = await asyncio.wait(requests, timeout=ALONE_SECONDS)
        if done and requests[0].result() is Contact.ANSWERED:
            return Contact.ANSWERED
        requests += [asyncio.ensure_future(ask(vm)) for vm in others]
        for request in asyncio.as_completed(requests):
            contact = await request
            if contact is Contact.ANSWERED:
                return contact
            if contact is Contact.SILENT:
                best = contact
        return best
    finally:
        for task in requests:
            task.cancel()


def choose_vms(vms: Iterable[catalog.Vm], *, rng: random.Random) -> list[catalog.Vm]:
    """Returns up to `CHECKED_VMS` random VMs, from as many failure domains as possible.

    VMs that are leaving are passed over unless there are no others.
    """
    known = list(vms)
    candidates = [vm for vm in known if not vm.leaving] or known
    vms_by_domain: dict[str, list[catalog.Vm]] = {}
    for vm in rng.sample(candidates, len(candidates)):
        vms_by_domain.setdefault(vm.failure_domain, []).append(vm)
    in_turn = itertools.chain.from_iterable(itertools.zip_longest(*vms_by_domain.values()))
    return [vm for vm in in_turn if vm is not None][:CHECKED_VMS]
