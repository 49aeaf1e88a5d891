"""Account of the memory and the descriptors that clients of a process hold.

All listeners of a process share one account. It counts the bodies that are
being received, those that are kept while a request is in progress, the
responses that are being received for a client, and what a client has not read
yet. A client that proceeds at an ordinary rate is never ended.
"""

import fcntl
import gc
import resource
import termios
from dataclasses import dataclass

from ..core.sentinels import NOTHING
from .inputs import InputQueue

__all__ = [
    "CHECK_INTERVAL_SECONDS",
    "RETRY_SECONDS",
    "ClientAccount",
    "ClientLimits",
    "Holding",
    "limits_for",
    "unacknowledged_bytes",
]

DEFAULT_MEMORY_BYTES = 512 * 1024 * 1024
"""Memory of a process whose settings state none."""

MEMORY_SHARE = 0.25
"""Share of the memory of a process that its clients may hold."""

FILE_DESCRIPTORS = 200
"""Descriptors that are not available to connections."""

MAX_BODY_FILES = 150
"""Temporary files for bodies at the same time; further bodies stay in
memory."""

CALLER_SHARE = 0.4
OTHER_SHARE = 0.1
"""Shares of the descriptors for the connections of the listener for callers,
and of any other one. The rest is left for servers, other hosts and the
store."""

MIN_CONNECTIONS = 16

SMALL_BYTES = 4096
"""What each client may hold, however much the others hold."""

MIN_BYTES_PER_SECOND = 1024
"""Rate below which the time of a client that sends or reads runs out."""

READ_SECONDS = 60.0
"""Seconds for which a client may read nothing of a response. A receiver
announces room in large steps, so that slow progress shows late."""

CHECK_INTERVAL_SECONDS = 0.5
MAX_STEP_SECONDS = 2 * CHECK_INTERVAL_SECONDS
"""Longest time that a check counts, since the process may have been
suspended."""

RECLAIM_INTERVAL_SECONDS = 0.05
"""Shortest interval between two searches for clients to end."""

RECLAIM_FRACTION = 0.75
"""Fraction of the maximum down to which slow clients are ended."""

SLOW_AFTER_SECONDS = 1.0
SLOW_TURNOVER_SECONDS = 10.0
"""A client counts as slow from the first time on if it would take the second
one to send or read as much as it holds."""

COLLECT_FRACTION = 0.25
"""Fraction of the maximum after which garbage is collected, in bytes of bodies
that were released. The collector counts objects and not their sizes, and
reference cycles keep bodies until it runs."""

CLOSED_AT_ONCE = 32
"""Idle connections that are closed when a listener has too many."""

RETRY_SECONDS = 1.0
"""Retry-After of a request whose body was not kept. Slow clients are ended
within this time."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientLimits:
    """What the clients of a process may hold together.

    Attributes:
        max_bytes: Bytes of memory.
        caller_connections: Connections of the listener for callers.
        other_connections: Connections of each other listener.
    """

    max_bytes: int
    caller_connections: int
    other_connections: int


def limits_for(memory_bytes=0, max_descriptors=0):
    """Return the `ClientLimits` of a process.

    Args:
        memory_bytes: Memory that it may use; 0 for the default.
        max_descriptors: Descriptors that it may use; 0 for the limit of the
            operating system.
    """
    memory = memory_bytes or DEFAULT_MEMORY_BYTES
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    available = max(0, (max_descriptors or soft) - FILE_DESCRIPTORS)
    return ClientLimits(
        max_bytes=int(memory * MEMORY_SHARE),
        caller_connections=max(MIN_CONNECTIONS, int(available * CALLER_SHARE)),
        other_connections=max(MIN_CONNECTIONS, int(available * OTHER_SHARE)),
    )


class ClientAccount:
    """What the clients of one process hold.

    Args:
        clock: The runtime's clock.
        limits: The `ClientLimits`, or `NOTHING` for the default.
        note: Called with the gauges after something was refused or ended.

    Attributes:
        input_queue: The `InputQueue` of all connections.
        total: Bytes that are held.
        holdings: The `Holding` of each open connection.
        files: Temporary files that bodies occupy.
        bodies_refused: Bodies that were dropped for lack of memory.
        connections_ended: Connections that were ended as they were slow, or
            idle while a listener had too many.
        connections_refused: New connections that were closed at once.
    """

    def __init__(self, clock, limits=NOTHING, note=lambda **gauges: None):
        self.clock = clock
        self.note = note
        self.noted = 0
        self.limits = limits_for() if limits is NOTHING else limits
        self.input_queue = InputQueue(clock)
        self.counted = {}
        self.total = 0
        self.holdings = set()
        self.files = 0
        self.released = 0
        self.next_reclaim = 0.0
        self.next_close = 0.0
        self.bodies_refused = 0
        self.connections_ended = 0
        self.connections_refused = 0

    def count(self, holder, size):
        """Count *size* bytes for a holder, instead of what was counted."""
        self.total += size - self.counted.get(holder, 0)
        if size:
            self.counted[holder] = size
        else:
            self.counted.pop(holder, None)

    def allows(self, holder, size):
        """Return whether a holder may hold *size* further bytes.

        Slow clients are ended before anything is refused to another one.
        """
        if self.counted.get(holder, 0) + size <= SMALL_BYTES:
            return True
        if self.total + size > self.limits.max_bytes:
            self.reclaim()
        return self.total + size <= self.limits.max_bytes

    def note_released(self, size):
        """Collect garbage once enough bytes of bodies were released."""
        self.released += size
        if self.released >= self.limits.max_bytes * COLLECT_FRACTION:
            self.released = 0
            self.clock.callLater(0, gc.collect)

    def reclaim(self):
        """End the clients that progress least for what they hold."""
        now = self.clock.seconds()
        if now < self.next_reclaim:
            return
        self.next_reclaim = now + RECLAIM_INTERVAL_SECONDS
        for holding in self.holdings:
            holding.count()
        slow = [one for one in self.holdings if one.is_slow(now)]
        for holding in sorted(slow, key=lambda one: one.rate / one.counted):
            if self.total <= self.limits.max_bytes * RECLAIM_FRACTION:
                return
            self.connections_ended += 1
            holding.channel.end_slow()
            holding.close()

    def check(self):
        """Measure the progress of all clients; end those without any."""
        now = self.clock.seconds()
        for holding in list(self.holdings):
            holding.count()
            holding.review(now)
            if holding.time_left <= 0:
                self.connections_ended += 1
                holding.channel.end_slow()
        self.note_changes()

    def note_changes(self):
        """Report what was refused or ended since the last check."""
        total = (
            self.bodies_refused
            + self.connections_ended
            + self.connections_refused
        )
        if total != self.noted:
            self.noted = total
            self.note(**self.gauges())

    def admits(self, channels, maximum):
        """Return whether a listener may accept a further connection.

        The connections that have been idle for longest are closed if it has
        too many.

        Args:
            channels: Its open connections.
            maximum: How many it may have.
        """
        if len(channels) < maximum:
            return True
        kept = [one for one in channels if not one.is_closing]
        if len(kept) >= maximum and self.clock.seconds() >= self.next_close:
            kept = self.close_idle(kept)
        if len(kept) < maximum:
            return True
        self.connections_refused += 1
        return False

    def close_idle(self, channels):
        """Close a few idle or slow connections; return the others."""
        now = self.clock.seconds()
        closed = 0
        for channel in sorted(channels, key=lambda one: one.holding.active_at):
            if closed >= CLOSED_AT_ONCE:
                break
            if channel.may_close(now):
                channel.loseConnection()
            elif channel.holding.is_slow(now):
                channel.end_slow()
            else:
                continue
            closed += 1
        self.connections_ended += closed
        if not closed:
            self.next_close = now + RECLAIM_INTERVAL_SECONDS
        return [one for one in channels if not one.is_closing]

    def gauges(self):
        """Return the current values of the gauges, by name."""
        return {
            "client_bytes": self.total,
            "client_connections": len(self.holdings),
            "client_bodies_refused_total": self.bodies_refused,
            "client_connections_ended_total": self.connections_ended,
            "client_connections_refused_total": self.connections_refused,
        }


class Holding:
    """What one connection holds, and how fast its client proceeds.

    Args:
        account: The `ClientAccount`.
        channel: The `Channel`.

    Attributes:
        body_bytes: Memory that the bodies of its requests take.
        received: Bytes that the client has sent so far.
        written: Bytes of bodies of responses written so far.
        active_at: Time at which the client has sent something.
        rate: Bytes per second that the client has sent or read of late.
        waiting_since: Time from which on a request or a response has been
            incomplete, or `NOTHING`.
        time_left: Seconds for which the client may go on without progress.
    """

    def __init__(self, account, channel):
        self.account = account
        self.channel = channel
        self.body_bytes = 0
        self.received = 0
        self.written = 0
        self.active_at = self.reviewed_at = account.clock.seconds()
        self.moved = 0
        self.rate = 0.0
        self.waiting_since = NOTHING
        self.time_left = float("inf")
        account.holdings.add(self)

    @property
    def counted(self):
        """Bytes that the account counts for it."""
        return self.account.counted.get(self, 0)

    def close(self):
        """Remove it from the account."""
        self.account.holdings.discard(self)
        self.account.count(self, 0)

    def count(self):
        """Count what the connection holds now."""
        if self not in self.account.holdings:
            return
        channel = self.channel
        size = self.body_bytes + channel.buffered_bytes + channel.unsent_bytes
        self.account.count(self, size)

    def note_received(self, size):
        """Count bytes that the client has sent."""
        self.received += size
        self.active_at = self.account.clock.seconds()
        if self.waiting_since is NOTHING and self.channel.is_receiving:
            self.begin_waiting(self.active_at, self.channel.timeOut)
        self.count()

    def note_written(self, size):
        """Count a part of a response that was written."""
        self.written += size
        self.count()

    def allows(self, size):
        """Return whether the body of a request may take *size* more bytes."""
        return self.account.allows(self, size)

    def add_body(self, size):
        """Count memory that the body of a request takes, or has released."""
        self.body_bytes += size
        self.count()

    @property
    def is_incomplete(self):
        """Whether a request or a response of the connection is incomplete.

        A request that was read whole is not, while it is in progress.
        """
        channel = self.channel
        if channel.is_closing:
            return False
        return channel.is_receiving or channel.unsent_bytes > 0

    def is_slow(self, now):
        """Return whether its client progresses little for what it holds."""
        since = self.waiting_since
        if since is NOTHING or now - since < SLOW_AFTER_SECONDS:
            return False
        if not self.counted or not self.is_incomplete:
            return False
        return self.rate * SLOW_TURNOVER_SECONDS < self.counted

    def review(self, now):
        """Measure the progress since the last review."""
        seconds = min(now - self.reviewed_at, MAX_STEP_SECONDS)
        self.reviewed_at = now
        unsent = self.channel.unsent_bytes
        moved = self.received + self.written
        if unsent:
            moved -= unsent + unacknowledged_bytes(self.channel.transport)
        progress, self.moved = max(0, moved - self.moved), moved
        if seconds > 0:
            self.rate = (self.rate + progress / seconds) / 2
        allowed = self.allowed_seconds(unsent)
        if allowed is NOTHING:
            self.waiting_since = NOTHING
            self.time_left = float("inf")
        elif self.waiting_since is NOTHING:
            self.begin_waiting(now, allowed)
        else:
            gained = progress / MIN_BYTES_PER_SECOND
            left = self.time_left - seconds + gained
            self.time_left = min(allowed, left)

    def begin_waiting(self, now, allowed):
        """Take the time from which on the client is expected to proceed."""
        self.waiting_since = now
        self.time_left = allowed or READ_SECONDS

    def allowed_seconds(self, unsent):
        """Return how long the client may stay without progress.

        Returns:
            The seconds, or `NOTHING` if nothing is expected of it.
        """
        timeout = self.channel.timeOut or READ_SECONDS
        # Input that waits in this process is not the client's delay.
        if self.channel.is_closing or self.channel.pending:
            return NOTHING
        if unsent:
            return max(READ_SECONDS, timeout)
        return timeout if self.channel.is_receiving else NOTHING


def unacknowledged_bytes(transport):
    """Return the bytes in the socket that the other side has not received."""
    data = fcntl.ioctl(transport.getHandle(), termios.TIOCOUTQ, bytes(4))
    return int.from_bytes(data, "little")
