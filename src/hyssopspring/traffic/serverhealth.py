"""What requests have shown of a server, above what it says of itself."""

import enum
from dataclasses import dataclass

__all__ = ["NOT_RUN", "NOT_SENT", "AttemptResult", "ServerHealth"]

INITIAL_PAUSE_SECONDS = 0.5
"""Seconds without requests after a first failure to reach a server; about
the time in which a restarting process is back."""

MAX_PAUSE_SECONDS = 4.0
"""Most seconds without a request; a server that is back waits no longer
for its next trial."""

FULL_PAUSE_SECONDS = 0.15
"""Seconds for which a server that was full is passed over."""

ERROR_RATE_SMOOTHING = 0.08
"""Weight of one answer in the error rate; about the last dozen count."""

TRIAL_SECONDS = 1.0
"""Seconds for which one trial keeps others from a suspected server."""


class AttemptResult(enum.IntEnum):
    """How an attempt at a server went.

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
"""Findings that show that the server has not run the request."""


NOT_SENT = (AttemptResult.UNREACHED, AttemptResult.UNUSED)
"""Findings that show that the server has got nothing."""

MAY_BE_BUSY = (AttemptResult.SILENT,)
"""Findings that do not speak against a server that answers others: it is
busy, or fails some; pausing it would refuse all that it could serve."""

RECENT_ANSWER_SECONDS = 1.0
"""Seconds for which an answer shows that a server is up."""

NEVER = -1e9
"""Time of an answer that has not come."""

FAILURE_RESULTS = (
    AttemptResult.UNREACHED,
    AttemptResult.SILENT,
    AttemptResult.MISDIRECTED,
)


@dataclass(slots=True, eq=False)
class ServerHealth:
    """What attempts have shown of one server.

    Attributes:
        failures: Failures to reach it in a row.
        paused_until: Time until which it gets nothing.
        error_rate: Moving share of answers that were its own failures.
        answered_at: Time of the last answer that began.
    """

    failures: int = 0
    paused_until: float = 0.0
    error_rate: float = 0.0
    answered_at: float = NEVER

    @property
    def has_answered(self):
        """Whether it has ever answered."""
        return self.answered_at > NEVER

    def record_answer(self, now):
        """Note that an answer of the server has begun."""
        self.answered_at = now
        self.failures = 0

    def record_result(self, result, now):
        """Take account of the end of an attempt.

        Returns:
            Whether the server is now newly suspected.
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
        """Pause the server, longer with each failure in a row."""
        pause = min(
            MAX_PAUSE_SECONDS, INITIAL_PAUSE_SECONDS * 2**self.failures
        )
        self.paused_until = max(self.paused_until, now + pause)
        self.failures += 1
        return self.failures == 1

    def is_available(self, now):
        """Whether the server may get a request."""
        return now >= self.paused_until

    def begin_trial(self, now):
        """Let one request through to a suspected server, not a burst."""
        if self.failures:
            self.paused_until = max(self.paused_until, now + TRIAL_SECONDS)
