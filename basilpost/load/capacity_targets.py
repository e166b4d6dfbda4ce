"""Costs of the work between nodes and targets: controllers, credits and probes."""

from basilpost.load import capacity_model as model
from basilpost.settings import schema

Resource = model.Resource

_ASKS_PER_CREDIT_LIFETIME = 4

_LIST_CHANGES_PER_VM_CHANGE = 3.0


def table_writes_per_second(fleet: model.Fleet) -> float:
    """Returns the writes a second of all group tables together on an ordinary day."""
    vm_changes_per_day = fleet.failures_per_day + fleet.replacements_per_day
    return vm_changes_per_day * fleet.table_writes_per_change / model.DAY_SECONDS


def controller_costs(fleet: model.Fleet, timing: schema.Timing) -> list[model.Cost]:
    """Returns the costs of planning, group tables, routing tables and the VM list."""
    writes = table_writes_per_second(fleet)
    targets_per_domain = fleet.targets / fleet.fabric_domains
    controlling_share = min(1.0, fleet.fabric_domains / fleet.nodes)
    return [
        model.Cost(
            role="controller",
            resource=Resource.STATE,
            work="one group table",
            amount=1,
            unit_size=targets_per_domain,
            amount_text=f"{targets_per_domain:.1f} groups a table, {fleet.fabric_domains} tables",
            slope="state.table_bytes_by_groups",
            scale=model.KILO,
            mechanism="one object a fabric domain, below the API's megabyte",
        ),
        model.Cost(
            role="controller",
            resource=Resource.MEMORY,
            work="all tables, decoded on every node",
            amount=fleet.targets,
            amount_text=f"{fleet.targets} targets",
            slope="state.memory_by_groups",
            scale=model.MEGA,
            mechanism="every node knows every table",
        ),
        model.Cost(
            role="controller",
            resource=Resource.CPU,
            work="changed tables, decoded on every node",
            amount=writes,
            unit_size=targets_per_domain,
            amount_text=f"{writes:.3f} writes/s of {targets_per_domain:.1f} groups",
            slope="state.decode_cpu_by_groups",
            scale=model.CPU_SCALE,
            mechanism="only the changed table is decoded",
        ),
        model.Cost(
            role="controller",
            resource=Resource.CPU,
            work="routing tables remade on every node",
            amount=writes,
            unit_size=fleet.targets,
            amount_text=f"{writes:.3f} changes/s, {fleet.targets} targets",
            slope="requests.directory_change_cpu_by_groups",
            scale=model.CPU_SCALE,
            mechanism="remade whole at each change of any table",
        ),
        model.Cost(
            role="controller",
            resource=Resource.WRITES,
            work="tables",
            amount=writes,
            amount_text=(
                f"{fleet.failures_per_day + fleet.replacements_per_day:.0f} VMs/day x "
                f"{fleet.table_writes_per_change:g} writes"
            ),
            mechanism="one conditional update a step of a group's life",
        ),
        *_vm_list_costs(fleet, timing),
        model.Cost(
            role="controller",
            resource=Resource.CPU,
            work="planning rounds",
            amount=fleet.domains_per_node / timing.plan,
            unit_size=fleet.vms_per_fabric_domain,
            amount_text=f"{fleet.vms_per_fabric_domain} VMs / {timing.plan:g} s",
            slope="groups.round_cpu_by_vms",
            scale=model.CPU_SCALE,
            node_share=controlling_share,
            mechanism="rendezvous hashing spreads the fabric domains over the nodes",
        ),
    ]


def _vm_list_costs(fleet: model.Fleet, timing: schema.Timing) -> list[model.Cost]:
    vms = fleet.runners + fleet.plain_instances
    vm_changes_per_day = fleet.failures_per_day + fleet.replacements_per_day
    changes = min(
        vm_changes_per_day * _LIST_CHANGES_PER_VM_CHANGE / model.DAY_SECONDS, 1 / timing.vm_list
    )
    return [
        model.Cost(
            role="controller",
            resource=resource,
            work="the VM list, when it has changed",
            amount=changes,
            unit_size=vms,
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


def credit_costs(fleet: model.Fleet, timing: schema.Timing) -> list[model.Cost]:
    """Returns the costs of asking for credits and of granting them."""
    domains = fleet.fabric_domains / fleet.failure_domains
    asks_per_second = _ASKS_PER_CREDIT_LIFETIME / timing.credit
    targets_per_domain = fleet.targets / fleet.fabric_domains
    asks_sent = domains * asks_per_second
    failure_domain_nodes = fleet.nodes / fleet.failure_domains
    asks_answered = failure_domain_nodes * asks_per_second * fleet.domains_per_node
    controlling_share = min(1.0, fleet.fabric_domains / fleet.nodes)
    asking_text = f"{domains:.0f} controllers of the own failure domain x {asks_per_second:g}/s"
    granting_text = (
        f"{failure_domain_nodes:.0f} nodes of the own failure domain x {asks_per_second:g}/s"
    )

    def cost(resource: Resource, work: str, slope: str, granting: bool) -> model.Cost:
        return model.Cost(
            role="credits",
            resource=resource,
            work=work,
            amount=asks_answered if granting else asks_sent,
            unit_size=targets_per_domain,
            amount_text=(
                f"{granting_text if granting else asking_text}, "
                f"{targets_per_domain:.1f} targets each"
            ),
            slope=slope,
            scale=model.CPU_SCALE if resource is Resource.CPU else model.KILO,
            node_share=controlling_share if granting else 1.0,
            mechanism="all targets of one controller in one message",
        )

    return [
        cost(Resource.NETWORK, "asking", "credits.ask_bytes", False),
        cost(Resource.NETWORK, "answers to asks", "credits.reply_bytes", False),
        cost(Resource.CPU, "encoding asks", "credits.ask_encode_cpu", False),
        cost(Resource.CPU, "decoding answers", "credits.reply_decode_cpu", False),
        cost(Resource.NETWORK, "being asked", "credits.ask_bytes", True),
        cost(Resource.NETWORK, "granting", "credits.reply_bytes", True),
        cost(Resource.CPU, "decoding asks", "credits.ask_decode_cpu", True),
        cost(Resource.CPU, "encoding grants", "credits.reply_encode_cpu", True),
    ]


def probing_costs(fleet: model.Fleet, timing: schema.Timing) -> list[model.Cost]:
    """Returns the costs of probing the VMs of a fabric domain."""
    vms = fleet.vms_per_fabric_domain + fleet.plain_instances / fleet.fabric_domains
    probes = fleet.domains_per_node * vms / timing.probe
    controlling_share = min(1.0, fleet.fabric_domains / fleet.nodes)
    text = f"{vms:.1f} VMs / {timing.probe:g} s"
    return [
        model.Cost(
            role="probing",
            resource=resource,
            work="status of every VM of a domain",
            amount=probes,
            amount_text=text,
            slope=slope,
            scale=scale,
            node_share=controlling_share,
            mechanism="only a domain's controller probes; connections are kept",
        )
        for resource, slope, scale in (
            (Resource.CPU, "probing.cpu", model.CPU_SCALE),
            (Resource.NETWORK, "probing.bytes", model.KILO),
        )
    ]
