"""What a region believes of the servers of others, between reports."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from hyssopspring.core.hashing import short_id
from hyssopspring.traffic.regions import (
    CACHED_PART_TTL_SECONDS,
    REPORT_LAG_SECONDS,
    AddedWork,
    CachedParts,
    RegionLoad,
    RemoteLoad,
    ServerCapacity,
)
from hyssopspring.traffic.work import Demand

WORK_SECONDS = 0.3
"""Seconds of one request at an engine."""

REQUEST = AddedWork(WORK_SECONDS, 0, Demand())
"""An urgent request with that much work."""


def capacity(wait, occupancy):
    """Return a `ServerCapacity` in which requests of all ranks wait alike."""
    return ServerCapacity((wait,) * 3, occupancy)


def reported(*rooms, slots=48, now=0.0):
    """Return a `RemoteLoad` that has just heard of *rooms*."""
    load = RemoteLoad()
    load.apply_report(RegionLoad(slots, tuple(rooms)), now)
    return load


def test_a_peak_is_spread_over_all_reported_servers():
    """Half of the peak is kept at home although another region is idle.

    A region counts what it sends between two reports. Counted against the
    region as a whole its best server seems to fill alone.
    """
    load = reported(*[capacity(0.0, 0.0)] * 4)
    for _ in range(4):
        load.count(REQUEST, 0.0)
    waits = [server.waits[0] for server in load.servers]
    assert_that(waits, Equals([WORK_SECONDS] * 4))


def test_what_was_sent_runs_down():
    """Work that was sent a while ago no longer keeps requests away."""
    load = reported(capacity(0.5, 0.2))
    assert_that(load.best(REQUEST, 0.2).waits[0], Equals(0.3))
    assert_that(load.best(REQUEST, 2.0).waits[0], Equals(0.0))


def test_a_report_does_not_hide_what_is_on_its_way():
    """A region is sent twice what it can take, after each report.

    A report left before the last requests arrived there. Taken as it is,
    it would offer the same room again.
    """
    load = reported(capacity(0.0, 0.0))
    load.count(REQUEST, 0.0)
    load.apply_report(
        RegionLoad(48, (capacity(0.0, 0.0),)), REPORT_LAG_SECONDS / 2
    )
    assert_that(load.servers[0].waits[0], Equals(WORK_SECONDS))
    load.apply_report(
        RegionLoad(48, (capacity(0.1, 0.0),)), REPORT_LAG_SECONDS * 2
    )
    assert_that(load.servers[0].waits[0], Equals(0.1))
    assert_that(load.sent, HasLength(0))


def test_parts_that_were_sent_are_known_for_a_while():
    """The same shared parts are read in two regions by turns."""
    demand = Demand(parts=(("shared", 600), ("own", 100)), tokens_in=700)
    sent = CachedParts()
    assert_that(sent.uncached_tokens(demand, 0.0), Equals(700))
    sent.add_parts(demand.parts[:1], 0.0)
    assert_that(sent.uncached_tokens(demand, 1.0), Equals(100))
    assert_that(
        sent.uncached_tokens(demand, CACHED_PART_TTL_SECONDS), Equals(700)
    )


def test_parts_that_a_region_has_read_count_as_cached_there():
    """Two regions read the same subject within seconds of each other.

    The other region has read the parts for its own callers and tells so;
    what it told eight seconds ago may be gone.
    """
    parts = CachedParts()
    demand = Demand(
        parts=(("a", 500), ("b", 4000), ("own", 700)), tokens_in=5200
    )
    parts.add_names([short_id("a"), short_id("b")], 1.0)
    assert_that(parts.uncached_tokens(demand, 1.1), Equals(700))
    assert_that(
        parts.uncached_tokens(demand, 1.0 + CACHED_PART_TTL_SECONDS),
        Equals(5200),
    )
