"""What requests have shown of a server, above what it says of itself."""

import enum
from dataclasses import dataclass

__all__ = ["NOT_RUN", "NOT_SENT", "Evidence", "Finding"]

FIRST_PAUSE = 0.5
"""Seconds without requests after a first failure to reach a server; about
the time in which a restarting process is back."""

LONGEST_PAUSE = 4.0
"""Most seconds without a request; a server that is back waits no longer
for its next trial."""

REFUSED_PAUSE = 0.15
"""Seconds for which a server that was full is passed over."""

ERROR_WEIGHT = 0.08
"""Weight of one answer in the error rate; about the last dozen count."""

TRIAL_TIME = 1.0
"""Seconds for which one trial keeps others from a suspected server."""


class Finding(enum.IntEnum):
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


NOT_RUN = (Finding.FULL, Finding.MISDIRECTED, Finding.UNUSED)
"""Findings that show that the server has not run the request."""


NOT_SENT = (Finding.UNREACHED, Finding.UNUSED)
"""Findings that show that the server has got nothing."""

MAY_BE_SLOW = (Finding.SILENT,)
"""Findings that do not speak against a server that answers others: it is
busy, or fails some; pausing it would refuse all that it could serve."""

RECENT_ANSWER = 1.0
"""Seconds for which an answer shows that a server is up."""

NEVER = -1e9
"""Time of an answer that has not come."""

SUSPECT = (Finding.UNREACHED, Finding.SILENT, Finding.MISDIRECTED)


@dataclass(slots=True, eq=False)
class Evidence:
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

    def note_answer(self, now):
        """Note that an answer of the server has begun."""
        self.answered_at = now
        self.failures = 0

    def note(self, finding, now):
        """Take account of the end of an attempt.

        Returns:
            Whether the server is now newly suspected.
        """
        if finding in (Finding.CANCELLED, Finding.UNUSED):
            return False
        if finding is Finding.FULL:
            self.paused_until = max(self.paused_until, now + REFUSED_PAUSE)
            return False
        alive = now - self.answered_at < RECENT_ANSWER
        if finding in SUSPECT and not (alive and finding in MAY_BE_SLOW):
            return self.suspect(now)
        wrong = 0.0 if finding is Finding.ANSWERED else 1.0
        self.error_rate += (wrong - self.error_rate) * ERROR_WEIGHT
        if finding not in SUSPECT:
            self.failures = 0
        return False

    def suspect(self, now):
        """Pause the server, longer with each failure in a row."""
        pause = min(LONGEST_PAUSE, FIRST_PAUSE * 2**self.failures)
        self.paused_until = max(self.paused_until, now + pause)
        self.failures += 1
        return self.failures == 1

    def open(self, now):
        """Whether the server may get a request."""
        return now >= self.paused_until

    def begin_trial(self, now):
        """Let one request through to a suspected server, not a burst."""
        if self.failures:
            self.paused_until = max(self.paused_until, now + TRIAL_TIME)
