"""Placement queries between hosts of a region, and the answers to them."""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from twisted.internet import defer, task

from hyssopspring.core.events import HybridClock, Timeline
from hyssopspring.entry.coordinator import PlacementCoordinator
from hyssopspring.entry.messages import (
    AttemptEndedMessage,
    decode_message,
    encode_message,
)
from hyssopspring.entry.placementmessages import (
    answer_message,
    decision_from_message,
    query_message,
)
from hyssopspring.traffic.decisions import (
    Placed,
    PlacedRemotely,
    PlacementQuery,
    RateLimited,
    Refused,
)
from hyssopspring.traffic.members import Member, Members
from hyssopspring.traffic.pauses import StreamGaps
from hyssopspring.traffic.placing import Placer
from hyssopspring.traffic.retryafter import RetryAfterPauses
from hyssopspring.traffic.routes import Service
from hyssopspring.traffic.serverhealth import AttemptResult
from hyssopspring.traffic.servers import Registry, ServerEntry

DECISIONS = [
    Placed("server", "127.0.0.1:80", 3, 0.25),
    Placed("server", "127.0.0.1:80", 2, 0.5, at_once=True),
    Placed("server", "127.0.0.1:80", 2, 0.5, copy_from="127.0.0.2:80"),
    Placed("server", "127.0.0.1:80", 2, 0.5, pause=0.125),
    PlacedRemotely("south", 0.4),
    Refused(0.75, 1.5, 4),
    RateLimited(0.3, "placer", 3333, -120, 90_000),
]


@pytest.mark.parametrize("decision", DECISIONS)
def test_a_decision_survives_encoding_and_decoding(decision):
    """Guards against decisions that cannot be encoded.

    If the placing host failed to encode a refusal, the querying host would
    wait for 80 ms, query the next host in vain, decide by itself without the
    state of the region, and send the request to an engine that is full.
    """
    message = decode_message(encode_message(answer_message(7, decision)))
    assert_that(message.number, Equals(7))
    assert_that(decision_from_message(message), Equals(decision))


class Unlimited:
    """Limiter that allows all requests."""

    @property
    def placement_share(self):
        """Return the object that records queries."""
        return self

    def note_asked(self, host, *, is_fallback, recent_fallback):
        """Do nothing."""

    def decide(self, ask, decide):
        """Return the result of *decide*."""
        return decide()

    def record_attempt_end(self, host, number, result):
        """Do nothing."""


class SentMessages(list):
    """Record the messages that are sent, with their addresses."""

    def send(self, message, address):
        """Record one message."""
        self.append((message, address))


def make_member(name):
    """Return a member of the region that has been up for a minute."""
    return Member(
        name=name,
        region="north",
        data_centre="north-a",
        front="",
        control=f"{name}:2",
        relay="",
        capacity=9.0 if name == "placer" else 0.1,
        up_seconds=60.0,
    )


def make_coordinator(own, other, seed=1):
    """Return a host's `PlacementCoordinator`, its clock and sent messages."""
    clock = task.Clock()
    members = Members(make_member(own))
    members.add(make_member(other))
    members.others[other].last_heartbeat_at = 0.0
    sent = SentMessages()
    registry = Registry({})
    placer = Placer(
        "north",
        registry,
        lambda name: Service(name=name),
        lambda service: 0.0,
        random.Random(1),
        lambda now: {"north"},
    )
    timeline = Timeline(own, HybridClock(clock.seconds))
    coordinator = PlacementCoordinator(
        members,
        placer,
        registry,
        sent,
        clock,
        clock.seconds,
        timeline,
        Unlimited(),
        RetryAfterPauses(registry, random.Random(1)),
        random.Random(seed),
    )
    return coordinator, clock, sent


def test_a_busy_placing_host_answers_the_newest_questions():
    """Guards against an overloaded placing host that answers only too late.

    If it answered queries in order of arrival, each answer would come after
    the timeout, and every host would place its requests by itself without
    the state of the region.
    """
    coordinator, clock, sent = make_coordinator("placer", "asker")
    asker = coordinator.members.others["asker"]

    def ask(number):
        message = query_message(
            PlacementQuery(host="asker", number=number, service="s")
        )
        coordinator.enqueue_query(message, asker)

    for number in range(30):
        ask(number)
    # The event loop is blocked, by other work or by more queries than the
    # host can answer. Then ten more arrive.
    clock.rightNow += 0.2
    for number in range(30, 40):
        ask(number)
    for _ in range(10):
        clock.advance(0)
    answered = [message.number for message, _ in sent]
    assert_that(sorted(answered), Equals(list(range(30, 40))))
    assert_that(answered[0], Equals(39))
    assert_that(coordinator.queries_dropped, Equals(30))


def test_the_gaps_of_a_stream_are_reported_to_the_placing_host():
    """Guards against a placing host that never learns the gaps it causes."""
    coordinator, _, sent = make_coordinator("asker", "placer")
    ask = PlacementQuery(host="asker", number=1, service="s")
    coordinator.track_placement(1, ask, DECISIONS[0], "placer")
    gaps = StreamGaps(36, 0.25, 2.5)
    coordinator.record_attempt_end(1, AttemptResult.ANSWERED, gaps)
    message, _ = sent[-1]
    assert_that((message.events, message.longest_gap), Equals((36, 0.25)))


def test_a_late_placement_is_released():
    """Guards against servers that look loaded by requests they never get.

    The placing host is busy and answers after 0.2 s, when the querying host
    has already decided by itself. Without a release, the placing host would
    go on counting the request at its server.
    """
    coordinator, clock, sent = make_coordinator("asker", "placer")
    done = defer.ensureDeferred(
        coordinator.place(PlacementQuery(host="", number=0, service="plain"))
    )
    clock.advance(0.2)
    number, decision = done.result
    assert isinstance(decision, Refused)
    coordinator.handle_answer(answer_message(number, DECISIONS[0]))
    message, address = sent[-1]
    assert isinstance(message, AttemptEndedMessage)
    assert_that((message.host, message.number), Equals(("asker", number)))
    assert_that(message.server_id, Equals("server"))
    assert_that(address, Equals("placer:2"))


def place(coordinator, **more):
    """Begin to place a request; return the deferred number and decision."""
    ask = PlacementQuery(host="", number=0, service="plain", **more)
    return defer.ensureDeferred(coordinator.place(ask))


def list_server(coordinator, **more):
    """List the server that `DECISIONS` name."""
    values = {"id": "server", "service": "plain", "data_centre": "north-a"}
    coordinator.registry.put(
        ServerEntry(address="127.0.0.1:80", **{**values, **more}), 0.0
    )


def test_an_answer_to_a_former_process_is_not_used():
    """Guards against another request's grant after a host starts again.

    Its placing host was frozen and answers the queries of both processes.
    """
    former, _, former_sent = make_coordinator("asker", "placer", seed=1)
    place(former)
    coordinator, _, _ = make_coordinator("asker", "placer", seed=2)
    done = place(coordinator)
    query, _ = former_sent[-1]
    coordinator.handle_answer(
        answer_message(query.number, DECISIONS[0], "placer")
    )
    assert not done.called


def test_an_answer_of_a_host_that_was_not_asked_is_not_used():
    """Guards against the grant of a host that is no longer asked.

    Its placing host counts a request that the asked host places as well.
    """
    coordinator, _, sent = make_coordinator("asker", "placer")
    done = place(coordinator)
    number = sent[-1][0].number
    coordinator.handle_answer(answer_message(number, DECISIONS[0], "other"))
    assert not done.called
    coordinator.handle_answer(answer_message(number, DECISIONS[0], "placer"))
    assert_that(done.result, Equals((number, DECISIONS[0])))


@pytest.mark.parametrize(
    ("entry", "ask", "decision"),
    [
        ({"service": "other"}, {}, DECISIONS[0]),
        ({}, {"excluded": ("server",)}, DECISIONS[0]),
        ({}, {"regions": frozenset({"south"})}, DECISIONS[0]),
        ({}, {"regions": frozenset({"north"})}, DECISIONS[4]),
    ],
)
def test_a_grant_that_the_request_does_not_allow_is_not_used(
    entry, ask, decision
):
    """Guards against a request at a server or region that it may not reach."""
    coordinator, _, sent = make_coordinator("asker", "placer")
    list_server(coordinator, **entry)
    done = place(coordinator, **ask)
    number = sent[-1][0].number
    coordinator.handle_answer(answer_message(number, decision, "placer"))
    _, used = done.result
    assert used != decision
    assert isinstance(sent[-1][0], AttemptEndedMessage)
