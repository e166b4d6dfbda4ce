"""The services, settings and limits that all domain controllers of a node share."""

import dataclasses
from collections.abc import Callable

from basilpost.core import data
from basilpost.groups import load_budget, planner, runner_api
from basilpost.groups import view as views
from basilpost.members import directory, peers, replica, standing
from basilpost.settings import schema
from basilpost.store import objects

LeaseRemaining = Callable[[], float]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Context:
    """The services, settings and limits that all domain controllers of a node share.

    Attributes:
        peers: Streams to the other nodes.
        store: Object store.
        replica: This node's copy of stored objects.
        standing: Tells whether this node may serve, and which versions all nodes have acknowledged.
        directory: Configuration and tables in force.
        runner_client: Sends status calls and orders to runners.
        timing: Intervals and timeouts in seconds.
        lease_remaining: Returns the seconds left of the node's lease.
        vms_by_id: Returns the latest VM list, with the VMs of all fabric domains.
        load_budget: Rate limit of weight loads.
        drain_seconds: Longest time in seconds that a group may take to finish its work.
        plan: Plans the next table and its orders.
    """

    peers: peers.PeerNetwork
    store: objects.ObjectStore
    replica: replica.Replica
    standing: standing.Standing
    directory: directory.Directory
    runner_client: runner_api.RunnerClient
    timing: schema.Timing
    lease_remaining: LeaseRemaining
    vms_by_id: Callable[[], dict[str, data.Vm]]
    load_budget: load_budget.LoadBudget
    drain_seconds: float
    plan: Callable[[views.View], planner.Plan] = planner.plan
