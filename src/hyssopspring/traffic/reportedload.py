"""Load that a server reports in a response, compared to its model."""

import math
from dataclasses import dataclass, field

from ..core.sentinels import NOTHING

__all__ = [
    "NO_SLOW_PHASES",
    "LiveSlowdown",
    "ReportedLoad",
    "SlowPhases",
    "SlowdownMoments",
    "UnseenRequests",
]

LIVE_SECONDS = 0.6
"""Time constant with which a reported slowdown approaches the average of its
server. It is the usual length of a slow phase."""

ANSWER_SECONDS = 3.0
"""Seconds over which the slowdown is averaged for the time of a token, the
same as for the duty cycle of an engine."""

ANSWER_WEIGHT = LIVE_SECONDS / ANSWER_SECONDS
"""Weight of the current slowdown in the mean over `ANSWER_SECONDS`."""

AVERAGE_LEARNING_RATE = 0.02
"""Weight of one report in the average slowdown. The average must span dozens
of responses, because many arrive in the same phase."""

MOMENTS_LEARNING_RATE = 0.002
"""Weight of one report in the moments of the slowdown of a service. The
reports of a few hundred responses reach all phases of its servers."""

IN_FLIGHT_SECONDS = 0.05
"""Age of a placement from which on its request must have reached the server.
A younger one may be missing from the reported number."""

TOLERATED_DIFFERENCE = 1
"""Difference that does not count: the server may or may not include the
request to which it responds."""

VALID_SECONDS = 1.0
"""Seconds in which a difference fades. Each response renews it."""

MAX_REPORT_AGE_SECONDS = 0.25
"""Age above which a reported number of requests is not compared, because the
model has changed since."""


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load in the head of a response.

    Attributes:
        running: Requests that run.
        waiting: Requests that wait.
        slots: Requests that can run concurrently.
        slowdown: Current duration of work over the usual one, or `NOTHING`.
    """

    running: int
    waiting: int
    slots: int
    slowdown: object = NOTHING


@dataclass(slots=True, eq=False)
class UnseenRequests:
    """Requests at a server that its model lacks, or has in excess.

    Attributes:
        difference: Reported less modelled requests; negative if the model has
            too many.
        at: Time of the report.
    """

    difference: int = 0
    at: float = field(default=-VALID_SECONDS)

    def compare(self, load, placements, at, now):
        """Compare a report to the placements in the model.

        Args:
            load: The `ReportedLoad`.
            placements: `Placement` by host and number.
            at: Time of the report.
            now: The time.
        """
        if now - at > MAX_REPORT_AGE_SECONDS:
            return
        reported = load.running + load.waiting
        known = len(placements)
        self.at = at
        if reported >= known:
            self.difference = max(0, reported - known - TOLERATED_DIFFERENCE)
            return
        arrived = sum(
            at - one.placed_at > IN_FLIGHT_SECONDS
            for one in placements.values()
        )
        self.difference = min(0, reported - arrived + TOLERATED_DIFFERENCE)

    def count(self, now):
        """Return the requests to add to those in the model."""
        if not self.difference:
            return 0
        remaining = 1.0 - (now - self.at) / VALID_SECONDS
        return round(self.difference * remaining) if remaining > 0 else 0


@dataclass(frozen=True, slots=True)
class SlowPhases:
    """Phases in which the servers of a service are slow.

    Attributes:
        slowdown: Slowdown in such a phase.
        share: Fraction of the time that a server spends in them.
    """

    slowdown: float
    share: float

    def chance_within(self, seconds):
        """Return the chance that a server is slow at some time within them."""
        return 1.0 - (1.0 - self.share) ** (1.0 + seconds / LIVE_SECONDS)


NO_SLOW_PHASES = SlowPhases(1.0, 0.0)


@dataclass(slots=True, eq=False)
class SlowdownMoments:
    """Moments of the excess over 1 of the slowdowns that servers report.

    Servers that alternate between the usual speed and one slowdown have these
    moments if their mean is the share of the slow time, multiplied by the
    excess, and their mean square is the share multiplied by its square.

    Attributes:
        count: Number of reports.
        mean: Mean excess.
        square: Mean square of the excess.
        phases: The `SlowPhases` with these moments.
    """

    count: int = 0
    mean: float = 0.0
    square: float = 0.0
    phases: SlowPhases = NO_SLOW_PHASES

    def learn(self, slowdown):
        """Learn from one report of any server of the service."""
        excess = max(0.0, slowdown - 1.0)
        self.count += 1
        rate = max(MOMENTS_LEARNING_RATE, 1.0 / self.count)
        self.mean += (excess - self.mean) * rate
        self.square += (excess * excess - self.square) * rate
        if self.mean:
            self.phases = SlowPhases(
                1.0 + self.square / self.mean,
                min(1.0, self.mean * self.mean / self.square),
            )


@dataclass(slots=True, eq=False)
class LiveSlowdown:
    """Slowdown that a server reports, which lapses to its average.

    Attributes:
        value: The last reported slowdown.
        at: Time of the report.
        average: Moving average of the reported slowdowns.
        total: Integral of the slowdown up to `total_at`.
        total_at: Time up to which `total` is computed.
    """

    value: float = 1.0
    at: float = -math.inf
    average: float = 1.0
    total: float = 0.0
    total_at: float = 0.0

    def report(self, slowdown, at):
        """Record a report unless a newer one is known."""
        if at <= self.at:
            return
        self.advance(at)
        self.value = slowdown
        self.at = at
        self.average += (slowdown - self.average) * AVERAGE_LEARNING_RATE

    def current(self, now):
        """Return the expected slowdown at *now*."""
        if self.value == self.average:
            return self.value
        weight = math.exp(-max(0.0, now - self.at) / LIVE_SECONDS)
        return self.average + (self.value - self.average) * weight

    def over_answer(self, now):
        """Return the expected mean over the next `ANSWER_SECONDS`."""
        if self.value == self.average:
            return self.value
        excess = self.current(now) - self.average
        return self.average + excess * ANSWER_WEIGHT

    def advance(self, now):
        """Extend the integral of the slowdown to *now*."""
        elapsed = now - self.total_at
        if elapsed <= 0:
            return
        excess = self.current(self.total_at) - self.average
        self.total += self.average * elapsed + excess * LIVE_SECONDS * (
            1.0 - math.exp(-elapsed / LIVE_SECONDS)
        )
        self.total_at = now
