"""Stateful tests of merging in three replicas of one store, with any order and stale reads."""

import hypothesis
from hypothesis import stateful, strategies

from basilpost.core import names
from basilpost.members import versions
from basilpost.store import eras, objects

KEYS = [names.CONFIG_PREFIX + letter for letter in "abc"]
REPLICAS = strategies.integers(0, 2)


class Merging(stateful.RuleBasedStateMachine):
    """Compares replicas with the store's history: versions never decrease and values match it."""

    def __init__(self):
        super().__init__()
        self.history = []
        self.listings = []
        self.replicas = [versions.Versions() for _ in range(3)]
        self.highest = [{} for _ in range(3)]

    @stateful.rule(key=strategies.sampled_from(KEYS), deleted=strategies.booleans())
    def write(self, key, deleted):
        version = len(self.history) + 1
        stored = None if deleted else objects.Stored(key=key, value=b"v", version=version)
        self.history.append(objects.Change(key=key, version=version, stored=stored))

    @stateful.rule()
    def read(self):
        latest = {change.key: change for change in self.history}
        listed = tuple(change.stored for change in latest.values() if change.stored)
        self.listings.append(objects.Listing(objects=listed, revision=len(self.history)))

    @stateful.precondition(lambda self: self.history)
    @stateful.rule(number=REPLICAS, data=strategies.data())
    def deliver(self, number, data):
        self.replicas[number].merge(data.draw(strategies.sampled_from(self.history)))

    @stateful.precondition(lambda self: self.listings)
    @stateful.rule(number=REPLICAS, data=strategies.data())
    def deliver_any_listing(self, number, data):
        listing = data.draw(strategies.sampled_from(self.listings))
        merge_listing(self.replicas[number], listing)

    @stateful.rule(source=REPLICAS, sink=REPLICAS)
    def pull(self, source, sink):
        theirs = self.replicas[source].changes_by_key
        missing = self.replicas[sink].outdated_keys({k: c.version for k, c in theirs.items()})
        for key in missing:
            self.replicas[sink].merge(theirs[key])
        for key, change in theirs.items():
            assert self.replicas[sink].version_of(key) >= change.version

    @stateful.invariant()
    def versions_never_decrease(self):
        for replica, highest in zip(self.replicas, self.highest, strict=True):
            for key in KEYS:
                assert replica.version_of(key) >= highest.get(key, 0)
                highest[key] = replica.version_of(key)

    @stateful.invariant()
    def values_are_those_of_the_store_at_that_version(self):
        for replica in self.replicas:
            for key, known in replica.changes_by_key.items():
                past = [one for one in self.history[: known.version] if one.key == key]
                assert known.stored == past[-1].stored

    @stateful.invariant()
    def equal_digests_mean_equal_versions(self):
        for one in self.replicas:
            for other in self.replicas:
                equal = one.changes_by_key == other.changes_by_key
                assert (one.digest == other.digest) == equal


def merge_listing(replica, listing):
    for stored in listing.objects:
        replica.merge(objects.Change(key=stored.key, version=stored.version, stored=stored))
    for deletion in replica.deletions_in(names.CONFIG_PREFIX, listing):
        replica.merge(deletion)


Merging.TestCase.settings = hypothesis.settings(max_examples=60, deadline=None)
TestMerging = Merging.TestCase


class Restoring(stateful.RuleBasedStateMachine):
    """A store that is restored from copies of any age; changes of all eras arrive in any order."""

    def __init__(self):
        super().__init__()
        self.era = 1
        self.history = []
        self.ever = []
        self.replica = versions.Versions()
        self.highest = {}

    @stateful.rule(key=strategies.sampled_from(KEYS), deleted=strategies.booleans())
    def write(self, key, deleted):
        self.add(key, None if deleted else f"{self.era}-{len(self.ever)}".encode())

    @stateful.rule(data=strategies.data())
    def restore(self, data):
        kept = self.history[: data.draw(strategies.integers(0, len(self.history)))]
        self.era += 1
        self.history = []
        for change in kept:
            self.add(change.key, change.stored and change.stored.value)

    @stateful.precondition(lambda self: self.ever)
    @stateful.rule(data=strategies.data())
    def deliver(self, data):
        self.replica.merge(data.draw(strategies.sampled_from(self.ever)))

    @stateful.rule()
    def list_the_present_store(self):
        latest = {change.key: change for change in self.history}
        stored = {key: change.stored for key, change in latest.items() if change.stored}
        at = eras.version(era=self.era, revision=len(self.history))
        merge_listing(self.replica, objects.Listing(objects=tuple(stored.values()), revision=at))
        known = self.replica.changes_by_key
        assert {key: one.stored for key, one in known.items() if one.stored} == stored

    @stateful.invariant()
    def versions_never_decrease(self):
        for key in KEYS:
            assert self.replica.version_of(key) >= self.highest.get(key, 0)
            self.highest[key] = self.replica.version_of(key)

    def add(self, key, value):
        version = eras.version(era=self.era, revision=len(self.history) + 1)
        stored = value and objects.Stored(key=key, value=value, version=version)
        change = objects.Change(key=key, version=version, stored=stored)
        self.history.append(change)
        self.ever.append(change)


Restoring.TestCase.settings = hypothesis.settings(max_examples=60, deadline=None)
TestRestoring = Restoring.TestCase


def test_a_restore_is_noted_once_and_the_first_era_is_none():
    known = versions.Versions()
    assert [known.note_era(era) for era in (0, 4, 4, 5, 4, 7)] == [
        False, False, False, True, False, True
    ]  # fmt: skip


def test_tombstones_are_bounded(monkeypatch):
    monkeypatch.setattr(versions, "MAX_TOMBSTONES", 3)
    known = versions.Versions()
    for version in range(1, 10):
        known.merge(objects.Change(key=f"config/{version}", version=version, stored=None))
    assert len(known.changes_by_key) == 3
