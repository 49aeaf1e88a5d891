"""Health of servers as observed in attempts, beyond their own reports."""

import enum
from dataclasses import dataclass

__all__ = ["NOT_RUN", "NOT_SENT", "AttemptResult", "ServerHealth"]

INITIAL_PAUSE_SECONDS = 0.5
"""Seconds without requests after a first failure to reach a server; about the
time that a process takes to restart."""

MAX_FAILURE_PAUSE_SECONDS = 4.0
"""Longest pause in seconds, and so the longest wait of a server that is up
again for its next trial request."""

FULL_PAUSE_SECONDS = 0.15
"""Seconds for which a server that was full gets no requests."""

ERROR_RATE_SMOOTHING = 0.08
"""Weight of one response in the moving error rate; about the last dozen
responses count."""

TRIAL_SECONDS = 1.0
"""Seconds for which a trial request keeps others from a server that failed."""


class AttemptResult(enum.IntEnum):
    """How an attempt at a server ended.

    `CANCELLED` was given up midway; `UNUSED` was never sent.
    """

    ANSWERED = 0
    ERROR = 1
    UNREACHED = 2
    SILENT = 3
    FULL = 4
    MISDIRECTED = 5
    CANCELLED = 6
    UNUSED = 7


NOT_RUN = (AttemptResult.FULL, AttemptResult.MISDIRECTED, AttemptResult.UNUSED)
"""Results that show that the server has not run the request."""


ANSWERS = (AttemptResult.ANSWERED, AttemptResult.ERROR, AttemptResult.FULL)
"""Results that show that the server has answered the request itself."""

NOT_SENT = (AttemptResult.UNREACHED, AttemptResult.UNUSED)
"""Results that show that the server has received nothing."""

MAY_BE_BUSY = (AttemptResult.SILENT,)
"""Results that do not count as failures of a server that answers other
requests: it is busy, or fails some requests. A pause would refuse all those
that it could serve."""

RECENT_ANSWER_SECONDS = 1.0
"""Seconds for which a response shows that a server is up."""

NEVER = -1e9
"""Time of the last response of a server that has sent none."""

FAILURE_RESULTS = (
    AttemptResult.UNREACHED,
    AttemptResult.SILENT,
    AttemptResult.MISDIRECTED,
)
"""Results that count as a failure to reach the server."""


@dataclass(slots=True, eq=False)
class ServerHealth:
    """Health of one server.

    Attributes:
        failures: Number of consecutive failures to reach it.
        paused_until: Time until which it gets no requests.
        error_rate: Moving share of responses that were server errors.
        answered_at: Time at which its latest response started.
    """

    failures: int = 0
    paused_until: float = 0.0
    error_rate: float = 0.0
    answered_at: float = NEVER

    @property
    def has_answered(self):
        """Whether it has ever responded."""
        return self.answered_at > NEVER

    def record_answer(self, now):
        """Record that a response of the server has started."""
        self.answered_at = now
        self.failures = 0

    def record_result(self, result, now):
        """Record the result of an attempt.

        Returns:
            Whether this is the first of consecutive failures.
        """
        if result in (AttemptResult.CANCELLED, AttemptResult.UNUSED):
            return False
        if result is AttemptResult.FULL:
            self.paused_until = max(
                self.paused_until, now + FULL_PAUSE_SECONDS
            )
            return False
        alive = now - self.answered_at < RECENT_ANSWER_SECONDS
        if result in FAILURE_RESULTS and not (alive and result in MAY_BE_BUSY):
            return self.start_pause(now)
        is_error = 0.0 if result is AttemptResult.ANSWERED else 1.0
        self.error_rate += (is_error - self.error_rate) * ERROR_RATE_SMOOTHING
        if result not in FAILURE_RESULTS:
            self.failures = 0
        return False

    def start_pause(self, now):
        """Pause the server, longer with each consecutive failure.

        Returns:
            Whether this is the first failure.
        """
        pause = min(
            MAX_FAILURE_PAUSE_SECONDS, INITIAL_PAUSE_SECONDS * 2**self.failures
        )
        self.paused_until = max(self.paused_until, now + pause)
        self.failures += 1
        return self.failures == 1

    def is_available(self, now):
        """Whether requests may be sent to the server."""
        return now >= self.paused_until

    def begin_trial(self, now):
        """Limit a server that failed to one trial request, not a burst."""
        if self.failures:
            self.paused_until = max(self.paused_until, now + TRIAL_SECONDS)
