"""The fleet of two years from now, and what each role of a node costs there.

A cost is an amount of work, derived from the fleet's size and the protocols' intervals, times a
measured slope. Amounts are written here once, with the text that the page shows for them.
"""

import dataclasses
import enum

DAY_SECONDS = 86_400


class Resource(enum.Enum):
    """What a cost is counted in; the unit is part of the name."""

    CPU = "% of a core"
    MEMORY = "MB"
    NETWORK = "KB/s"
    WRITES = "store writes/s"
    READS = "store reads/s"
    STATE = "KB of state"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fleet:
    """Sizes that the page is worked out for.

    Attributes:
        nodes: Nodes.
        runners: Runners, one a VM.
        requests_per_second: Requests of all callers.
        tokens_per_second: Generated tokens.
        changes_per_day: Changes of configuration.
        failures_per_day: VMs that fail.
        replacements_per_day: VMs that are restarted or replaced.
        regions: Regions.
        failure_domains: Failure domains.
        vms_per_group: VMs that one group spans.
        vms_per_fabric_domain: VMs with a fast interconnect among them.
        plain_instances: Instances of plain services.
        filing_share: Share of requests that may not be repeated.
        stream_seconds: Length of an average answer.
        config_objects: Objects of configuration.
        neighbours: Streams that a node opens.
        table_writes_per_change: Writes of a table until a lost or replaced VM's group serves again.
        object_bytes: Size of an average object of configuration.
    """

    nodes: int = 420
    runners: int = 3_200
    requests_per_second: float = 9_800
    tokens_per_second: float = 2_400_000
    changes_per_day: float = 6_600
    failures_per_day: float = 20
    replacements_per_day: float = 890
    regions: int = 3
    failure_domains: int = 10
    vms_per_group: int = 8
    vms_per_fabric_domain: int = 40
    plain_instances: int = 120
    filing_share: float = 0.01
    stream_seconds: float = 10.0
    config_objects: int = 1_500
    neighbours: int = 6
    table_writes_per_change: float = 6.0
    object_bytes: float = 1_000

    @property
    def groups(self) -> int:
        """Returns the groups of all model services."""
        return self.runners // self.vms_per_group

    @property
    def fabric_domains(self) -> int:
        """Returns the fabric domains, each with one table and one controller."""
        return self.runners // self.vms_per_fabric_domain

    @property
    def targets(self) -> int:
        """Returns the groups and the instances of plain services."""
        return self.groups + self.plain_instances

    @property
    def domains_per_node(self) -> int:
        """Returns the fabric domains that a controlling node holds, rounded up."""
        return -(-self.fabric_domains // self.nodes)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """What the control work of a node, and all nodes' calls of the store, must stay below."""

    cpu: float = 1.5
    memory: float = 128.0
    network: float = 21.0
    store_writes: float = 300.0
    store_reads: float = 2_000.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cost:
    """One line of a role's table.

    Attributes:
        role: The role.
        resource: What it costs.
        what: The work.
        amount: How much of it, in units of the slope's size, a second where the resource is a rate.
        amount_text: How the amount follows from the fleet.
        slope: Name of the measured slope, empty for a plain count.
        each: Size of one message or run; its cost is then the slope's line at that size, base
            included, and `amount` counts messages or runs.
        scale: Factor from the slope's unit to the resource's.
        node_share: Share of the nodes that bear it.
        mechanism: What carries it.
    """

    role: str
    resource: Resource
    what: str
    amount: float
    amount_text: str
    slope: str = ""
    each: float | None = None
    scale: float = 1.0
    node_share: float = 1.0
    mechanism: str = ""


CPU_SCALE = 100.0
KILO = 1e-3
MEGA = 1e-6

ROLES = (
    "gateway",
    "peer fabric",
    "controller",
    "credits",
    "ledger",
    "probing",
    "administration",
    "configuration",
)
CONTROL_ROLES = ROLES[1:]
