"""Estimated load of the servers of other regions between reports."""

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
"""Seconds of work of one request on an engine."""

REQUEST = AddedWork(WORK_SECONDS, 0, Demand())
"""An urgent request with that much work."""


def capacity(wait, occupancy):
    """Return a `ServerCapacity` in which all ranks wait equally long."""
    return ServerCapacity((wait,) * 3, occupancy)


def reported(*capacities, slots=48, now=0.0):
    """Return a `RemoteLoad` that has just received *capacities*."""
    load = RemoteLoad()
    load.apply_report(RegionLoad(slots, tuple(capacities)), now)
    return load


def test_a_peak_is_spread_over_all_reported_servers():
    """Guard against keeping half of a peak while another region is idle.

    A region counts the requests that it sends between two reports. If they
    were counted for the region as a whole, its best server would seem to fill
    up while the others stay idle.
    """
    load = reported(*[capacity(0.0, 0.0)] * 4)
    for _ in range(4):
        load.count(REQUEST, 0.0)
    waits = [server.waits[0] for server in load.servers]
    assert_that(waits, Equals([WORK_SECONDS] * 4))


def test_what_was_sent_runs_down():
    """Guard against work sent a while ago that still repels requests."""
    load = reported(capacity(0.5, 0.2))
    assert_that(load.best(REQUEST, 0.2).waits[0], Equals(0.3))
    assert_that(load.best(REQUEST, 2.0).waits[0], Equals(0.0))


def test_a_report_does_not_hide_what_is_on_its_way():
    """Guard against sending a region twice its capacity after a report.

    A report was sent before the last requests arrived there. Applied as it is,
    it would offer the same capacity again.
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
    """Guard against alternating prefills of the same parts in two regions."""
    demand = Demand(parts=(("shared", 600), ("own", 100)), tokens_in=700)
    sent = CachedParts()
    assert_that(sent.uncached_tokens(demand, 0.0), Equals(700))
    sent.add_parts(demand.parts[:1], 0.0)
    assert_that(sent.uncached_tokens(demand, 1.0), Equals(100))
    assert_that(
        sent.uncached_tokens(demand, CACHED_PART_TTL_SECONDS), Equals(700)
    )


def test_parts_that_a_region_has_read_count_as_cached_there():
    """Guard against two regions that prefill a subject within seconds.

    The other region has prefilled the parts for its own callers and reports
    them. Parts reported eight seconds ago may have been evicted.
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
