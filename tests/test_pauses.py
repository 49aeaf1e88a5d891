"""Gaps between the events of streams, and placement by them."""

import dataclasses
import random

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from hyssopspring.core.sentinels import NOTHING
from hyssopspring.entry.membership import decode_placement, gaps_from_message
from hyssopspring.entry.messages import (
    AttemptEndedMessage,
    PlacementQueryMessage,
    PlacementRow,
    decode_message,
    encode_message,
)
from hyssopspring.entry.placementmessages import (
    end_message,
    query_from_message,
    query_message,
)
from hyssopspring.traffic.decisions import PlacementQuery
from hyssopspring.traffic.mechanisms import Mechanism
from hyssopspring.traffic.pauses import (
    EngineGaps,
    GapMeter,
    GapModel,
    StreamGaps,
)
from hyssopspring.traffic.placing import Placer
from hyssopspring.traffic.reportedload import (
    NO_SLOW_PHASES,
    SlowdownMoments,
    SlowPhases,
)
from hyssopspring.traffic.routes import EngineSpec, Service
from hyssopspring.traffic.serverhealth import AttemptResult
from hyssopspring.traffic.servers import Registry, ServerEntry
from hyssopspring.traffic.work import Demand, EstimateRequest, Placement
from hyssopspring_fakes.emulation import emulate
from hyssopspring_fakes.loads import CALM, UNEVEN, UNEVEN_CALM

OFF = frozenset({Mechanism.PAUSES})
NOTE = Demand(tokens_in=826, tokens_out=288)
SUMMARY = Demand(
    parts=(("shared", 6300), ("own", 2890)), tokens_in=9190, tokens_out=56
)
FIRST_NEW_FIELDS = {"query": "gap_objective", "end": "events"}
"""First field of each message that hosts of an older version do not send."""


def late_starts(outcome):
    """Return the number of requests that began late."""
    return sum(
        one.first_at > 0 and one.first_at - one.at > one.kind.objective
        for one in outcome.loads
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_more_streams_have_no_long_gap_at_an_uneven_peak(seed):
    """Guards against long streams on engines that prefill all the time.

    The load is `UNEVEN`. Fewer than 70% of the requests are within both
    objectives without the mechanism.
    """
    outcome = emulate(UNEVEN, seed)
    without = emulate(dataclasses.replace(UNEVEN, off=OFF), seed)
    for kind in ("summary", "note"):
        assert outcome.share(kind) > without.share(kind) + 0.1
    assert outcome.share() > 0.75
    assert late_starts(outcome) <= late_starts(without) + 3
    assert outcome.refused() == without.refused() == 0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_calm_load_is_served_no_worse(seed):
    """Guards against costs of gaps where engines have time to spare."""
    outcome = emulate(UNEVEN_CALM, seed)
    without = emulate(dataclasses.replace(UNEVEN_CALM, off=OFF), seed)
    for kind in ("summary", "note"):
        assert outcome.share(kind) >= without.share(kind)
    assert outcome.share() > 0.98


def test_nothing_changes_without_gap_objectives():
    """Guards against other decisions in deployments without `gap_aim_ms`."""
    outcome = emulate(CALM)
    without = emulate(dataclasses.replace(CALM, off=OFF))
    assert_that(
        [one.first_at for one in outcome.loads],
        Equals([one.first_at for one in without.loads]),
    )


def test_lost_reports_of_gaps_are_made_up_for_by_others():
    """Guards against a model that depends on each report.

    Nine of ten reports are lost.
    """
    outcome = emulate(dataclasses.replace(UNEVEN, gap_reports=0.1))
    without = emulate(dataclasses.replace(UNEVEN, off=OFF))
    assert outcome.share() > without.share() + 0.05


def test_a_short_streak_of_prefill_causes_a_partial_gap():
    """Guards against a prediction that knows only idle and busy engines."""
    model = GapModel(event_tokens=8.0, ceiling=0.4)
    idle = model.longest_gap(0.007, 0.0)
    partial = model.longest_gap(0.007, 0.1)
    assert idle == pytest.approx(0.056)
    assert idle + 0.05 < partial < idle + 0.1
    assert_that(model.longest_gap(0.007, 9.0), Equals(0.4))


def test_a_pause_of_the_prefill_ends_a_streak():
    """Guards against streaks that add up although events came in between."""
    gaps = EngineGaps()
    gaps.set_prefilling(True, 1.0)
    gaps.set_prefilling(False, 1.2)
    assert gaps.streak_now(1.22) == pytest.approx(0.1)
    assert_that(gaps.streak_now(1.3), Equals(0.0))
    assert gaps.recent_streak(1.3) == pytest.approx(0.2, abs=0.01)


def test_larger_gaps_of_one_engine_raise_its_factor():
    """Guards against a slow engine that is predicted like the others."""
    model = GapModel()
    slow, usual = EngineGaps(model), EngineGaps(model)
    for number in range(30):
        for gaps, longest in ((slow, 0.2), (usual, 0.05)):
            placement = Placement("h", number, "e", 0.0, tokens_out=288)
            placement.started_at = 0.5
            gaps.learn(placement, StreamGaps(36, longest, 2.0), 0.006, 2.5)
    assert slow.factor > 3 * usual.factor


def test_a_meter_measures_the_longest_gap():
    """Guards against gaps that include the wait for the first event."""
    meter = GapMeter()
    assert_that(meter.gaps(), Is(NOTHING))
    for now in (5.0, 5.5, 5.75):
        meter.record(now)
    assert_that(meter.gaps(), Equals(StreamGaps(3, 0.5, 0.75)))


@pytest.fixture
def placer():
    """Return the placer of a region with two engines."""
    registry = Registry({"a": "north"})
    for name in ("e1", "e2"):
        entry = ServerEntry(
            id=name, service="engine", address=name, data_centre="a"
        )
        registry.put(entry, 0.0)
    spec = EngineSpec(slots=48, memory_tokens=407_703)
    return Placer(
        "north",
        registry,
        lambda name: Service(name=name, engine=spec),
        lambda service: 0.0,
        random.Random(1),
        lambda now: {"north"},
    )


def query(number, demand, **more):
    """Return a `PlacementQuery` with a gap objective."""
    values = {"time_left": 0.8, "priority": 1, "gap_objective": 0.3}
    return PlacementQuery(
        host="h",
        number=number,
        service="engine",
        demand=demand,
        **{**values, **more},
    )


def run_notes(placer, server_id, count):
    """Let *count* notes run on one engine, as another host reports them."""
    for number in range(1000, 1000 + count):
        row = PlacementRow(number, server_id, 0, 1114, 288, 2, True, 0.3)
        placer.adopt(decode_placement("h2", row, 0.0), 0.0)


def test_a_new_placing_host_knows_the_streams_from_heartbeats(placer):
    """Guards against long prompts beside streams placed by a lost host.

    The engine with the notes has the shared part cached, and a prompt is in
    prefill there.
    """
    first = placer.place(query(1, SUMMARY), 0.0)
    run_notes(placer, first.server_id, 12)
    second = placer.place(query(2, SUMMARY), 0.05)
    assert second.server_id != first.server_id


def test_a_cached_prefix_is_used_while_it_harms_no_stream(placer):
    """Guards against prefixes that are prefilled on each engine in turn."""
    first = placer.place(query(1, SUMMARY), 0.0)
    placer.record_response_start("h", 1, 0.15, 0.15)
    run_notes(placer, first.server_id, 12)
    second = placer.place(query(2, SUMMARY), 1.0)
    assert_that(second.server_id, Equals(first.server_id))


def test_gaps_make_no_request_late_at_its_first_event(placer):
    """Guards against urgent prompts that are late to spare streams.

    Only the engine with the streams has the shared part cached. The other one
    would begin the prompt after 0.4 s.
    """
    first = placer.place(query(1, SUMMARY), 0.0)
    run_notes(placer, first.server_id, 40)
    idle = placer.place(query(2, SUMMARY), 0.05)
    assert idle.server_id != first.server_id
    placer.drop("h", 2, 0.05)
    placer.forget_server(idle.server_id, 0.05)
    urgent = query(3, SUMMARY, time_left=idle.predicted - 0.02)
    second = placer.place(urgent, 0.05)
    assert_that(second.server_id, Equals(first.server_id))
    assert second.predicted < urgent.time_left


def test_ended_streams_are_no_longer_counted(placer):
    """Guards against counts that grow, which would keep prompts away."""
    model = placer.gap_model_of("engine")
    placed = placer.place(query(1, NOTE), 0.0)
    placer.place(query(2, NOTE), 0.0)
    assert_that(model.streams, Equals(2))
    placer.record_attempt_end(
        "h", 1, placed.server_id, AttemptResult.ANSWERED, 2.0
    )
    placer.forget_host("h", 2.0)
    counts = [
        one.gaps.streams + one.gaps.waiting for one in placer.work.values()
    ]
    assert_that((model.streams, sum(counts)), Equals((0, 0)))


def test_a_changed_engine_does_not_count_its_streams_twice(placer):
    """Guards against counts that stay after a new configuration."""
    placer.place(query(1, NOTE), 0.0)
    spec = EngineSpec(slots=32, memory_tokens=407_703)
    placer.service_of = lambda name: Service(name=name, engine=spec)
    placer.views.clear()
    placer.place(query(2, NOTE), 0.1)
    placer.forget_host("h", 0.2)
    assert_that(placer.gap_model_of("engine").streams, Equals(0))


def test_messages_carry_gaps_and_lack_them_from_older_hosts():
    """Guards against unread messages while hosts of two builds run."""
    gaps = StreamGaps(36, 0.25, 2.5)
    messages = {
        "query": query_message(query(1, NOTE)),
        "end": end_message("h", 1, "e1", AttemptResult.ANSWERED, gaps),
    }
    older = {}
    for name, message in messages.items():
        row = msgspec.msgpack.decode(encode_message(message))
        known = message.__struct_fields__.index(FIRST_NEW_FIELDS[name])
        shorter = msgspec.msgpack.encode(row[: 1 + known])
        older[name] = decode_message(shorter)
        assert_that(decode_message(encode_message(message)), Equals(message))
    assert isinstance(older["query"], PlacementQueryMessage)
    read = query_from_message(messages["query"])
    assert_that(read.gap_objective, Equals(0.3))
    assert_that(query_from_message(older["query"]).gap_objective, Equals(0.0))
    assert_that(gaps_from_message(messages["end"]), Equals(gaps))
    assert_that(gaps_from_message(older["end"]), Is(NOTHING))


@pytest.mark.parametrize(
    ("events", "longest", "seconds"),
    [(9, -1.0, 2.0), (9, 3.0, 2.0), (9, float("nan"), 2.0), (1, 0.0, 0.0)],
)
def test_impossible_reports_are_not_learned_from(events, longest, seconds):
    """Guards against one faulty host that spoils the model of all."""
    message = AttemptEndedMessage("h", 1, "e", 0, events, longest, seconds)
    assert_that(gaps_from_message(message), Is(NOTHING))


def test_slow_phases_are_known_from_reports():
    """Guards against streams that the next slow phase of an engine delays."""
    moments = SlowdownMoments()
    for number in range(1000):
        moments.learn(2.5 if number % 20 < 3 else 1.0)
    assert moments.phases.slowdown == pytest.approx(2.5)
    assert moments.phases.share == pytest.approx(0.15, abs=0.01)
    assert moments.phases.chance_within(0.0) < 0.2
    assert moments.phases.chance_within(2.0) > 0.4


def test_one_absurd_slowdown_changes_little():
    """Guards against one bad report that moves all streams."""
    moments = SlowdownMoments()
    for _ in range(500):
        moments.learn(1.0)
    moments.learn(8.0)
    assert moments.phases.share < 0.01


def test_a_prompt_costs_more_where_a_slow_phase_would_delay_streams():
    """Guards against prompts at an engine whose streams are barely on time."""
    gaps = EngineGaps(GapModel(ceiling=0.25))
    for number in range(20):
        placement = Placement("h", number, "e", 0.0, gap_objective=0.3)
        gaps.add(placement)
        gaps.mark_started(placement)
    request = EstimateRequest(now=1.0, urgency=5, demand=SUMMARY)
    usual, with_phases = (
        gaps.cost(request, 0.08, [0.0] * 10, 0.004, 1.0, phases)[0]
        for phases in (NO_SLOW_PHASES, SlowPhases(2.5, 0.15))
    )
    assert usual < with_phases
