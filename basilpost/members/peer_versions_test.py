"""Tests of versions in messages between nodes of builds that know eras and of older builds."""

import pytest

from basilpost.members import fakes, peer_versions, versions
from basilpost.store import eras, objects

OLD_BUILD, NEW_BUILD = "old", "new"


@pytest.fixture
def known():
    replica = versions.Versions()
    replica.note_era(3)
    return replica


@pytest.fixture
def translation(known):
    node_peers = fakes.FakePeers(node_id="n", hub=fakes.PeerHub())
    translated = peer_versions.PeerVersions(peers=node_peers, known=known)
    translated.from_peer(NEW_BUILD, eras.version(era=3, revision=0))
    return translated


def test_an_older_build_gets_plain_revisions_and_a_newer_one_the_era(translation):
    version = eras.version(era=3, revision=70)
    assert translation.to_peer(OLD_BUILD, version) == 70
    assert translation.to_peer(NEW_BUILD, version) == version


def test_revisions_of_older_builds_are_not_believed_once_an_era_is_known(known, translation):
    """Such a build may have missed a restore, also one from before this node started."""
    assert not translation.is_believed(OLD_BUILD)
    assert translation.is_believed(NEW_BUILD)
    assert translation.from_peer(OLD_BUILD, 70) is None
    stored = objects.Stored(key="k", value=b"", version=70)
    change = objects.Change(key="k", version=70, stored=stored)
    assert translation.change_from_peer(OLD_BUILD, change) is None
    later = eras.version(era=3, revision=5)
    assert translation.versions_from_peer(NEW_BUILD, {"k": later, "l": 70}) == {"k": later}


def test_without_eras_versions_are_unchanged():
    node_peers = fakes.FakePeers(node_id="n", hub=fakes.PeerHub())
    translation = peer_versions.PeerVersions(peers=node_peers, known=versions.Versions())
    assert translation.from_peer(OLD_BUILD, 70) == 70
    assert translation.is_believed(OLD_BUILD)
    assert translation.to_peer(OLD_BUILD, 70) == 70


def test_both_versions_of_a_change_are_translated():
    version = eras.version(era=3, revision=70)
    stored = objects.Stored(key="k", value=b"v", version=version)
    plain = peer_versions.without_era(objects.Change(key="k", version=version, stored=stored))
    assert (plain.version, plain.stored.version, plain.stored.value) == (70, 70, b"v")
