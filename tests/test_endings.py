"""Servers that have ended, told from those that break off or go."""

from dataclasses import dataclass, field

import pytest
from networks import Quiet
from testtools.assertions import assert_that
from testtools.matchers import Equals
from twisted.internet import defer, task
from twisted.web.http_headers import Headers

from hyssopspring.core.sentinels import NOTHING
from hyssopspring.entry.attempts import Sending
from hyssopspring.entry.connections import Lane
from hyssopspring.entry.endings import WAIT, Endings
from hyssopspring.traffic.evidence import Finding
from hyssopspring.traffic.servers import Registry, ServerEntry

LANE = Lane("s", "10.0.0.1:1")


@dataclass
class Ended:
    """An attempt that its server broke off.

    Attributes:
        ran_for: Seconds since it was sent.
        headed: Whether the head of its answer had come.
        begun_for: Seconds since the first of its answer, or `NOTHING`.
    """

    ran_for: float = 0.1
    headed: bool = False
    begun_for: object = NOTHING
    lane: Lane = LANE
    broke_off: bool = True
    events: int = 0
    finding: Finding = Finding.ERROR
    sending: Sending = field(
        default_factory=lambda: Sending(
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
    """Connections of which a test says whether they are refused."""

    def __init__(self):
        self.refused = []

    def is_refused(self, lane):
        """Return the next of the answers that the test gave."""
        if not self.refused:
            return defer.Deferred()
        return defer.succeed(self.refused.pop(0))


class Noted:
    """What was found, in order."""

    def __init__(self):
        self.found = []

    def has_suspects(self):
        """Whether something was found before."""
        return True

    def server_ended(self, fingerprint, caller, server, sent_by):
        """Note an end."""
        self.found.append(f"ended {server}")

    def ran_well(self, fingerprint, caller):
        """Note that the request ran well."""
        self.found.append("ran well")


class Parts:
    """An `Endings` and what it uses."""

    def __init__(self):
        self.clock = task.Clock()
        self.probes = Probes()
        self.noted = Noted()
        self.done = NOTHING
        self.registry = Registry({"a": "north"})
        entry = ServerEntry(
            id="s", service="e", address=LANE.address, data_centre="a"
        )
        self.registry.put(entry, 0.0)
        self.endings = Endings(
            self.probes, self.registry, self.clock, Quiet(), self.noted
        )

    def examine(self, attempt):
        """Let an attempt be looked at; return all that was found so far."""
        self.done = self.endings.examine(attempt, "10.0.0.9", 0.2)
        return self.noted.found


@pytest.fixture
def parts():
    """Return an `Endings` that has seen nothing."""
    return Parts()


def test_a_server_that_has_broken_off_before_may_end_later(parts):
    """Servers go on to end under one request that nobody counts.

    A busy server resets a connection, and lives: a connection to it opens.
    A moment later it ends under the request. What was found of it before
    was held to be still true.
    """
    parts.probes.refused = [False, True]
    assert_that(parts.examine(Ended()), Equals([]))
    parts.clock.advance(0.3)
    assert_that(parts.examine(Ended()), Equals(["ended s"]))


def test_a_request_that_waited_for_long_is_not_taken_for_sound(parts):
    """A request ends server after server under load, and is never blocked.

    It waits at a full server for a second longer than predicted before it
    is run, and the server ends. It had not run at all by then as far as
    can be told; that it ran well cannot be concluded from it.
    """
    parts.probes.refused = [True]
    found = parts.examine(Ended(ran_for=3.0))
    assert_that(found, Equals([]))


def test_the_head_of_an_answer_is_its_beginning(parts):
    """The same, where the head shows that the server had begun it.

    Only what came after the head shows that the server could run it.
    """
    parts.probes.refused = [True]
    found = parts.examine(Ended(ran_for=3.0, headed=True))
    assert_that(found, Equals(["ended s"]))
    found = parts.examine(Ended(ran_for=3.0, headed=True, begun_for=0.7))
    assert_that(found, Equals(["ended s", "ran well"]))


def test_nobody_waits_for_a_server_without_power(parts):
    """Each stream that such a server had goes on 0.35 s later than it could.

    Its address neither accepts connections nor refuses them.
    """
    assert_that(parts.examine(Ended()), Equals([]))
    assert not parts.done.called
    parts.clock.advance(WAIT)
    assert parts.done.called
    assert_that(parts.noted.found, Equals([]))
