"""What the work between nodes and targets costs: controllers, credits and probes."""

from basilpost.load import capacity_model as model
from basilpost.settings import schema

Resource = model.Resource

_ASKS_PER_CREDIT = 4

_LIST_CHANGES_PER_MOVE = 3.0


def table_writes_per_second(fleet: model.Fleet) -> float:
    """Returns the writes of all group tables a second on an ordinary day."""
    moves = fleet.failures_per_day + fleet.replacements_per_day
    return moves * fleet.table_writes_per_change / model.DAY_SECONDS


def controller(fleet: model.Fleet, timing: schema.Timing) -> list[model.Cost]:
    """Returns the costs of the role."""
    writes = table_writes_per_second(fleet)
    groups = fleet.targets / fleet.fabric_domains
    controlling = min(1.0, fleet.fabric_domains / fleet.nodes)
    return [
        model.Cost(
            role="controller",
            resource=Resource.STATE,
            what="one group table",
            amount=1,
            each=groups,
            amount_text=f"{groups:.1f} groups a table, {fleet.fabric_domains} tables",
            slope="state.table_bytes_by_groups",
            scale=model.KILO,
            mechanism="one object a fabric domain, below the API's megabyte",
        ),
        model.Cost(
            role="controller",
            resource=Resource.MEMORY,
            what="all tables, decoded on every node",
            amount=fleet.targets,
            amount_text=f"{fleet.targets} targets",
            slope="state.memory_by_groups",
            scale=model.MEGA,
            mechanism="every node knows every table",
        ),
        model.Cost(
            role="controller",
            resource=Resource.CPU,
            what="changed tables, decoded on every node",
            amount=writes,
            each=groups,
            amount_text=f"{writes:.3f} writes/s of {groups:.1f} groups",
            slope="state.decode_cpu_by_groups",
            scale=model.CPU_SCALE,
            mechanism="only the changed table is decoded",
        ),
        model.Cost(
            role="controller",
            resource=Resource.CPU,
            what="routing tables remade on every node",
            amount=writes,
            each=fleet.targets,
            amount_text=f"{writes:.3f} changes/s, {fleet.targets} targets",
            slope="requests.directory_change_cpu_by_groups",
            scale=model.CPU_SCALE,
            mechanism="remade whole at each change of any table",
        ),
        model.Cost(
            role="controller",
            resource=Resource.WRITES,
            what="tables",
            amount=writes,
            amount_text=(
                f"{fleet.failures_per_day + fleet.replacements_per_day:.0f} VMs/day x "
                f"{fleet.table_writes_per_change:g} writes"
            ),
            mechanism="one conditional update a step of a group's life",
        ),
        *_vm_list(fleet, timing),
        model.Cost(
            role="controller",
            resource=Resource.CPU,
            what="planning rounds",
            amount=fleet.domains_per_node / timing.plan,
            each=fleet.vms_per_fabric_domain,
            amount_text=f"{fleet.vms_per_fabric_domain} VMs / {timing.plan:g} s",
            slope="groups.round_cpu_by_vms",
            scale=model.CPU_SCALE,
            node_share=controlling,
            mechanism="rendezvous hashing spreads the fabric domains over the nodes",
        ),
    ]


def _vm_list(fleet: model.Fleet, timing: schema.Timing) -> list[model.Cost]:
    vms = fleet.runners + fleet.plain_instances
    moves = fleet.failures_per_day + fleet.replacements_per_day
    changes = min(moves * _LIST_CHANGES_PER_MOVE / model.DAY_SECONDS, 1 / timing.vm_list)
    return [
        model.Cost(
            role="controller",
            resource=resource,
            what="the VM list, when it has changed",
            amount=changes,
            each=vms,
            amount_text=f"{vms:,} VMs, {changes:.3f} changes/s",
            slope=slope,
            scale=scale,
            node_share=min(1.0, fleet.fabric_domains / fleet.nodes),
            mechanism="read by nodes that hold a domain; 304 while unchanged, else compressed",
        )
        for resource, slope, scale in (
            (Resource.NETWORK, "state.vm_list_packed_bytes", model.KILO),
            (Resource.CPU, "state.vm_list_decode_cpu", model.CPU_SCALE),
        )
    ]


def credits(fleet: model.Fleet, timing: schema.Timing) -> list[model.Cost]:
    """Returns the costs of the role."""
    domains = fleet.fabric_domains / fleet.failure_domains
    rate = _ASKS_PER_CREDIT / timing.credit
    targets = fleet.targets / fleet.fabric_domains
    asks = domains * rate
    near_nodes = fleet.nodes / fleet.failure_domains
    answers = near_nodes * rate * fleet.domains_per_node
    controlling = min(1.0, fleet.fabric_domains / fleet.nodes)
    asking = f"{domains:.0f} controllers of the own failure domain x {rate:g}/s"
    granting = f"{near_nodes:.0f} nodes of the own failure domain x {rate:g}/s"

    def line(resource: Resource, what: str, slope: str, granted: bool) -> model.Cost:
        return model.Cost(
            role="credits",
            resource=resource,
            what=what,
            amount=answers if granted else asks,
            each=targets,
            amount_text=f"{granting if granted else asking}, {targets:.1f} targets each",
            slope=slope,
            scale=model.CPU_SCALE if resource is Resource.CPU else model.KILO,
            node_share=controlling if granted else 1.0,
            mechanism="all targets of one controller in one message",
        )

    return [
        line(Resource.NETWORK, "asking", "credits.ask_bytes", False),
        line(Resource.NETWORK, "answers to asks", "credits.reply_bytes", False),
        line(Resource.CPU, "encoding asks", "credits.ask_encode_cpu", False),
        line(Resource.CPU, "decoding answers", "credits.reply_decode_cpu", False),
        line(Resource.NETWORK, "being asked", "credits.ask_bytes", True),
        line(Resource.NETWORK, "granting", "credits.reply_bytes", True),
        line(Resource.CPU, "decoding asks", "credits.ask_decode_cpu", True),
        line(Resource.CPU, "encoding grants", "credits.reply_encode_cpu", True),
    ]


def probing(fleet: model.Fleet, timing: schema.Timing) -> list[model.Cost]:
    """Returns the costs of the role."""
    vms = fleet.vms_per_fabric_domain + fleet.plain_instances / fleet.fabric_domains
    probes = fleet.domains_per_node * vms / timing.probe
    controlling = min(1.0, fleet.fabric_domains / fleet.nodes)
    text = f"{vms:.1f} VMs / {timing.probe:g} s"
    return [
        model.Cost(
            role="probing",
            resource=resource,
            what="status of every VM of a domain",
            amount=probes,
            amount_text=text,
            slope=slope,
            scale=scale,
            node_share=controlling,
            mechanism="only a domain's controller probes; connections are kept",
        )
        for resource, slope, scale in (
            (Resource.CPU, "probing.cpu", model.CPU_SCALE),
            (Resource.NETWORK, "probing.bytes", model.KILO),
        )
    ]
