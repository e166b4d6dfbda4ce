"""Options, faults and log records of the emulated back ends.

History checks compare what callers saw with these logs of what ran. All times in them are seconds
of the machine's monotonic clock, which is the same for all its processes.

A runner is the process on a VM that runs a model engine; controllers send it orders to join or leave
a group. A plain service is an ordinary HTTP service that serves no model. Each call
that it runs becomes an entry of its log, which is named a filing.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunnerOptions:
    """How an emulated runner behaves.

    Attributes:
        token_interval: Seconds between the steps of the batch; a step gives each stream one token.
        prefill_seconds: Seconds until the first token of a fully cached prompt.
        block_seconds: Further seconds for each block of the prompt that is not cached.
        cache_blocks: Blocks that the prefix cache holds.
        max_in_flight: Concurrent requests when warm; one more is refused.
        cold_limit: Concurrent requests during a cold start, the time after a model was loaded; one
            more crashes the runner.
        warm_requests: Number of finished requests that ends a cold start.
        warm_seconds: Seconds after which a cold start ends in any case.
        load_seconds: Time to load a model when there is no weight store.
        weight_store: Base URL of the weight store, empty for none.
        checks_fence: True to refuse a controller's order if its fencing token is lower than the
            highest that the runner has accepted.
        load_report_lag: Seconds for which the reported number of requests may be out of date.
    """

    token_interval: float = 0.02
    prefill_seconds: float = 0.01
    block_seconds: float = 0.0005
    cache_blocks: int = 4096
    max_in_flight: int = 64
    cold_limit: int = 2
    warm_requests: int = 8
    warm_seconds: float = 5.0
    load_seconds: float = 0.2
    weight_store: str = ""
    checks_fence: bool = True
    load_report_lag: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunnerFaults:
    """What a runner is made to do wrong.

    Attributes:
        freeze: True to do nothing, as a paused process does.
        slow: Factor on prefill and step times, to emulate a straggler.
        cross_answers: Number of coming requests that get the answer of the request before.
        truncate: Number of coming answers that end midway without an error.
        late: Seconds by which the first token of an answer is delayed.
        crash_on: Text in a request's body that crashes the runner.
    """

    freeze: bool = False
    slow: float = 1.0
    cross_answers: int = 0
    truncate: int = 0
    late: float = 0.0
    crash_on: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """One request that a runner ran.

    Attributes:
        request_id: Id of the request.
        vm_id: The runner's VM.
        group_id: Group that it ran in.
        generation: Generation of the group.
        started: When it started.
        finished: When it ended with any outcome, None while it runs.
        in_flight: Requests in flight when it started, itself included.
        cold: True if the runner was in a cold start when it started.
        cold_limit: The runner's `cold_limit` option.
        outcome: running, finished, cancelled or broken.
    """

    request_id: str
    vm_id: str
    group_id: str
    generation: int
    started: float
    finished: float | None = None
    in_flight: int = 1
    cold: bool = False
    cold_limit: int = 0
    outcome: str = "running"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Membership:
    """A span of time in which a runner was a member of a group with the model loaded.

    Attributes:
        vm_id: The runner's VM.
        group_id: Id of the group.
        generation: Generation of the group, which rises with each change of its members.
        members: Ids of the VMs of the group.
        began: When the model was loaded.
        ended: When the membership ended, None while it lasts.
    """

    vm_id: str
    group_id: str
    generation: int
    members: tuple[str, ...]
    began: float
    ended: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Filing:
    """A log entry of a plain service: one call that it ran.

    Attributes:
        request_id: Id of the request.
        key: Idempotency key, empty for none.
        instance: The instance of the service that ran it.
        path: Path of the request.
        digest: SHA-256 of the body in hexadecimal.
        at: When it ran.
    """

    request_id: str
    key: str
    instance: str
    path: str
    digest: str
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceFaults:
    """What a plain service is made to do wrong.

    Attributes:
        late: Seconds between running a call and answering it.
        drop_after: Number of coming calls that run and whose connection is then closed unanswered.
        drop_before: Number of coming calls whose connection is closed before they run.
        refuse: Number of coming calls that are answered 503 without running.
        cross_answers: Number of coming answers that carry the id of the request before.
        freeze: True to answer nothing.
    """

    late: float = 0.0
    drop_after: int = 0
    drop_before: int = 0
    refuse: int = 0
    cross_answers: int = 0
    freeze: bool = False
