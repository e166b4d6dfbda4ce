"""The records of a questionnaire's answers; the metadata of each field is its question.

The terminal, the check of an answers file, the generated comments and the operators' page all read
the same metadata, so they cannot disagree.
"""

import dataclasses

from basilpost.settings import checks, questions

MODEL = "model"
PLAIN = "plain"

_MAX_REQUESTS = 100_000
_MAX_SECONDS = 86_400
_PORT = checks.Between(low=1, high=65_535)


@dataclasses.dataclass(frozen=True, kw_only=True)
class FailureDomain:
    """Answers about a failure domain."""

    name: str = questions.answer_field(
        "What is the failure domain called?",
        "VMs that fail or are taken out together, as the platform's VM list names them.",
        checks.Name(),
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """Answers about the calls of a plain service with one method and path prefix."""

    method: str = questions.answer_field(
        "Which HTTP method do the calls use?",
        "`*` stands for all methods.",
        checks.OneOf(words=("*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")),
        default="*",
    )
    path: str = questions.answer_field(
        "Below which path are the calls?",
        "The longest path that fits a call decides about it.",
        checks.Path(),
    )
    may_repeat: bool = questions.answer_field(
        "May a call be repeated without harm?",
        "Yes for look-ups. With no, a call runs at most once; it needs an idempotency key.",
        checks.YesOrNo(),
        default=False,
    )
    outcome_path: str = questions.answer_field(
        "Where does the service tell what became of a call?",
        "A path with {key} for the idempotency key. Without one, an operator settles calls whose "
        "answer was lost.",
        checks.Path(keyed=True),
        default="",
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """Answers about a service."""

    name: str = questions.answer_field(
        "What is the service called?",
        "Callers use the name, for a model service as the model.",
        checks.Name(),
    )
    kind: str = questions.answer_field(
        "Do model engines serve it, or plain application instances?",
        "Model engines form groups over several VMs; a plain instance is one VM.",
        checks.OneOf(words=(MODEL, PLAIN)),
        default=MODEL,
    )
    pool: str = questions.answer_field(
        "Which pool of VMs serves it?",
        "The pool's name in the platform's VM list; the service uses all VMs of the pool.",
        checks.Name(),
    )
    model: str = questions.answer_field(
        "Which model is loaded?",
        "Its name in the weight store.",
        checks.Text(),
        default="",
        only_for=MODEL,
    )
    model_version: str = questions.answer_field(
        "Which version of the model?",
        "A change of the version later loads the new one group by group.",
        checks.Text(),
        default="",
        only_for=MODEL,
    )
    vms_per_group: int = questions.answer_field(
        "How many VMs does one replica of the model span?",
        "Only a group that is complete serves. All its VMs share a fabric domain.",
        checks.Between(low=1, high=64),
        default=1,
        only_for=MODEL,
    )
    requests_at_once: int = questions.answer_field(
        "How many requests does one warm target bear at once?",
        "More wait in the queue of the system. Take the engine's batch size or a load test.",
        checks.Between(low=1, high=_MAX_REQUESTS),
        default=16,
    )
    cold_requests_at_once: int = questions.answer_field(
        "How many requests does one target bear at once in a cold start?",
        "A target in a cold start never gets more. When in doubt take 1.",
        checks.Between(low=1, high=_MAX_REQUESTS),
        default=2,
    )
    cold_seconds: float = questions.answer_field(
        "How long does a cold start last at least, in seconds?",
        "After it a target counts as warm once it answers as fast as the others.",
        checks.Between(low=0, high=3600),
        default=5.0,
    )
    checks_fence: bool = questions.answer_field(
        "Do the engines refuse orders with an old fencing number?",
        "With no, a new controller waits until old orders cannot arrive any more.",
        checks.YesOrNo(),
        default=False,
        only_for=MODEL,
    )
    answer_seconds: float = questions.answer_field(
        "Within how many seconds does a caller need the whole answer?",
        "Requests that name no deadline get this one; what cannot meet it is refused at once.",
        checks.Between(low=0.1, high=_MAX_SECONDS),
        default=60.0,
    )
    silence_seconds: float = questions.answer_field(
        "After how many silent seconds is a running answer given up?",
        "Longer than the longest pause between two tokens, or than the slowest plain call.",
        checks.Between(low=0.1, high=_MAX_SECONDS),
        default=5.0,
    )
    calls: tuple[Call, ...] = questions.section_field(
        "kinds of calls", "kind of call", Call, at_least=1, only_for=PLAIN
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Workspace:
    """Answers about a workspace."""

    name: str = questions.answer_field(
        "What is the workspace called?",
        "A workspace has its own API keys and limits; one for each team or application.",
        checks.Name(),
    )
    services: tuple[str, ...] = questions.answer_field(
        "Which services may it call?",
        "Names separated by commas; nothing for all.",
        checks.Names(),
        default=(),
    )
    share: float = questions.answer_field(
        "How large is its share when capacity is short?",
        "Relative to the other workspaces of the same priority.",
        checks.Between(low=0.01, high=1000),
        default=1.0,
    )
    priority: int = questions.answer_field(
        "How urgent are its requests?",
        "0 for people who wait, 1 for ordinary work, 2 and more for what may wait.",
        checks.Between(low=0, high=9),
        default=1,
    )
    requests_at_once: int = questions.answer_field(
        "How many requests may it have in flight through one node?",
        "Beyond that its requests are refused, to protect the others.",
        checks.Between(low=1, high=_MAX_REQUESTS),
        default=256,
    )
    requests_per_second: float = questions.answer_field(
        "How many requests a second may it send through one node on average?",
        "Short bursts above are allowed; see the next question.",
        checks.Between(low=0.01, high=_MAX_REQUESTS),
        default=500.0,
    )
    burst: float = questions.answer_field(
        "How many requests may it send at once above its rate?",
        "About a second's worth suits people, more suits batches.",
        checks.Between(low=1, high=_MAX_REQUESTS),
        default=500.0,
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Node:
    """Answers about a VM that runs a node of the system."""

    name: str = questions.answer_field(
        "What is the node called?", "A name that no other node has.", checks.Name()
    )
    failure_domain: str = questions.answer_field(
        "In which failure domain does it run?",
        "Requests stay in the same failure domain where they can.",
        checks.Name(),
    )
    address: str = questions.answer_field(
        "What is its IP number?", "All other nodes have to reach it.", checks.Address()
    )
    gateway_port: int = questions.answer_field(
        "On which port do callers reach it?", "The balancer sends there.", _PORT, default=8080
    )
    admin_port: int = questions.answer_field(
        "On which port do operators reach it?",
        "Keep it closed to callers.",
        _PORT,
        default=7001,
    )
    peer_port: int = questions.answer_field(
        "On which port do the other nodes reach it?",
        "Keep it closed to all but the nodes.",
        _PORT,
        default=7002,
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Platform:
    """Answers about the platform, needed for the settings of nodes."""

    object_api: str = questions.answer_field(
        "Where is the platform's object API?",
        "Configuration and everything else that must last is kept there.",
        checks.Url(),
    )
    vm_list: str = questions.answer_field(
        "Where is the platform's VM list?",
        "Groups are formed from the VMs that it shows.",
        checks.Url(),
    )
    peer_secret: str = questions.answer_field(
        "Which secret do the nodes share?",
        "A node without it is not let in. Leave it out here and put it into the nodes' settings "
        "by your own means if the answers are kept where others can read them.",
        checks.Text(optional=True, shortest=16),
        default="",
    )
    admin_token_digest: str = questions.answer_field(
        "What is the digest of the first operator's token?",
        "SHA-256 of a long random text; with the text you make the accounts of all others.",
        checks.OptionalDigest(),
        default="",
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answers:
    """All answers of a team."""

    team: str = questions.answer_field(
        "What is your team called?", "For comments only.", checks.Text()
    )
    region: str = questions.answer_field(
        "In which region are your failure domains?",
        "Nodes and targets of one region are close to each other.",
        checks.Name(),
    )
    failure_domains: tuple[FailureDomain, ...] = questions.section_field(
        "failure domains", "failure domain", FailureDomain, at_least=1
    )
    services: tuple[Service, ...] = questions.section_field(
        "services", "service", Service, at_least=1
    )
    workspaces: tuple[Workspace, ...] = questions.section_field(
        "workspaces", "workspace", Workspace, at_least=1
    )
    platform: tuple[Platform, ...] = questions.section_field("platforms", "platform", Platform)
    nodes: tuple[Node, ...] = questions.section_field("nodes", "node", Node)
