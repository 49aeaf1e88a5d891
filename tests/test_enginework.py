"""The model of an inference engine, compared to observed behaviour."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from hyssopspring.core.sentinels import NOTHING
from hyssopspring.traffic.decoding import (
    DecodeTimes,
    DutyCycle,
    RankUtilization,
)
from hyssopspring.traffic.enginework import EngineWork
from hyssopspring.traffic.mechanisms import Mechanism
from hyssopspring.traffic.prefill import PrefillTimes, attention_pairs
from hyssopspring.traffic.routes import EngineSpec
from hyssopspring.traffic.slotuse import SlotUse, seconds_to_free_slot
from hyssopspring.traffic.work import Demand, Placement, answer_cost

LONG = Demand(tokens_in=40_000, tokens_out=100)
SHORT = Demand(tokens_in=800, tokens_out=300)


@pytest.fixture
def engine():
    """Return the model of an idle engine."""
    spec = EngineSpec(slots=64, memory_tokens=408_193)
    return EngineWork(spec, PrefillTimes(), DecodeTimes())


@pytest.fixture
def place_prompt(engine):
    """Return a function that places a prompt on the engine."""
    numbers = iter(range(1, 1000))

    def place(demand, urgency, now):
        placement = Placement(
            host="h1",
            number=next(numbers),
            server_id="e1",
            placed_at=now,
            uncached_tokens=demand.tokens_in,
            tokens=demand.tokens_in + demand.tokens_out,
            tokens_out=demand.tokens_out,
            urgency=urgency,
            predicted=engine.predict(demand, urgency, now),
        )
        engine.begin(placement, demand)
        return placement

    return place


def test_an_urgent_prompt_waits_for_the_one_that_is_read(engine, place_prompt):
    """Guard against a wrong prediction behind a long prompt in prefill.

    The engine has begun to prefill 40,000 tokens that are less urgent, and
    does so to their end. The urgent prompt was predicted to start in 0.04 s,
    as if it could overtake, and its caller waited for a second.
    """
    place_prompt(LONG, 6, 0.0)
    alone = engine.idle_seconds(SHORT, SHORT.tokens_in)
    rest = engine.idle_seconds(LONG, LONG.tokens_in) - 0.2
    predicted = engine.predict(SHORT, 2, 0.2)
    assert_that(round(predicted, 6), Equals(round(rest + alone, 6)))


def test_an_urgent_prompt_overtakes_those_that_only_wait(engine, place_prompt):
    """Guard against refusing urgent requests for a queue they overtake."""
    place_prompt(SHORT, 6, 0.0)
    before = engine.predict(SHORT, 2, 0.0)
    place_prompt(LONG, 6, 0.0)
    assert_that(engine.predict(SHORT, 2, 0.0), Equals(before))
    assert engine.predict(SHORT, 6, 0.0) > before + 0.5


def test_the_most_urgent_of_those_that_wait_is_read_next(engine, place_prompt):
    """Of two prompts that wait, the later but more urgent one is next."""
    first = place_prompt(SHORT, 6, 0.0)
    place_prompt(LONG, 6, 0.01)
    urgent = place_prompt(SHORT, 2, 0.02)
    engine.start(first, 0.05, 0.05)
    assert_that(engine.active_prefill, Is(urgent))


def test_a_prompt_whose_answer_is_lost_holds_up_nobody(engine, place_prompt):
    """Guard against an engine that looks busy until a caller gives up.

    The engine has run a request, but its answer was lost and the engine gets
    no more requests. A prompt that arrived later starts, which shows that the
    former one was prefilled.
    """
    place_prompt(LONG, 2, 0.0)
    later = place_prompt(SHORT, 2, 1.0)
    engine.start(later, 0.3, 1.3)
    assert_that(engine.active_prefill, Is(NOTHING))
    assert_that(engine.prefill_wait(6, 1.3), Equals(0.0))


def test_an_engine_that_stalls_looks_worse_with_time(engine, place_prompt):
    """Guard against requests to an engine that has long been silent."""
    place_prompt(SHORT, 2, 0.0)
    assert (
        engine.prefill_wait(2, 3.0)
        > engine.prefill_wait(2, 1.0)
        > engine.prefill_wait(2, 0.1)
    )


def test_the_end_of_the_prompt_at_the_head_lets_others_go_on(
    engine, place_prompt
):
    """The next prompt is in prefill when a caller disconnects."""
    cancelled = place_prompt(LONG, 6, 0.0)
    other = place_prompt(SHORT, 6, 0.1)
    engine.end(cancelled, 0.2)
    assert_that(engine.active_prefill, Is(other))
    engine.end(other, 0.3)
    assert_that(engine.active_prefill, Is(NOTHING))


@pytest.mark.parametrize(
    ("fixed", "by_token", "by_pair"),
    [(0.0083, 18.7e-6, 3.2e-10), (0.012, 26e-6, 6.5e-10), (0.02, 6e-5, 0.0)],
)
def test_the_time_of_reading_is_learned(fixed, by_token, by_pair):
    """Guard against predictions that are permanently wrong by half.

    Fixed constants fit only the engines of the first deployment. Here engines
    of three kinds prefill two dozen prompts of lengths as on the users'
    sheets, each with an error of up to 10 ms.
    """
    prefill_times = PrefillTimes()

    def true_seconds(tokens):
        pairs = attention_pairs(tokens, tokens)
        return fixed + by_token * tokens + by_pair * pairs

    lengths = (700, 2400, 12_000, 900, 6_000, 30_000, 1_500, 18_000)
    for number, tokens in enumerate(lengths * 3):
        noise = 0.01 * (-1) ** number
        prefill_times.learn(
            tokens,
            attention_pairs(tokens, tokens),
            true_seconds(tokens) + noise,
        )
    for tokens in (800, 9_000, 25_000):
        predicted = prefill_times.seconds(
            tokens, attention_pairs(tokens, tokens)
        )
        assert abs(
            predicted - true_seconds(tokens)
        ) < 0.02 + 0.1 * true_seconds(tokens)


def test_one_stalled_engine_does_not_spoil_what_is_known_of_all():
    """Guard against refusing all callers because of one stalled engine.

    Its observation would make all engines of the service look slow.
    """
    prefill_times = PrefillTimes()
    for _ in range(20):
        prefill_times.learn(9_000, attention_pairs(9_000, 9_000), 0.2)
    before = prefill_times.seconds(9_000, attention_pairs(9_000, 9_000))
    prefill_times.learn(9_000, attention_pairs(9_000, 9_000), 8.0)
    after = prefill_times.seconds(9_000, attention_pairs(9_000, 9_000))
    assert after < before * 1.1


def test_an_engine_that_reads_all_the_time_makes_answers_slowly(
    engine, place_prompt
):
    """Guard against truncated long answers while other engines are idle.

    Each step of the engine contains a chunk of a prompt and takes six times as
    long. A request with 900 tokens of answer started within 0.1 s there, but
    needed 20 s to its end, which exceeds its caller's deadline.
    """
    idle = engine.token_time(0.0)
    for step in range(40):
        placement = place_prompt(LONG, 6, step * 0.8)
        engine.start(placement, 0.8, (step + 1) * 0.8)
    assert engine.token_time(32.0) > 3 * idle
    assert engine.token_time(60.0) < 1.5 * idle


def test_an_answer_that_may_be_cut_costs_more_than_the_way_elsewhere():
    """The latency to another region is 0.2 s; a truncated answer is lost."""
    slow = answer_cost(900, 0.02, 9.5)
    quick = answer_cost(900, 0.006, 9.5)
    assert slow - quick > 0.5
    assert answer_cost(24, 0.03, 9.5) - answer_cost(24, 0.006, 9.5) < 0.1


def test_a_wait_includes_prompts_that_will_overtake():
    """Guard against long prompts that start late although predicted in time.

    Half of the engine's time is used by more urgent prompts, which continue to
    arrive.
    """
    utilization = RankUtilization()
    for step in range(60):
        utilization.add(0, 0.05, step * 0.1)
    assert 1.6 < utilization.slowdown(2, 6.0) < 2.4
    assert_that(utilization.slowdown(0, 6.0), Equals(1.0))
    assert utilization.slowdown(2, 20.0) < 1.05


def test_the_part_of_the_time_with_reading_fades():
    """Guard against avoiding an engine permanently that was busy once."""
    duty = DutyCycle()
    duty.set_prefilling(True, 0.0)
    duty.set_prefilling(False, 10.0)
    assert duty.recent > 0.9
    duty.advance(30.0)
    assert duty.recent < 0.01
    assert_that(duty.total, Equals(10.0))


@pytest.mark.parametrize(
    ("disabled", "holds"), [((), True), ((Mechanism.SLOTS,), False)]
)
def test_a_wait_for_a_slot_is_no_prefill(disabled, holds):
    """Guard against refusals on an engine whose slots become free.

    Both slots are in use for a second. The third request waited that long,
    and the engine counted as busy with its prefill, slow and without time for
    output tokens, so that all further requests were predicted far too late.
    """
    spec = EngineSpec(slots=2, memory_tokens=408_193)
    engine = EngineWork(
        spec, PrefillTimes(), DecodeTimes(), disabled=frozenset(disabled)
    )

    def place(number, now):
        placement = Placement(
            host="h1",
            number=number,
            server_id="e1",
            placed_at=now,
            uncached_tokens=4_000,
            tokens=4_300,
            tokens_out=300,
            urgency=6,
        )
        engine.begin(placement, NOTHING)
        return placement

    running = [place(number, 0.0) for number in (1, 2)]
    for placement in running:
        engine.start(placement, 0.1, 0.1)
    waiting = place(3, 0.2)
    prefill = waiting.prefill_seconds
    assert_that(engine.prefill_wait(6, 1.0) < 2 * prefill, Is(holds))
    engine.end(running[0], 1.1, complete=True)
    engine.start(waiting, 0.9 + prefill, 1.1 + prefill)
    assert_that(engine.prefill_slowdown < 1.1, Is(holds))


@pytest.mark.parametrize(
    ("running", "waiting", "expected"),
    [
        ([1.0, 2.0], [], 1.0),
        ([1.0], [], 0.0),
        ([1.0, 4.0], [0.5, 0.5], 2.0),
        ([1.0, 4.0], [5.0, 0.5], 4.5),
        ([1.0, 2.0, 3.0], [], 2.0),
    ],
)
def test_slots_are_free_again_after_short_requests(running, waiting, expected):
    """Guard against refusals behind a queue that moves fast."""
    assert_that(seconds_to_free_slot(2, running, waiting), Equals(expected))


def test_more_urgent_requests_to_come_extend_a_wait_for_a_slot():
    """Guard against late starts of requests that yield at a full engine."""
    use = SlotUse(slots=4)
    for step in range(60):
        use.add_demand(4, 0.1, step * 0.1)
    assert_that(use.slowdown(4, 6.0), Equals(1.0))
    assert 1.2 < use.slowdown(5, 6.0) < 1.4
    assert use.slowdown(5, 30.0) < 1.01
