"""Pauses that servers request from a host by Retry-After."""

from dataclasses import dataclass

from ..core.sentinels import NOTHING

__all__ = ["RetryAfterPause", "RetryAfterPauses"]

MAX_RETRY_AFTER_PAUSE_SECONDS = 86400.0
"""Longest pause that is applied, in seconds."""

RAMP_STEP_SECONDS = 0.25
RAMP_SECONDS = 1.0
"""After a pause a host sends one request. Once that is answered it sends two,
and twice as many with each step, for this many seconds. Otherwise all requests
that had waited would arrive at once."""

SPREAD_SECONDS = 0.5
"""Seconds over which the retries of callers are spread after a pause."""


@dataclass(slots=True, eq=False, kw_only=True)
class RetryAfterPause:
    """A pause of one server.

    Attributes:
        server_id: The server.
        instance_id: Identifier of the server instance.
        until: Time of its end.
        requested_at: Time at which the server requested it.
        request: Request that the server rejected then.
        trial: Number of the first request after the end while it is in
            progress, or `NOTHING`.
        answered_at: Time at which such a request was answered, or `NOTHING`.
        sent: Number of requests sent since then.
    """

    server_id: str
    instance_id: str
    until: float
    requested_at: float
    request: str
    trial: object = NOTHING
    answered_at: object = NOTHING
    sent: int = 0

    def is_blocked(self, now):
        """Whether the host must not send a request now."""
        if now < self.until:
            return True
        if self.answered_at is NOTHING:
            return self.trial is not NOTHING
        steps = 1 + int((now - self.answered_at) / RAMP_STEP_SECONDS)
        return self.sent >= 2**steps

    def record_sent(self, number, now):
        """Count a request that is sent after the end."""
        if now < self.until:
            return
        if self.answered_at is not NOTHING:
            self.sent += 1
        elif self.trial is NOTHING:
            self.trial = number

    def record_end(self, number, now, *, is_answered):
        """Note that a request was answered, or ended without an answer."""
        if self.trial is NOTHING or self.trial != number:
            return
        self.trial = NOTHING
        if is_answered:
            self.answered_at = now

    def describe(self, now):
        """Return which response requested it and when, for a log line."""
        return (
            f"{self.server_id} is in its retry-after pause for "
            f"{max(0.0, self.until - now):.1f} s, "
            f"requested {now - self.requested_at:.1f} s ago when it "
            f"rejected {self.request}"
        )

    def is_over(self, now):
        """Whether requests to the server are no longer restricted."""
        if self.answered_at is NOTHING:
            return False
        return now - self.answered_at >= RAMP_SECONDS


class RetryAfterPauses:
    """The pauses that servers requested from this host.

    A server requests a pause only from the host that it responds to; other
    hosts may continue.

    Args:
        registry: The `Registry`.
        rng: Random number generator.
    """

    def __init__(self, registry, rng):
        self.registry = registry
        self.rng = rng
        self.pauses = {}

    def record(self, server_id, request, seconds, now):
        """Record that a server requested a pause.

        Returns:
            Whether the server was not paused before.
        """
        until = now + min(seconds, MAX_RETRY_AFTER_PAUSE_SECONDS)
        active = self.pause_of(server_id, now)
        if active is not NOTHING and now < active.until:
            active.until = max(active.until, until)
            return False
        self.pauses[server_id] = RetryAfterPause(
            server_id=server_id,
            instance_id=self.registry.current_instance(server_id),
            until=until,
            requested_at=now,
            request=request,
        )
        return True

    def pause_of(self, server_id, now):
        """Return the `RetryAfterPause` of a server, or `NOTHING`.

        A server whose entry has lapsed may be listed again before the end.
        """
        pause = self.pauses.get(server_id, NOTHING)
        if pause is NOTHING:
            return NOTHING
        if server_id in self.registry.servers:
            gone = not self.registry.is_current_instance(
                server_id, pause.instance_id
            )
        else:
            gone = now >= pause.until
        if gone or pause.is_over(now):
            del self.pauses[server_id]
            return NOTHING
        return pause

    def is_blocked(self, server_id, now):
        """Whether this host must not send a request to a server now."""
        pause = self.pause_of(server_id, now)
        return pause is not NOTHING and pause.is_blocked(now)

    def blocked(self, now):
        """Return the servers to which this host must not send now."""
        return [one for one in list(self.pauses) if self.is_blocked(one, now)]

    def count_blocked(self, now):
        """Return the number of servers to which this host must not send."""
        return len(self.blocked(now))

    def record_sent(self, server_id, number, now):
        """Count a request that is sent to a server after its pause.

        Args:
            server_id: The server.
            number: Number of the request at this host.
            now: The time.
        """
        pause = self.pause_of(server_id, now)
        if pause is not NOTHING:
            pause.record_sent(number, now)

    def record_end(self, server_id, number, now, *, is_answered):
        """Note that a request to a server was answered, or ended without."""
        pause = self.pause_of(server_id, now)
        if pause is not NOTHING:
            pause.record_end(number, now, is_answered=is_answered)

    def first_to_end(self, server_ids, now):
        """Return the `RetryAfterPause` that ends first, or `NOTHING`.

        Args:
            server_ids: The servers that could be used but for their pauses.
            now: The time.

        Returns:
            `NOTHING` unless all of them are blocked.
        """
        pauses = [self.pause_of(one, now) for one in server_ids]
        if not pauses or NOTHING in pauses:
            return NOTHING
        if not all(pause.is_blocked(now) for pause in pauses):
            return NOTHING
        return min(pauses, key=lambda pause: pause.until)

    def retry_delay(self, pause, now):
        """Return the seconds after which a refused caller should retry."""
        spread = SPREAD_SECONDS * self.rng.random()
        return max(0.0, pause.until - now) + spread
