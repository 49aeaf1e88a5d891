"""Admission under scarcity, alone and under the scarce load, emulated."""

import dataclasses
import functools

import msgspec
import pytest

from hyssopspring.entry.messages import decode_message, encode_message
from hyssopspring.entry.placementmessages import (
    answer_message,
    decision_from_message,
    query_from_message,
    query_message,
)
from hyssopspring.traffic.decisions import PlacementQuery, Refused
from hyssopspring.traffic.decoding import DecodeTimes
from hyssopspring.traffic.enginework import EngineWork
from hyssopspring.traffic.headroom import WINDOW_SECONDS, Headroom
from hyssopspring.traffic.mechanisms import Mechanism
from hyssopspring.traffic.prefill import PrefillTimes
from hyssopspring.traffic.returnschedule import ReturnSchedule
from hyssopspring.traffic.routes import EngineSpec
from hyssopspring.traffic.work import Demand, Placement
from hyssopspring_fakes.emulation import emulate
from hyssopspring_fakes.loads import SCARCE

LINES = frozenset(("dar", "arusha"))


@functools.cache
def played(seed, *off, seconds=5.0):
    """Return the outcome of the scarce load without some mechanisms."""
    shape = dataclasses.replace(SCARCE, seconds=seconds, off=frozenset(off))
    return emulate(shape, seed)


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
    assert off.slot_wait(1000, 0.1, 2) == off.slot_wait(1000, 0.1, 6) > 0.0


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
    with_it = played(seed, Mechanism.SCHEDULE)
    without = played(seed, Mechanism.SCHEDULE, Mechanism.HEADROOM)
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


def schedule_with_work(seconds=15.0, now=10.0):
    """Return a schedule at which work of rank 2 was completed."""
    schedule = ReturnSchedule()
    schedule.record_completed(2, seconds, now)
    return schedule


def test_promised_times_follow_the_service_rate():
    """Refused callers returned together and were refused again."""
    schedule = schedule_with_work()
    times = [
        schedule.promise(number, 2, 1.0, 0.25, 9.0, 10.0)[0]
        for number in range(1, 5)
    ]
    assert times == pytest.approx([0.25 + n / 9.0 for n in range(4)])


def test_what_cannot_be_served_in_reach_is_not_invited():
    """Callers returned in vain, as all places in their reach were taken."""
    schedule = schedule_with_work()
    decisions = [
        schedule.promise(number, 2, 1.0, 0.25, 3.0, 10.0)
        for number in range(1, 40)
    ]
    invited = [seconds for seconds, promised in decisions if promised]
    declined = [seconds for seconds, promised in decisions if not promised]
    assert max(invited) <= 1.0
    assert declined and min(declined) > 3.0


@pytest.mark.parametrize(
    ("after", "kept"),
    [(0.1, False), (0.22, True), (0.7, True), (0.8, False)],
)
def test_only_a_caller_in_its_time_takes_its_place(after, kept):
    """A place was taken early, or kept free for a caller that is gone."""
    schedule = schedule_with_work()
    schedule.promise(1, 2, 1.0, 0.25, 9.0, 10.0)
    assert schedule.take(1, 10.0 + after) is kept
    assert not schedule.take(1, 10.0 + after)
    assert not schedule.promises


def test_newcomers_yield_to_promises_that_are_due():
    """Newcomers took the places of callers that were told to return."""
    schedule = schedule_with_work()
    schedule.promise(1, 2, 1.0, 0.25, 9.0, 10.0)
    assert schedule.due_seconds(2, 10.1) == 0.0
    assert schedule.due_seconds(2, 10.2) == pytest.approx(1 / 9.0)
    assert schedule.due_seconds(0, 10.2) == 0.0
    schedule.take(1, 10.25)
    assert schedule.due_seconds(2, 10.25) == 0.0
    schedule.promise(2, 2, 1.0, 0.25, 9.0, 10.25)
    assert schedule.due_seconds(2, 10.6) > 0.0
    assert schedule.due_seconds(2, 11.5) == 0.0
    assert schedule.expired == 1


def test_a_host_that_takes_over_promises_nothing_at_first():
    """A new placing host told all callers not to return."""
    assert not ReturnSchedule().knows_rate(2, 1.0, 10.0)
    assert schedule_with_work().knows_rate(2, 1.0, 10.0)


def test_queries_of_the_old_build_carry_no_return():
    """A rolling restart broke the queries between hosts."""
    query = PlacementQuery(
        host="h", number=1, service="s", request=7, caller_time_left=4.0
    )
    message = query_message(query)
    assert query_from_message(message) == query
    fields = msgspec.msgpack.decode(encode_message(message))
    old = decode_message(msgspec.msgpack.encode(fields[:-3]))
    assert query_from_message(old).request == 0
    refused = Refused(1.0, 2.0, 3, promised=True)
    assert decision_from_message(answer_message(1, refused)) == refused


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_callers_that_return_are_served(seed):
    """Callers came back when told to and were refused again.

    The load goes on for two seconds after its burst, so that returns compete
    with newcomers.
    """
    with_it = played(seed, seconds=7.0)
    without = played(seed, Mechanism.SCHEDULE, seconds=7.0)
    assert with_it.worth() > without.worth() + 0.005
    assert with_it.refused() < 0.1 * without.refused()
    assert with_it.refused_twice() < 0.001 * len(with_it.loads)
    returned = [one for one in with_it.loads if one.returned]
    assert sum(one.whole_at > 0 for one in returned) > 0.9 * len(returned)
