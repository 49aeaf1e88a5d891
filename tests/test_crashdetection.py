"""Tell server crashes from responses that a server ended early."""

from dataclasses import dataclass, field, replace

import pytest
from networks import Quiet
from testtools.assertions import assert_that
from testtools.matchers import Equals
from twisted.internet import defer, task
from twisted.web.http_headers import Headers

from hyssopspring.core.sentinels import NOTHING
from hyssopspring.entry.attempts import Attempt, OutgoingRequest
from hyssopspring.entry.connections import Endpoint, Framing
from hyssopspring.entry.crashdetection import (
    MAX_PROBE_WAIT_SECONDS,
    CrashDetector,
)
from hyssopspring.traffic.serverhealth import AttemptResult
from hyssopspring.traffic.servers import Registry, ServerEntry

ENDPOINT = Endpoint("s", "10.0.0.1:1")


@dataclass
class BrokenAttempt:
    """An attempt whose server ended the response early.

    Attributes:
        attempt_age: Seconds since it was sent.
        head_received: Whether the head of its response had arrived.
        response_age: Seconds since the first response data, or `NOTHING`.
    """

    attempt_age: float = 0.1
    head_received: bool = False
    response_age: object = NOTHING
    endpoint: Endpoint = ENDPOINT
    broken_by_peer: bool = True
    events: int = 0
    result: AttemptResult = AttemptResult.ERROR
    is_success: bool = False
    run_recorded: bool = False
    framing: Framing = Framing.LENGTH
    outgoing: OutgoingRequest = field(
        default_factory=lambda: OutgoingRequest(
            id=b"r",
            method=b"POST",
            uri=b"/a",
            headers=Headers({b"host": [b"a.example"]}),
            body=b"",
            stream=True,
            repeatable=True,
        )
    )


class Probes:
    """Stub of `Connections` whose probes return what a test sets."""

    def __init__(self):
        self.refused = []

    def is_refused(self, endpoint):
        """Return the next result that the test has set."""
        if not self.refused:
            return defer.Deferred()
        return defer.succeed(self.refused.pop(0))


class CrashRecorder:
    """Record reports in their order."""

    def __init__(self):
        self.recorded = []

    def has_suspects(self):
        """Return that some request is suspected."""
        return True

    def record_server_crash(
        self, origin, server, *, release, isolated, peer_ip
    ):
        """Record a crash."""
        self.recorded.append(f"crashed {server}")

    def record_completion(self, fingerprint, caller):
        """Record that the request ran well."""
        self.recorded.append("ran well")

    def record_part_runs(self, keys, server):
        """Record that parts of its prompt ran well."""
        self.recorded.append(f"{' '.join(keys)} ran on {server}")


class DetectorHarness:
    """A `CrashDetector` and its dependencies."""

    def __init__(self):
        self.clock = task.Clock()
        self.probes = Probes()
        self.recorder = CrashRecorder()
        self.done = NOTHING
        self.registry = Registry({"a": "north"})
        entry = ServerEntry(
            id="s", service="e", address=ENDPOINT.address, data_centre="a"
        )
        self.registry.put(entry, 0.0)
        self.endings = CrashDetector(
            self.probes, self.registry, self.clock, Quiet(), self.recorder
        )

    def examine(self, attempt):
        """Examine an attempt; return everything recorded so far."""
        self.done = self.endings.examine(attempt, "10.0.0.9", 0.2)
        return self.recorder.recorded


@pytest.fixture
def harness():
    """Return a `DetectorHarness` without any previous attempts."""
    return DetectorHarness()


def test_a_server_that_has_broken_off_before_may_end_later(harness):
    """A crash right after a reset connection is recorded.

    A busy server resets a connection and keeps running: a probe connects to
    it. A moment later it crashes under the request. If the result of the first
    probe were reused, the crash would not be counted, and the request would go
    on to crash servers.
    """
    harness.probes.refused = [False, True]
    assert_that(harness.examine(BrokenAttempt()), Equals([]))
    harness.clock.advance(0.3)
    assert_that(harness.examine(BrokenAttempt()), Equals(["crashed s"]))


def test_a_request_that_waited_for_long_is_not_taken_for_sound(harness):
    """A long wait before a crash does not count as a successful run.

    Under load, a request waits at a full server for a second longer than
    predicted, and the server crashes. As far as can be determined the request
    had not run at all. If it were taken to have run well, a request that
    crashes server after server would never be blocked.
    """
    harness.probes.refused = [True]
    recorded = harness.examine(BrokenAttempt(attempt_age=3.0))
    assert_that(recorded, Equals([]))


def test_the_head_of_an_answer_is_its_beginning(harness):
    """A response head shows that the server had started to run a request.

    Only data after the head shows that the server is able to run it.
    """
    harness.probes.refused = [True]
    recorded = harness.examine(
        BrokenAttempt(attempt_age=3.0, head_received=True)
    )
    assert_that(recorded, Equals(["crashed s"]))
    recorded = harness.examine(
        BrokenAttempt(attempt_age=3.0, head_received=True, response_age=0.7)
    )
    assert_that(recorded, Equals(["crashed s", "ran well"]))


def test_nobody_waits_for_a_server_without_power(harness):
    """A request does not wait for a probe that gets no reply.

    The address of a server without power neither accepts connections nor
    refuses them. Waiting for the connection timeout would delay the resumption
    of each of its streams by 0.35 s.
    """
    assert_that(harness.examine(BrokenAttempt()), Equals([]))
    assert not harness.done.called
    harness.clock.advance(MAX_PROBE_WAIT_SECONDS)
    assert harness.done.called
    assert_that(harness.recorder.recorded, Equals([]))


def request_with_parts():
    """Return an `OutgoingRequest` whose prompt has two shared parts."""
    return replace(BrokenAttempt().outgoing, parts=("a", "b"))


@pytest.mark.parametrize(
    ("changes", "recorded"),
    [
        (
            {"is_success": True, "response_age": 0.0},
            ["part:a part:b ran on s"],
        ),
        ({"response_age": 0.7}, ["part:a part:b ran on s", "ran well"]),
        ({"response_age": 0.3}, []),
        ({"result": AttemptResult.SILENT}, []),
    ],
)
def test_only_a_response_that_shows_a_run_clears_parts(
    harness, changes, recorded
):
    """A part is not taken for sound after an error or a short response."""
    attempt = BrokenAttempt(
        broken_by_peer=False, outgoing=request_with_parts(), **changes
    )
    assert_that(harness.examine(attempt), Equals(recorded))


def test_a_long_response_clears_parts_before_it_ends(harness):
    """A sound part is not isolated until a stream of minutes has ended."""
    attempt = BrokenAttempt(response_age=0.7, outgoing=request_with_parts())
    for _ in range(2):
        harness.endings.examine_running(attempt)
    assert_that(harness.recorder.recorded, Equals(["part:a part:b ran on s"]))


def test_a_pause_of_this_host_is_no_run():
    """A host that was stopped does not take a crash for a long run.

    A server begins a response and crashes at once, while the host is stopped;
    the host notices the end seconds later.
    """
    clock = task.Clock()
    attempt = Attempt(
        NOTHING,
        ENDPOINT,
        request_with_parts(),
        NOTHING,
        clock,
        on_stream=NOTHING,
        on_first_data=lambda: None,
    )
    attempt.note_data()
    clock.advance(0.1)
    attempt.note_data()
    clock.advance(8.0)
    attempt.ended_at = clock.seconds()
    assert_that(round(attempt.response_age, 3), Equals(0.1))
