"""Steady speeds of servers, and their slowdown at the moment."""

import math
from dataclasses import dataclass, field
from statistics import median_low

from ..core.sentinels import NOTHING
from .mechanisms import Mechanism
from .reportedload import LiveSlowdown, SlowdownMoments, UnseenRequests

__all__ = ["ServerSpeeds", "SpeedBook", "SteadyFactor", "bounded_slowdown"]

MAX_FACTOR = 8.0
"""Maximum of a factor or reported slowdown. Servers that are slower than
eightfold are not chosen in any case."""

MIN_REPORTED_SLOWDOWN = 0.25
"""Minimum of a reported slowdown. A server that reports less would attract all
requests by a wrong value."""

MAX_INNOVATION = 0.7
"""Maximum logarithmic error of one observation, so that a single outlier
stays within the dead band."""

PRIOR_OBSERVATIONS = 4
"""Weight of the assumption that a server is as fast as others, in
observations."""

MIN_RATE = 0.03
"""Minimum weight of one observation. Observed times of tokens have a
logarithmic deviation of about 0.5, which this averages to 0.06."""

LEVEL_RATE = 0.05
"""Minimum weight of one observation in the level of the service."""

APPLY_ABOVE = 0.2
APPLY_UNTIL = 0.12
"""Logarithmic deviations from which on, and down to which, a factor is used.
Noise among equal servers must not change decisions."""

APPLY_DECODE_ABOVE = 0.5
APPLY_DECODE_UNTIL = 0.35
"""The same for output tokens. On equal engines that serve different kinds of
requests, times deviate by up to 0.4 from the model of the service."""

UNCERTAINTY = 0.6
"""Addition to the first bound for one observation. It falls with the square
root of their number. Among two equal engines, 16 observations have shown a
deviation of 0.3."""

MIN_OBSERVATIONS = 8
"""Observations of a server before its factor is used, and before it counts
for the median of its service."""

CENTRE_INTERVAL = 16
"""Observations between two computations of the median, which is a loop over
the servers of a service."""


class SteadyFactor:
    """Deviation of one server from its service in one kind of work.

    Attributes:
        level: The `ServiceLevel`.
        owner: The `ServerSpeeds`.
        bounds: Deviations from which on, and down to which, it is used.
        deviation: Logarithm of the factor, before the dead band.
        count: Number of observations.
        value: The factor to use; 1.0 within the dead band.
        learned_at: Time of the last observation.
    """

    __slots__ = (
        "bounds",
        "count",
        "deviation",
        "learned_at",
        "level",
        "owner",
        "value",
    )

    def __init__(self, level, owner, bounds=(APPLY_ABOVE, APPLY_UNTIL)):
        self.bounds = bounds
        self.level = level
        self.owner = owner
        self.deviation = 0.0
        self.count = 0
        self.value = 1.0
        self.learned_at = -math.inf

    def learn(self, ratio, now):
        """Learn from the ratio of an observed time to that of the service."""
        limit = math.log(MAX_FACTOR)
        observed = math.log(max(ratio, 1e-6))
        observed = min(limit, max(-limit, observed))
        innovation = observed - self.level.value - self.deviation
        innovation = min(MAX_INNOVATION, max(-MAX_INNOVATION, innovation))
        self.count += 1
        rate = max(MIN_RATE, 1.0 / (self.count + PRIOR_OBSERVATIONS))
        self.deviation += rate * innovation
        self.learned_at = now
        self.level.learn(innovation)
        self.update()

    def adopt(self, factor, at):
        """Take over the factor that another host learned until *at*."""
        if at <= self.learned_at or not factor > 0:
            return
        limit = math.log(MAX_FACTOR)
        self.deviation = min(limit, max(-limit, math.log(factor)))
        self.count = max(self.count, 2 * MIN_OBSERVATIONS)
        self.learned_at = at
        self.update()

    def update(self):
        """Apply the dead band to the deviation."""
        bound = self.bounds[self.value != 1.0]
        if self.value == 1.0:
            bound += UNCERTAINTY / math.sqrt(max(1, self.count))
        known = self.count >= MIN_OBSERVATIONS
        applies = known and abs(self.deviation) > bound
        self.value = math.exp(self.deviation) if applies else 1.0
        if applies:
            self.owner.uneven = True


class ServiceLevel:
    """What the observed times of all servers of a service have in common.

    The model of the service adapts while the servers are compared. Without
    the level, servers that were observed at different times would seem to
    differ.

    Attributes:
        value: Logarithm of observed over expected times.
        count: Number of observations.
        factors: `SteadyFactor` by server.
    """

    __slots__ = ("count", "factors", "value")

    def __init__(self):
        self.value = 0.0
        self.count = 0
        self.factors = {}

    def learn(self, innovation):
        """Learn from one observation of any server."""
        self.count += 1
        self.value += max(LEVEL_RATE, 1.0 / (self.count + 1)) * innovation
        if self.count % CENTRE_INTERVAL == 0:
            self.centre()

    def centre(self):
        """Move the median deviation to 0."""
        known = [
            one.deviation
            for one in self.factors.values()
            if one.count >= MIN_OBSERVATIONS
        ]
        if not known:
            return
        middle = median_low(known)
        self.value += middle
        for one in self.factors.values():
            if one.count:
                one.deviation -= middle
                one.update()


class ServerSpeeds:
    """Speeds of one instance of a server.

    Attributes:
        prefill: `SteadyFactor` of prefill.
        decode: `SteadyFactor` of output tokens.
        calls: `SteadyFactor` of plain calls.
        live: `LiveSlowdown`.
        unseen: `UnseenRequests`.
        levels: `ServiceLevels` of the service.
        allowed: Whether `Mechanism.SPEEDS` is enabled.
        uneven: Whether a factor or slowdown has ever differed from 1. The
            estimates skip the factors of all other servers.
        reported_at: Time of the newest report.
    """

    __slots__ = (
        "allowed",
        "calls",
        "decode",
        "levels",
        "live",
        "prefill",
        "reported_at",
        "uneven",
        "unseen",
    )

    def __init__(self, levels=NOTHING, *, enabled=True):
        levels = levels or ServiceLevels()
        self.uneven = False
        self.reported_at = -math.inf
        self.prefill = SteadyFactor(levels.prefill, self)
        self.decode = SteadyFactor(
            levels.decode, self, (APPLY_DECODE_ABOVE, APPLY_DECODE_UNTIL)
        )
        self.calls = SteadyFactor(levels.calls, self)
        self.levels = levels
        self.live = LiveSlowdown()
        self.unseen = UnseenRequests()
        self.allowed = enabled

    @property
    def enabled(self):
        """Whether speeds count for the servers of the service.

        They count once one of them has reported a slowdown. Servers that do
        not share their machines are served as without this mechanism.
        """
        return self.allowed and self.levels.reports_slowdown

    @property
    def call_seconds(self):
        """`CallSeconds` of the service."""
        return self.levels.call_seconds

    @property
    def factors(self):
        """Its `SteadyFactor` of each kind of work."""
        return self.prefill, self.decode, self.calls

    def report(self, load, placements, at, now):
        """Apply the load that the server reported at the time *at*."""
        if load.slowdown is not NOTHING:
            self.levels.reports_slowdown = True
        if not self.enabled or at <= self.reported_at:
            return
        self.reported_at = at
        self.unseen.compare(load, placements, at, now)
        if load.slowdown is NOTHING:
            return
        slowdown = bounded_slowdown(load.slowdown)
        self.live.report(slowdown, at)
        self.levels.slowdowns.learn(slowdown)
        if slowdown != 1.0:
            self.uneven = True

    def slowdown_of(self, placement, now):
        """Return the slowdown reported with a response, or the current one."""
        return placement.slowdown or self.live.current(now)

    def described(self, now):
        """Return steady factor, slowdown and its age for a log line."""
        if not self.uneven:
            return 1.0, 1.0, 0.0
        known = [one.value for one in self.factors if one.value != 1.0]
        age = now - self.live.at
        slowdown = self.live.current(now)
        return (known or [1.0])[0], slowdown, age if age < 1e6 else 0.0

    def current_slowdown(self, now):
        """Return the slowdown that is expected at *now*."""
        return self.live.current(now) if self.uneven else 1.0

    @property
    def slow_phases(self):
        """The `SlowPhases` of the servers of the service."""
        return self.levels.slowdowns.phases

    def prefill_factor(self, now):
        """Return the factor of prefill times at *now*."""
        return self.prefill.value * self.live.current(now)

    def token_factor(self, now):
        """Return the factor of the time of output tokens from *now* on."""
        return self.steady_token_factor * self.live.over_answer(now)

    @property
    def steady_token_factor(self):
        """Steady factor of the time of output tokens.

        It is learned only when streams end. Until then, a server whose prefill
        is slow is assumed to decode as slowly.
        """
        known = self.decode.count >= MIN_OBSERVATIONS
        return self.decode.value if known else self.prefill.value

    def learn(self, factor, observed, expected, now):
        """Learn a steady factor from a time without its slowdown.

        Args:
            factor: The `SteadyFactor`.
            observed: Observed seconds over the slowdown at that time.
            expected: Seconds by the model of the service.
            now: The time.
        """
        if self.enabled and expected > 0:
            factor.learn(observed / expected, now)


def bounded_slowdown(slowdown):
    """Return a reported slowdown within the bounds for absurd values."""
    return min(MAX_FACTOR, max(MIN_REPORTED_SLOWDOWN, slowdown))


class CallSeconds:
    """Seconds of a call at a server of the usual speed.

    Attributes:
        value: The average, or 0 before the first call.
    """

    __slots__ = ("value",)

    def __init__(self):
        self.value = 0.0

    def learn(self, seconds):
        """Learn from a call whose time is corrected for its server."""
        if not self.value:
            self.value = seconds
        self.value += (min(seconds, 2.0 * self.value) - self.value) * (
            LEVEL_RATE
        )


class ServiceLevels:
    """The levels of one service by kind of work.

    Attributes:
        prefill: `ServiceLevel` of prefill.
        decode: `ServiceLevel` of output tokens.
        calls: `ServiceLevel` of plain calls.
        call_seconds: `CallSeconds`.
        reports_slowdown: Whether a server has reported a slowdown.
        slowdowns: `SlowdownMoments` of all reports.
    """

    __slots__ = (
        "call_seconds",
        "calls",
        "decode",
        "prefill",
        "reports_slowdown",
        "slowdowns",
    )

    def __init__(self):
        self.prefill = ServiceLevel()
        self.decode = ServiceLevel()
        self.calls = ServiceLevel()
        self.call_seconds = CallSeconds()
        self.reports_slowdown = False
        self.slowdowns = SlowdownMoments()


@dataclass(slots=True, eq=False)
class SpeedBook:
    """Speeds of all servers that a placer knows.

    Attributes:
        disabled: Each `Mechanism` that is disabled.
        levels: `ServiceLevels` by service.
        servers: Service and `ServerSpeeds` by server.
    """

    disabled: frozenset = frozenset()
    levels: dict = field(default_factory=dict)
    servers: dict = field(default_factory=dict)

    def of(self, server_id, service):
        """Return the `ServerSpeeds` of a server of *service*."""
        known = self.servers.get(server_id)
        if known is not None and known[0] == service:
            return known[1]
        self.forget(server_id)
        levels = self.levels.setdefault(service, ServiceLevels())
        enabled = Mechanism.SPEEDS not in self.disabled
        speeds = ServerSpeeds(levels, enabled=enabled)
        for one in speeds.factors:
            one.level.factors[server_id] = one
        self.servers[server_id] = service, speeds
        return speeds

    def forget(self, server_id):
        """Drop what is known of a server that is gone or has restarted."""
        known = self.servers.pop(server_id, None)
        if known is not None:
            for one in known[1].factors:
                one.level.factors.pop(server_id, None)

    def count_slow(self, now, above):
        """Return the number of servers with a slowdown larger than *above*."""
        return sum(
            speeds.live.current(now) > above
            for _, speeds in self.servers.values()
        )

    def spread(self):
        """Return the largest ratio of two steady factors of a service."""
        spread = 1.0
        for levels in self.levels.values():
            for level in (levels.prefill, levels.decode, levels.calls):
                values = [one.value for one in level.factors.values()]
                if values:
                    spread = max(spread, max(values) / min(values))
        return spread
