"""The choice among engines is the same as by looking at all of each.

What a choice needs is kept as requests come and go, and engines that
cannot be the best are left out early. Both must change no decision.
"""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from hyssopspring.core.sentinels import NOTHING
from hyssopspring.traffic.decisions import Ask, Placed, urgency_of
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


def make_ask(rng, number):
    """Return a request with shared parts."""
    parts = (
        (f"a{rng.randrange(3)}", 1500),
        (f"b{rng.randrange(20)}", 2500),
        (f"c{number}", rng.choice((200, 2000, 9000))),
    )
    return Ask(
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


def best_by_walk(placer, ask, now):
    """Return the identifier of the best engine, all of each looked at."""
    urgency = urgency_of(ask)
    views = placer.usable(ask, now, True)
    demand = ask.demand
    most = max(view.work.known_tokens(demand) for view in views)
    costs = {}
    for view in views:
        copied = view.work.copied_tokens(demand, most)
        cost = view.work.cost(demand, urgency, now, copied)
        predicted = view.work.predict(demand, urgency, now, copied)
        costs[view.server.entry.id] = (round(cost, 9), round(predicted, 9))
    return costs


def check_sums(placer):
    """Check what is kept against the requests in progress."""
    for work in placer.work.values():
        waiting = [one for one in work.tickets.values() if one.waiting]
        assert_that(
            sorted(work.queue.tickets.values(), key=id),
            Equals(sorted(waiting, key=id)),
        )
        for urgency in range(10):
            reading = sum(
                one.reading for one in waiting if one.urgency <= urgency
            )
            kept = work.queue.seconds_until(urgency)
            assert abs(kept - reading) < 1e-9
        assert_that(work.cached_tokens, Equals(sum(work.cached.values())))
        held = sum(one.tokens for one in work.tickets.values())
        assert_that(work.held, Equals(held))
    by_host = sum(len(one) for one in placer.by_host.values())
    assert_that(by_host, Equals(len(placer.tickets)))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_choice_is_that_of_the_whole_walk(placer, seed):
    """Requests go to a busy engine beside an idle one.

    Requests come, begin and end in any order; sums that are kept drift
    away from the requests in progress, or a bound leaves out the best.
    """
    rng = random.Random(seed)
    now = 0.0
    for number in range(STEPS):
        now += rng.random() * 0.05
        ask = make_ask(rng, number)
        costs = best_by_walk(placer, ask, now)
        offer = placer.best_of(
            placer.usable(ask, now, True), ask, urgency_of(ask), now
        )
        least = min(cost for cost, _ in costs.values())
        found = offer.place.entry.id
        assert_that(costs[found][0], Equals(least))
        assert_that(round(offer.cost, 9), Equals(least))
        assert_that(round(offer.predicted, 9), Equals(costs[found][1]))
        decision = placer.place(ask, now)
        assert isinstance(decision, Placed)
        for _ in range(rng.randrange(5)):
            move_on(placer, rng, now)
        check_sums(placer)


def move_on(placer, rng, now):
    """Let one request begin, or end."""
    if not placer.tickets:
        return
    key = rng.choice(list(placer.tickets))
    ticket = placer.tickets[key]
    if not ticket.started and rng.random() < 0.7:
        placer.note_start(*key, now - ticket.placed_at, now)
    else:
        finding = rng.choice((AttemptResult.ANSWERED, AttemptResult.CANCELLED))
        placer.note_end(*key, ticket.server_id, finding, now)


def test_a_service_that_changes_is_looked_at_anew(placer):
    """Requests go on to a server that has left, from a list that is kept."""
    ask = make_ask(random.Random(1), 1)
    first = placer.best_of(placer.usable(ask, 0.0, True), ask, 4, 0.0)
    placer.registry.remove(first.place.entry.id, 0.0, outage=False)
    views = placer.usable(ask, 0.0, True)
    assert first.place not in [view.server for view in views]
    assert_that(len(views), Equals(ENGINES - 1))
    placer.registry.evacuate(["a"], 0.0, lambda service: NOTHING)
    assert_that(placer.usable(ask, 0.0, True), Equals([]))
