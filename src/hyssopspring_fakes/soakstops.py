"""What a host that stops owes to each request, checked on a soak."""

import math
import signal
from dataclasses import dataclass, field

from .soakchecks import NOT_RUN, Violation

__all__ = ["Asked", "Life", "check_stops"]

READ_WITHIN = 0.1
"""Seconds in which a running process reads a request on loopback."""

DELIVERY_MARGIN = 0.5
"""Seconds before the end of the time allowed from which on a response that its
caller has not read yet may be cut."""

END_SLACK = 0.5
"""Seconds by which the end of a process may be late on a busy machine."""


@dataclass(slots=True)
class Life:
    """One process of a host.

    Attributes:
        host: The host.
        number: Its number among the processes of the host.
        stopped: Time of the first stop signal.
        killed: Time at which it was killed.
        ended: Time of its end, or a little earlier.
        noticed: Time at which its end was noticed.
        suspensions: Start and end of each time in which it was suspended.
    """

    host: str
    number: int
    stopped: float = math.inf
    killed: float = math.inf
    ended: float = math.inf
    noticed: float = math.inf
    suspensions: list = field(default_factory=list)

    def note_signal(self, number, now):
        """Note a signal that was sent to the process."""
        if number in (signal.SIGTERM, signal.SIGINT):
            self.stopped = min(self.stopped, now)
        elif number == signal.SIGKILL:
            self.killed = min(self.killed, now)
        elif number == signal.SIGSTOP and not self.suspended(now, now):
            self.suspensions.append([now, math.inf])
        elif number == signal.SIGCONT and self.suspended(now, now):
            self.suspensions[-1][1] = now

    def suspended(self, start, end):
        """Return whether it was suspended at any time from start to end."""
        return any(a <= end and start < b for a, b in self.suspensions)


@dataclass(slots=True)
class Asked:
    """A request on a connection that was accepted.

    Attributes:
        kind: What its caller does.
        id: Its identifier.
        path: Its path.
        life: The `Life` of the process that it was sent to.
        sent: Time at which its last byte was sent.
        ended: Time of the end of its response or its connection; infinite
            if neither came while its caller waited.
        status: HTTP status, or 0 without a response.
        whole: Whether the response is whole and to this request.
        after_close: Whether the response before it on its connection
            announced that the connection closes, so that HTTP lets the host
            ignore it.
        after_end: Whether the host had closed the connection before the last
            byte was to be sent.
    """

    kind: str
    id: str
    path: str
    life: Life
    sent: float = math.inf
    ended: float = math.inf
    status: int = 0
    whole: bool = False
    after_close: bool = False
    after_end: bool = False


def check_stops(lives, requests, ran, allowed, began=0.0):
    """Return each `Violation` of what is owed to requests at stops.

    Args:
        lives: Each `Life`.
        requests: Each `Asked`.
        ran: Identifier of each request that a server has run.
        allowed: Seconds in which a process ends after a stop signal.
        began: Time at which the times in texts begin.
    """
    found = [
        Violation("ENDED-LATE", None, text)
        for life in lives
        for text in ended_late(life, allowed)
    ]
    for one in requests:
        rule = broken_rule(one, ran, allowed)
        if rule:
            found.append(Violation(rule, None, describe(one, began)))
    return found


def ended_late(life, allowed):
    """Yield a text if a process ended later than it may.

    A process that is suspended as its time is over ends when it wakes.
    """
    woken = max((end for _, end in life.suspensions), default=0.0)
    if min(life.ended, life.killed) > (
        max(life.stopped + allowed, woken) + END_SLACK
    ):
        took = life.ended - life.stopped
        yield f"{life.host} life {life.number}: {took:.2f} s"


def broken_rule(one, ran, allowed):
    """Return the rule that the outcome of a request breaks, or ""."""
    if one.whole:
        refused_but_ran = one.status in NOT_RUN and one.id in ran
        return "REFUSED" if refused_but_ran else ""
    if one.after_close and not one.status:
        return "LOST" if one.id in ran else ""
    if is_excused(one, allowed):
        return ""
    return "CUT" if one.status else "NO-RESPONSE"


def is_excused(one, allowed):
    """Return whether a request may go without a whole response."""
    life, end = one.life, one.life.stopped + allowed
    if life.killed < math.inf and life.killed <= one.ended:
        return True
    if life.ended - one.sent < READ_WITHIN or one.sent == math.inf:
        return True
    if life.suspended(one.sent, one.sent + READ_WITHIN):
        return True
    if life.suspended(end, end) and one.ended >= end:
        return True
    lost = min(one.ended, life.noticed)
    return bool(one.status) and end - DELIVERY_MARGIN <= lost < math.inf


def describe(one, began):
    """Return a text of a request without a whole response."""
    life = one.life
    return (
        f"{life.host} life {life.number} {one.kind} {one.path} {one.id} "
        f"status {one.status}: sent at {one.sent - began:.2f} s, "
        f"{one.sent - life.stopped:.2f} s after the stop signal, "
        f"{life.ended - one.sent:.2f} s before the end of the process, "
        f"ended after {one.ended - one.sent:.2f} s"
    )
