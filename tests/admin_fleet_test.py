"""Accepted changes on a fleet with the real membership come into force in time and are kept."""

import asyncio

import pytest

from basilpost.admin import audit, audit_reader, changes, proposals, status
from basilpost.settings import configuration
from tests import members_fleet

SETTLE_SECONDS = 5
# Bounds until a change is in force: at healthy nodes, and at nodes that are cut off from the store.
HEALTHY_SECONDS = 5.0
CUT_OFF_SECONDS = 10.0
DOMAINS = configuration.FAILURE_DOMAINS


class Operators:
    """Operators who change the configuration through any node of a fleet."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.changes_by_id = {
            node.node_id: changes.Changes(kernel=node.kernel, bootstrap_digest="0")
            for node in fleet.nodes
        }
        self.attempts = 0

    async def change(self, node_id, raw, *, name="kz-a", kind=DOMAINS):
        """Proposes a new value for an object's current version; None deletes the object."""
        node_changes = self.changes_by_id[node_id]
        current = await node_changes.read(kind, name)
        self.attempts += 1
        return await node_changes.accept(
            proposals.Proposal(
                kind=kind,
                name=name,
                raw=raw,
                expected=getattr(current, "shown_version", None),
                actor="ana",
                reason="test",
                attempt_id=f"t{self.attempts}",
            )
        )


def in_service(node):
    return node.directory.config().in_service("kz-a")


@pytest.mark.looptime
@pytest.mark.parametrize("cut_off, seconds", [(0, HEALTHY_SECONDS), (3, CUT_OFF_SECONDS)])
async def test_a_failure_domain_out_and_in_is_in_force_everywhere_in_time(cut_off, seconds):
    async with members_fleet.Fleet(size=7) as fleet:
        await asyncio.sleep(SETTLE_SECONDS)
        operators = Operators(fleet)
        if cut_off:
            fleet.cut_store(*fleet.ids[:cut_off])
        for node_id, wanted in ((fleet.ids[-1], False), (fleet.ids[-2], True)):
            result = await operators.change(node_id, {"in_service": wanted})
            assert isinstance(result, proposals.Accepted)
            await asyncio.sleep(seconds)
            assert [in_service(node) for node in fleet.nodes] == [wanted] * 7


@pytest.mark.looptime
async def test_an_operator_at_a_node_cut_off_from_the_store_changes_nothing():
    async with members_fleet.Fleet(size=3) as fleet:
        await asyncio.sleep(SETTLE_SECONDS)
        operators = Operators(fleet)
        fleet.cut_store("n000")
        refused = await operators.change("n000", {"in_service": False})
        assert isinstance(refused, proposals.NotWritten)
        await asyncio.sleep(CUT_OFF_SECONDS)
        assert all(in_service(node) for node in fleet.nodes)
        assert isinstance(await operators.change("n001", {"in_service": False}), proposals.Accepted)


@pytest.mark.looptime
async def test_a_deleted_service_is_removed_at_all_nodes():
    async with members_fleet.Fleet(size=3) as fleet:
        await asyncio.sleep(SETTLE_SECONDS)
        operators = Operators(fleet)
        for raw, known in (({"kind": "plain", "pool": "p"}, True), (None, False)):
            result = await operators.change("n000", raw, name="s", kind=configuration.SERVICES)
            assert isinstance(result, proposals.Accepted)
            await asyncio.sleep(HEALTHY_SECONDS)
            for node in fleet.nodes:
                assert ("s" in node.directory.config().services_by_name) is known
                assert node.directory.config().versions_by_key[result.key] == result.version


@pytest.mark.looptime
async def test_the_status_shows_at_which_nodes_a_version_is_in_force():
    async with members_fleet.Fleet(size=3) as fleet:
        await asyncio.sleep(SETTLE_SECONDS)
        status_services = [status.StatusService(kernel=node.kernel) for node in fleet.nodes]
        result = await Operators(fleet).change("n001", {"in_service": False})
        await status_services[0].in_force(result.key, result.version)
        await asyncio.sleep(HEALTHY_SECONDS)
        view = await status_services[0].in_force(result.key, result.version)
        assert [node.node_id for node in view.nodes] == fleet.ids
        assert view.everywhere
        assert not (await status_services[0].in_force(result.key, result.version + 1)).everywhere
        fleet_status = await status_services[2].status()
        assert fleet_status.same_configuration
        assert [node.serving for node in fleet_status.nodes] == [True] * 3
        await fleet.crash("n001")
        await asyncio.sleep(HEALTHY_SECONDS)
        fleet_status = await status_services[2].status()
        assert [(node.node_id, node.reached) for node in fleet_status.nodes] == [
            ("n000", True), ("n001", False), ("n002", True),
        ]  # fmt: skip
        assert fleet_status.same_configuration


@pytest.mark.looptime
async def test_a_storm_of_changes_is_in_force_in_order_with_a_complete_trail():
    """110 changes per second (6,600 per minute) while answers are lost and a node is cut off."""
    async with members_fleet.Fleet(size=7) as fleet:
        await asyncio.sleep(SETTLE_SECONDS)
        operators = Operators(fleet)
        accepted = []

        async def operate(number):
            for turn in range(40):
                if turn == 20:
                    fleet.store.faults.lose_answers += 1
                result = await operators.change(
                    fleet.ids[1 + number % 6],
                    {"region": f"r{number}.{turn}"},
                    name=f"d{number % 8}",
                )
                assert isinstance(result, proposals.Accepted | proposals.Lost)
                if isinstance(result, proposals.Accepted):
                    accepted.append((result.key, result.attempt_id))
                await asyncio.sleep(0.1)

        fleet.cut_store("n000")
        await asyncio.gather(*(operate(number) for number in range(11)))
        await asyncio.sleep(CUT_OFF_SECONDS)
        for node in fleet.nodes:
            for applied in node.applied.values():
                assert applied == sorted(set(applied))
        versions = [node.directory.config().versions_by_key for node in fleet.nodes]
        assert versions == [versions[0]] * 7
        trail = await audit_reader.AuditReader(kernel=fleet.nodes[3].kernel).read(
            audit_reader.Query(since=audit.day_of(await _first_day(fleet)))
        )
        assert sorted((line.key, line.entry.attempt_id) for line in trail.lines) == sorted(accepted)
        assert len(accepted) > 300


async def _first_day(fleet):
    current = proposals.decode_current(fleet.nodes[1].replica.get("config/failure_domains/d0"))
    return current.stored.audit[0].at
