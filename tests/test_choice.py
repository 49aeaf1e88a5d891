"""The choice among engines equals that of a full evaluation of each.

The sums that a choice needs are updated as requests start and end, and engines
that cannot be the best are skipped early. Neither may change a decision.
"""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from hyssopspring.core.sentinels import NOTHING
from hyssopspring.traffic.decisions import Placed, PlacementQuery, urgency_of
from hyssopspring.traffic.placing import Placer
from hyssopspring.traffic.routes import EngineSpec, Service
from hyssopspring.traffic.serverhealth import AttemptResult
from hyssopspring.traffic.servers import Registry, ServerEntry
from hyssopspring.traffic.work import Demand

ENGINES = 12
STEPS = 600
ENGINE = Service(
    name="engine",
    engine=EngineSpec(slots=6, memory_tokens=60_000, copy_seconds=2e-6),
)


@pytest.fixture
def placer():
    """Return a placer with a dozen small engines."""
    registry = Registry({"a": "north"})
    for number in range(ENGINES):
        entry = ServerEntry(
            id=f"e{number}",
            service="engine",
            address=f"10.0.0.{number}:1",
            data_centre="a",
        )
        registry.put(entry, 0.0)
    return Placer(
        "north",
        registry,
        lambda name: ENGINE,
        lambda service: 6.0,
        random.Random(1),
        lambda now: {"north"},
    )


def make_query(rng, number):
    """Return a query of a request with shared parts."""
    parts = (
        (f"a{rng.randrange(3)}", 1500),
        (f"b{rng.randrange(20)}", 2500),
        (f"c{number}", rng.choice((200, 2000, 9000))),
    )
    return PlacementQuery(
        host=f"h{rng.randrange(3)}",
        number=number,
        service="engine",
        demand=Demand(
            parts=parts,
            tokens_in=sum(tokens for _, tokens in parts),
            tokens_out=rng.choice((20, 300)),
        ),
        time_left=1e6,
        patience=1e6,
        priority=rng.randrange(3),
    )


def costs_by_full_scan(placer, query, now):
    """Return the cost and prediction of each engine by identifier."""
    urgency = urgency_of(query)
    views = placer.eligible_servers(query, now, True)
    demand = query.demand
    most = max(view.work.cached_prefix_tokens(demand) for view in views)
    costs = {}
    for view in views:
        copied = view.work.copied_tokens(demand, most)
        cost = view.work.cost(demand, urgency, now, copied)
        predicted = view.work.predict(demand, urgency, now, copied)
        costs[view.server.entry.id] = (round(cost, 9), round(predicted, 9))
    return costs


def check_cached_sums(placer):
    """Compare the cached sums to the requests in progress."""
    for work in placer.work.values():
        waiting = [one for one in work.placements.values() if one.waiting]
        assert_that(
            sorted(work.queue.placements.values(), key=id),
            Equals(sorted(waiting, key=id)),
        )
        for urgency in range(10):
            prefill_seconds = sum(
                one.prefill_seconds
                for one in waiting
                if one.urgency <= urgency
            )
            cached_sum = work.queue.seconds_up_to(urgency)
            assert abs(cached_sum - prefill_seconds) < 1e-9
        assert_that(work.cached_tokens, Equals(sum(work.cached.values())))
        held = sum(one.tokens for one in work.placements.values())
        assert_that(work.held_tokens, Equals(held))
    by_host = sum(len(one) for one in placer.placements_by_host.values())
    assert_that(by_host, Equals(len(placer.placements)))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_choice_equals_that_of_a_full_scan(placer, seed):
    """Guard against requests to a busy engine while another is idle.

    Requests are placed, started and ended in random order. The cached sums
    could drift from the requests in progress, or a bound could skip the best
    engine.
    """
    rng = random.Random(seed)
    now = 0.0
    for number in range(STEPS):
        now += rng.random() * 0.05
        query = make_query(rng, number)
        costs = costs_by_full_scan(placer, query, now)
        candidate = placer.best_candidate(
            placer.eligible_servers(query, now, True),
            query,
            urgency_of(query),
            now,
        )
        least = min(cost for cost, _ in costs.values())
        found = candidate.target.entry.id
        assert_that(costs[found][0], Equals(least))
        assert_that(round(candidate.cost, 9), Equals(least))
        assert_that(round(candidate.predicted, 9), Equals(costs[found][1]))
        decision = placer.place(query, now)
        assert isinstance(decision, Placed)
        for _ in range(rng.randrange(5)):
            advance_one_request(placer, rng, now)
        check_cached_sums(placer)


def advance_one_request(placer, rng, now):
    """Start or end one request."""
    if not placer.placements:
        return
    key = rng.choice(list(placer.placements))
    placement = placer.placements[key]
    if not placement.started and rng.random() < 0.7:
        placer.record_response_start(*key, now - placement.placed_at, now)
    else:
        result = rng.choice((AttemptResult.ANSWERED, AttemptResult.CANCELLED))
        placer.record_attempt_end(*key, placement.server_id, result, now)


def test_a_service_that_changes_is_looked_at_anew(placer):
    """Guard against requests to a removed server from a cached list."""
    query = make_query(random.Random(1), 1)
    first = placer.best_candidate(
        placer.eligible_servers(query, 0.0, True), query, 4, 0.0
    )
    placer.registry.remove(first.target.entry.id, 0.0, outage=False)
    views = placer.eligible_servers(query, 0.0, True)
    assert first.target not in [view.server for view in views]
    assert_that(len(views), Equals(ENGINES - 1))
    placer.registry.evacuate(["a"], 0.0, lambda service: NOTHING)
    assert_that(placer.eligible_servers(query, 0.0, True), Equals([]))
