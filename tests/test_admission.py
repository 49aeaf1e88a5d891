"""Admission under scarcity, alone and under the scarce load, emulated."""

import dataclasses

import pytest

from hyssopspring.traffic.decoding import DecodeTimes
from hyssopspring.traffic.enginework import EngineWork
from hyssopspring.traffic.headroom import WINDOW_SECONDS, Headroom
from hyssopspring.traffic.mechanisms import Mechanism
from hyssopspring.traffic.prefill import PrefillTimes
from hyssopspring.traffic.routes import EngineSpec
from hyssopspring.traffic.work import Demand, Placement
from hyssopspring_fakes.emulation import emulate
from hyssopspring_fakes.loads import SCARCE

LINES = frozenset(("dar", "arusha"))


def full_engine(urgency, disabled=frozenset()):
    """Return an engine whose slots are taken by requests of *urgency*."""
    work = EngineWork(
        EngineSpec(slots=4, memory_tokens=100_000),
        PrefillTimes(),
        DecodeTimes(),
        disabled,
    )
    for number in range(4):
        placement = Placement(
            host="h",
            number=number,
            server_id="s",
            placed_at=0.0,
            tokens=1100,
            tokens_out=100,
            urgency=urgency,
        )
        work.begin(placement, Demand())
        work.mark_started(placement, 0.0)
    return work


def test_an_urgent_request_does_not_wait_for_less_urgent_ones():
    """Urgent requests were refused at engines full of less urgent ones."""
    work = full_engine(6)
    assert work.slot_wait(1000, 0.1, 2) == 0.0
    assert work.slot_wait(1000, 0.1, 6) > 0.0
    off = full_engine(6, frozenset({Mechanism.HEADROOM}))
    assert off.slot_wait(1000, 0.1, 2) == off.slot_wait(1000, 0.1, 6)


def test_a_preemption_costs_more_than_a_free_slot():
    """Urgent requests preempted streams although a slot was free."""
    preempting = full_engine(6).cost(Demand(tokens_in=100), 2, 0.1)
    free = full_engine(6)
    free.end(free.placements["h", 0], 0.1)
    assert preempting > free.cost(Demand(tokens_in=100), 2, 0.1) + 0.4


def test_equally_urgent_requests_wait_for_memory_and_slots():
    """A request was predicted to start where memory is not preempted."""
    work = full_engine(6)
    assert work.slot_wait(99_000, 0.1, 2) > 0.0


def test_the_need_of_bound_requests_follows_their_rate():
    """A need that outlives its demand sends requests away for nothing."""
    headroom = Headroom(held_seconds=1.0)
    for step in range(100):
        headroom.record_request(LINES, step / 20)
        headroom.record_request(frozenset(), step / 20)
    now = 99 / 20
    assert 15 < headroom.missing_slots(now) < 25
    assert headroom.contested_regions(now) == LINES
    later = now + 6 * WINDOW_SECONDS
    assert headroom.missing_slots(later) < 0.1
    assert headroom.contested_regions(later) == set()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_headroom_serves_more_of_the_scarce_load(seed):
    """Urgent requests are refused while less urgent ones hold the slots."""
    shape = dataclasses.replace(SCARCE, seconds=5.0)
    off = frozenset({Mechanism.HEADROOM})
    with_it = emulate(shape, seed)
    without = emulate(dataclasses.replace(shape, off=off), seed)
    assert with_it.worth() > without.worth() + 0.03
    assert with_it.share("batch") > 0.97 > without.share("batch") + 0.05
    for kind in ("batch", "line"):
        chosen = [one for one in with_it.loads if one.kind.name == kind]
        chosen.sort(key=lambda one: -one.demand.tokens_in)
        whole = sum(one.whole_at > 0 for one in chosen) / len(chosen)
        largest = chosen[: len(chosen) // 10]
        served = sum(one.whole_at > 0 for one in largest) / len(largest)
        assert served > 0.5 * whole
    assert with_it.served(lambda one: one.kind.regions) > 0.8
