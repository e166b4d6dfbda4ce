"""Types of the capacity model: the fleet projected for two years from now, its limits, and costs.

A cost is an amount of work, derived from the fleet's size and the protocols' intervals, times a
measured slope. Each amount is kept with the text that the capacity page shows for it.
"""

import dataclasses
import enum

DAY_SECONDS = 86_400


class Resource(enum.Enum):
    """A resource that work uses up; the value is the unit shown on the page."""

    CPU = "% of a core"
    MEMORY = "MB"
    NETWORK = "KB/s"
    WRITES = "store writes/s"
    READS = "store reads/s"
    STATE = "KB of state"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fleet:
    """Fleet sizes and rates for which the costs are calculated.

    Attributes:
        nodes: Number of nodes.
        runners: Number of runners, one on each VM.
        requests_per_second: Rate of requests of all callers together.
        tokens_per_second: Rate of generated tokens.
        changes_per_day: Configuration changes.
        failures_per_day: VMs that fail.
        replacements_per_day: VMs that are restarted or replaced.
        regions: Number of regions.
        failure_domains: Number of failure domains.
        vms_per_group: VMs that one group spans.
        vms_per_fabric_domain: VMs that share a fast interconnect.
        plain_instances: Number of instances of plain services.
        filing_share: Share of requests that must not run twice.
        stream_seconds: Length of an average answer.
        config_objects: Number of configuration objects.
        neighbours: Peer streams that each node opens.
        table_writes_per_change: Writes of a group table from the loss or replacement of a VM until
            its group serves again.
        object_bytes: Size of an average configuration object.
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
        """Number of groups of all model services."""
        return self.runners // self.vms_per_group

    @property
    def fabric_domains(self) -> int:
        """Number of fabric domains; each has one group table and one controller."""
        return self.runners // self.vms_per_fabric_domain

    @property
    def targets(self) -> int:
        """Number of groups and of instances of plain services together."""
        return self.groups + self.plain_instances

    @property
    def domains_per_node(self) -> int:
        """Fabric domains for each node, rounded up."""
        return -(-self.fabric_domains // self.nodes)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Upper limits for the control work of one node and for the store calls of all nodes together.

    Attributes:
        cpu: Percent of a core.
        memory: Megabytes.
        network: Kilobytes a second.
        store_writes: Writes a second of all nodes.
        store_reads: Reads a second of all nodes.
    """

    cpu: float = 1.5
    memory: float = 128.0
    network: float = 21.0
    store_writes: float = 300.0
    store_reads: float = 2_000.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cost:
    """The cost of one kind of work of a role, a line of its table on the page.

    Attributes:
        role: One of ROLES.
        resource: Resource that the work uses.
        work: Description of the work.
        amount: Amount of work in units of the slope's size, a second where the resource is a rate.
        amount_text: How the amount is derived, as shown on the page.
        slope: Name of the measured slope, empty for a plain count.
        unit_size: Size of one message or run. If given, `amount` counts messages or runs, and each
            costs the value of the slope's line at that size, base included.
        scale: Factor from the slope's value unit to the resource's unit.
        node_share: Share of the nodes that do the work.
        mechanism: How the system keeps the cost bounded.
    """

    role: str
    resource: Resource
    work: str
    amount: float
    amount_text: str
    slope: str = ""
    unit_size: float | None = None
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
