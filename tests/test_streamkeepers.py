"""Hosts that keep the versions of streams, without a network."""

import random
from collections import Counter

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from hyssopspring.core.sentinels import NOTHING
from hyssopspring.traffic.servers import Registry, ServerEntry
from hyssopspring.traffic.streamkeepers import (
    OWN_REGION_KEEPERS,
    REMOTE_KEEPER_REGIONS,
    KeeperRing,
)
from hyssopspring.traffic.streamrecords import (
    CONFLICT,
    MAX_RECORDS,
    RETENTION_SECONDS,
    StreamRecord,
    StreamRecords,
    origin_of,
    stream_of,
)

REGIONS = {f"r{n}": {f"r{n}-{m}" for m in range(20)} for n in range(17)}
GOAL = 0.8
"""Part of the streams whose version is to be known."""

STREAMS = [stream_of(b"attempt-%d" % number) for number in range(2000)]


def ring_of(host, regions=REGIONS):
    """Return the ring of a host, which leaves itself out."""
    region = host.partition("-")[0]
    hosts = {name: set(members) for name, members in regions.items()}
    hosts[region].discard(host)
    return KeeperRing(host, region, hosts)


def test_a_stream_has_keepers_in_three_regions():
    """A region that is lost or cut off takes no version with it."""
    ring = ring_of("r3-4")
    for stream in STREAMS[:50]:
        keepers = ring.keepers(stream)
        regions = Counter(name.partition("-")[0] for name in keepers)
        assert_that(regions.pop("r3"), Equals(OWN_REGION_KEEPERS))
        assert_that(len(regions), Equals(REMOTE_KEEPER_REGIONS))
        assert "r3-4" not in keepers


def test_hosts_keep_about_equally_many_streams():
    """Guards against one host that keeps the streams of all others."""
    kept = Counter()
    for stream in STREAMS:
        host = f"r{stream % 17}-{stream % 19}"
        kept.update(ring_of_cached(host).keepers(stream))
    mean = sum(kept.values()) / 340
    assert_that(max(kept.values()), LessThan(4 * mean))


RINGS = {}


def ring_of_cached(host):
    """Return the ring of a host, built once."""
    if host not in RINGS:
        RINGS[host] = ring_of(host)
    return RINGS[host]


@pytest.mark.parametrize("gone", [0, 3, 40])
def test_a_returning_caller_finds_a_keeper_anywhere(gone):
    """Guards against hosts that disagree on where a version is kept."""
    rng = random.Random(gone)
    names = sorted(name for members in REGIONS.values() for name in members)
    found = 0
    for stream in STREAMS[:300]:
        began, asked = rng.sample(names, 2)
        ended = {began, *rng.sample(names, gone)} - {asked}
        left = {region: members - ended for region, members in REGIONS.items()}
        keepers = set(ring_of_cached(began).keepers(stream)) | {began}
        queried = ring_of(asked, left).queried(stream)
        found += bool((keepers - ended) & {asked, *queried})
    assert_that(found / 300, GreaterThan(GOAL))
    if not gone:
        assert_that(found, Equals(300))


def test_a_small_deployment_asks_all_of_its_hosts():
    """With seven hosts in three regions, all others are asked."""
    regions = {"a": {"a-0", "a-1", "a-2"}, "b": {"b-0", "b-1"}, "c": {"c-0"}}
    ring = ring_of("a-0", regions)
    queried = set(ring.queried(STREAMS[0]))
    assert_that(queried, Equals({"a-1", "a-2", "b-0", "b-1", "c-0"}))


def test_a_host_without_others_has_no_keepers():
    """A single host neither sends nor asks."""
    ring = KeeperRing("a-0", "a", {})
    assert_that((ring.keepers(1), ring.queried(1)), Equals(([], [])))


def test_records_expire_and_are_bounded():
    """Guards against a table that grows with all streams ever served."""
    records = StreamRecords()
    for number in range(MAX_RECORDS + 10):
        records.add(number, StreamRecord(1, 0.0))
    assert_that(len(records), Equals(MAX_RECORDS))
    assert_that(records.find(5, 1.0), Equals(NOTHING))
    late = RETENTION_SECONDS + 1
    assert_that(records.find(MAX_RECORDS, late), Equals(NOTHING))
    records.expire(late)
    assert_that(len(records), Equals(0))


def test_contradicting_records_count_as_unknown():
    """Guards against a guess between two versions."""
    records = StreamRecords()
    for origin in (1, 2, 1):
        records.add(7, StreamRecord(origin, 0.0))
    assert_that(records.find(7, 1.0).origin, Equals(CONFLICT))


def test_an_origin_names_service_and_version():
    """A stream of another service with the same version is another one."""
    assert origin_of("s", "v1") != origin_of("t", "v1")
    assert origin_of("s", "v1") != origin_of("s", "v2")


@pytest.fixture
def registry():
    """Return a registry that has listed one server of v1 at the time 0."""
    made = Registry({"z": "z"})
    made.put(entry("a", "v1"), 0.0)
    return made


def entry(server_id, version, **more):
    """Return the entry of a server."""
    return ServerEntry(
        id=server_id,
        service="s",
        address="h:1",
        data_centre="z",
        version=version,
        **more,
    )


def test_a_version_that_was_removed_counts(registry):
    """Guards against streams of a version whose last server has just left."""
    registry.put(entry("b", "v2"), 1.0)
    registry.remove("b", 20.0, outage=False)
    assert_that(registry.history.versions["s"], Equals(["v1", "v2"]))
    assert not registry.offers("s", "v2")


def test_a_start_of_another_version_under_the_same_name(registry):
    """Guards against a server that returns with another version."""
    registry.put(entry("a", "v2", born=5), 20.0)
    assert_that(registry.version_of("a"), Equals("v2"))
    assert_that(registry.history.versions["s"], Equals(["v1", "v2"]))
    registry.put(entry("a", "v1", born=4), 21.0)
    assert_that(registry.version_of("a"), Equals("v2"))


def test_a_version_that_only_drains_is_not_offered(registry):
    """A draining server gets no new request, and no stream goes on there."""
    registry.put(entry("a", "v1", leaving=True), 1.0)
    assert not registry.offers("s", "v1")
