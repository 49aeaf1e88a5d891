"""Gaps between the events of streams: measured, predicted and weighed."""

import math
from collections import deque
from dataclasses import dataclass, field

from ..core.sentinels import NOTHING
from .decoding import INITIAL_BUSY_TOKEN_SECONDS
from .reportedload import NO_SLOW_PHASES

__all__ = [
    "MAX_GAP_COST_SECONDS",
    "EngineGaps",
    "GapMeter",
    "GapModel",
    "StreamGaps",
    "objective_details",
    "pause_details",
]

INITIAL_EVENT_TOKENS = 8.0
"""Initial tokens of one stream event, by the sheets of the first users."""

EVENT_TOKENS_RANGE = (1.0, 64.0)
"""Bounds of the observed tokens of an event. The number of tokens of an answer
is a caller's estimate."""

EVENT_TOKENS_LEARNING_RATE = 0.05
FACTOR_LEARNING_RATE = 0.1
"""Weights of one observation. Some dozen streams must agree."""

FACTOR_RANGE = (0.4, 4.0)
"""Bounds of an observed gap over the predicted one. A host that stalls delays
the events of all its streams, which is no sign of a slow engine."""

MIN_EVENTS = 4
"""Minimum number of events of a stream whose longest gap is learned from."""

CEILING_RISE_RATE = 0.1
CEILING_FALL_RATE = 0.005
"""Weights of a gap above and below the ceiling. The ceiling thus settles where
one gap in twenty or fewer exceeds it."""

CEILING_RANGE = (0.01, 2.0)
"""Bounds of the ceiling in seconds. The initial value is that of an engine
whose steps all prefill a chunk of a prompt."""

MEDIAN_STEP = 0.03
"""Relative step of the ceiling, and of the factor of an engine, where servers
report their slowdown. The steps up and down balance at the median, which the
gaps of short slow phases do not move; these are predicted from the reports."""

STREAK_GAP_FRACTION = 0.85
"""Fraction of a streak of prefill by which it extends a gap. The steps with a
chunk produce a token each as well, and take about seven times as long."""

MAX_RECORDED_STREAKS = 64
"""Number of streaks of an engine that are kept to learn from, those of some
seconds."""

EXPOSURE_SECONDS = 2.0
"""Length of a stream in seconds, without prefill, that is sure to meet the
streaks of its engine. A shorter one meets them with a proportional chance."""

STREAK_DECAY_SECONDS = 3.0
"""Seconds over which the longest recent streak of prefill is forgotten, which
is about the length of a stream."""

STREAK_RECOVERY_FACTOR = 5.0
"""Seconds of a streak that a second without prefill makes up for. A step with
a chunk of a prompt takes five to seven times as long as one without."""

SAFE_OBJECTIVE_FRACTION = 0.65
CERTAIN_OBJECTIVE_FRACTION = 1.15
"""Predicted gap as a fraction of the objective up to which a stream is taken
to be on time, and from which on it is taken to be late. In between, the risk
grows linearly."""

LATE_STREAM_COST_SECONDS = 0.15
"""Seconds of cost for each running stream that is certain to exceed its
objective. Four of them outweigh the prefill of a shared prefix of 6,300
tokens, which costs 0.17 s three times over."""

OWN_LATE_COST_SECONDS = 0.45
"""Seconds of cost if the stream that is placed is certain to exceed its
objective. It is above the cost for a running one, since a long stream is
placed once and then meets all prompts that come to its engine. At the emulated
uneven load, equal costs of 0.15 s kept fewer streams on time."""

MAX_GAP_COST_SECONDS = 1.0
"""Maximum cost in seconds of the gaps that a placement causes, and the cost of
an engine that would be late at the first event. Gaps thus never make a
request late at its first event that would be on time without their cost."""


@dataclass(frozen=True, slots=True)
class StreamGaps:
    """The observed gaps of one attempt at a stream.

    Attributes:
        events: Number of its events.
        longest: Longest time between two events in seconds.
        seconds: Time from its first event to its last one in seconds.
    """

    events: int
    longest: float
    seconds: float = 0.0


class GapMeter:
    """Measure the gaps between the events of one attempt at a stream."""

    def __init__(self):
        self.events = 0
        self.longest = 0.0
        self.first_at = 0.0
        self.last_at = 0.0

    def record(self, now):
        """Record an event that arrived at the time *now*."""
        if self.events:
            self.longest = max(self.longest, now - self.last_at)
        else:
            self.first_at = now
        self.events += 1
        self.last_at = now

    def gaps(self):
        """Return the `StreamGaps`, or `NOTHING` without two events."""
        if self.events < 2:
            return NOTHING
        return StreamGaps(
            self.events, self.longest, self.last_at - self.first_at
        )


@dataclass(slots=True, eq=False)
class GapModel:
    """What the engines of one service have in common.

    Attributes:
        event_tokens: Tokens of one event.
        ceiling: Gap in seconds on an engine that prefills all the time.
        streams: Number of placed streams with a gap objective.
    """

    event_tokens: float = INITIAL_EVENT_TOKENS
    ceiling: float = INITIAL_EVENT_TOKENS * INITIAL_BUSY_TOKEN_SECONDS
    streams: int = 0

    def longest_gap(self, idle, streak, slowdown=1.0):
        """Return the longest gap between two events in seconds.

        A streak of prefill that is shorter than the time of an event slows
        down a part of its tokens only.

        Args:
            idle: Seconds for a token while the engine prefills nothing.
            streak: Longest time in seconds in which it prefills throughout.
            slowdown: Reported slowdown of the engine.
        """
        gap = (
            self.event_tokens * idle * slowdown + streak * STREAK_GAP_FRACTION
        )
        return min(self.ceiling * slowdown, gap)

    def learn_median(self, tokens, longest, streak):
        """Learn from a stream on an engine that reports its slowdown.

        Args:
            tokens: Tokens of one of its events.
            longest: Its longest gap in seconds.
            streak: Seconds of prefill in which it fell.
        """
        self.learn_tokens(tokens)
        if streak * STREAK_GAP_FRACTION < self.ceiling / 2:
            return
        low, high = CEILING_RANGE
        step = MEDIAN_STEP if longest > self.ceiling else -MEDIAN_STEP
        self.ceiling = min(high, max(low, self.ceiling * (1.0 + step)))

    def learn_tokens(self, tokens):
        """Learn the tokens of an event."""
        low, high = EVENT_TOKENS_RANGE
        tokens = min(high, max(low, tokens))
        self.event_tokens += (
            tokens - self.event_tokens
        ) * EVENT_TOKENS_LEARNING_RATE

    def learn(self, tokens, longest):
        """Learn from a stream.

        Args:
            tokens: Tokens of one of its events.
            longest: Its longest gap in seconds.
        """
        self.learn_tokens(tokens)
        error = longest - self.ceiling
        rate = CEILING_RISE_RATE if error > 0 else CEILING_FALL_RATE
        low, high = CEILING_RANGE
        self.ceiling = min(high, max(low, self.ceiling + error * rate))


@dataclass(slots=True, eq=False)
class EngineGaps:
    """Gaps of the streams of one engine.

    Attributes:
        model: The `GapModel` of the service.
        factor: Observed longest gap over that of the model on this engine.
        streams: Number of placed streams with a gap objective.
        waiting: Those among them without a first event.
        objectives: Sum of their gap objectives in seconds.
        prefilling: Whether the engine prefills now.
        streak: Seconds of prefill that count for the present events, at
            `streak_at`. Time without prefill reduces it, see `streak_now`.
        streak_at: Time at which `streak` was updated.
        longest_streak: Longest recent streak in seconds, at
            `longest_streak_at`. It decays from then on.
        streaks: End and seconds of each of the last streaks.
    """

    model: GapModel = field(default_factory=GapModel)
    factor: float = 1.0
    streams: int = 0
    waiting: int = 0
    objectives: float = 0.0
    prefilling: bool = False
    streak: float = 0.0
    streak_at: float = 0.0
    longest_streak: float = 0.0
    longest_streak_at: float = 0.0
    streaks: deque = field(
        default_factory=lambda: deque(maxlen=MAX_RECORDED_STREAKS)
    )

    def add(self, placement):
        """Count a stream if it has a gap objective."""
        if placement.gap_objective:
            self.streams += 1
            self.waiting += not placement.started
            self.model.streams += 1
            self.objectives += placement.gap_objective

    def mark_started(self, placement):
        """Record the first event of a stream."""
        if placement.gap_objective and not placement.started:
            self.waiting -= 1

    def remove(self, placement):
        """Stop counting a stream."""
        if placement.gap_objective:
            self.streams -= 1
            self.waiting -= not placement.started
            self.model.streams -= 1
            self.objectives -= placement.gap_objective
            if not self.streams:
                self.objectives = 0.0

    def set_prefilling(self, prefilling, now):
        """Record whether the engine prefills from now on."""
        streak = self.streak_now(now)
        if self.prefilling and streak > self.decayed_streak(now):
            self.longest_streak = streak
            self.longest_streak_at = now
        if self.prefilling and not prefilling:
            self.streaks.append((now, streak))
        self.streak = streak
        self.streak_at = max(now, self.streak_at)
        self.prefilling = prefilling

    def streak_now(self, now):
        """Return the seconds of prefill that count for the present events.

        While the engine prefills nothing, it produces the tokens of an event
        several times as fast. A short pause of the prefill therefore ends the
        event that a streak has delayed, and the streak is reduced by several
        times the length of the pause.
        """
        elapsed = max(0.0, now - self.streak_at)
        if self.prefilling:
            return self.streak + elapsed
        return max(0.0, self.streak - elapsed * STREAK_RECOVERY_FACTOR)

    def decayed_streak(self, now):
        """Return the longest streak that ended recently, in seconds."""
        age = max(0.0, now - self.longest_streak_at)
        return self.longest_streak * math.exp(-age / STREAK_DECAY_SECONDS)

    def recent_streak(self, now):
        """Return the longest recent streak of prefill in seconds."""
        return max(self.decayed_streak(now), self.streak_now(now))

    def cost(
        self,
        request,
        own,
        queued_by_urgency,
        idle,
        slowdown=1.0,
        phases=NO_SLOW_PHASES,
    ):
        """Return the cost of the gaps that a placement causes.

        A slow phase of the engine may begin before the prompt is prefilled,
        and the more likely before the stream ends.

        Args:
            request: The `EstimateRequest`.
            own: Seconds of prefill that the request adds.
            queued_by_urgency: Seconds of prefill that wait at the engine, by
                urgency.
            idle: Seconds for an output token without prefill.
            slowdown: Reported slowdown of the engine.
            phases: `SlowPhases` of the engines of the service.

        Returns:
            The cost in seconds, and the predicted longest gap of the request's
            own stream, 0 if it has no gap objective.
        """
        worst = max(slowdown, phases.slowdown)
        queued = sum(queued_by_urgency)
        late_streams = self.late_streams(
            request.now, own, queued, idle, slowdown
        )
        if worst > slowdown:
            late_if_slow = self.late_streams(
                request.now, own * worst / slowdown, queued, idle, worst
            )
            late_streams += phases.share * (late_if_slow - late_streams)
        cost = late_streams * LATE_STREAM_COST_SECONDS
        pause = 0.0
        if request.gap_objective:
            behind = sum(queued_by_urgency[request.urgency + 1 :])
            streak = self.recent_streak(request.now)
            pause = self.longest_gap(streak, behind, idle, slowdown)
            late = risk(pause, request.gap_objective)
            seconds = request.demand.tokens_out * idle
            if worst > slowdown:
                slow_pause = self.longest_gap(
                    streak * worst / slowdown, behind, idle, worst
                )
                late += phases.chance_within(seconds) * (
                    risk(slow_pause, request.gap_objective) - late
                )
            exposure = min(1.0, seconds / EXPOSURE_SECONDS)
            cost += exposure * late * OWN_LATE_COST_SECONDS
        return min(MAX_GAP_COST_SECONDS, cost), pause

    def longest_gap(self, streak, queued, idle, slowdown):
        """Return the predicted longest gap of a stream in seconds.

        Args:
            streak: Seconds of a recent streak of prefill.
            queued: Usual seconds of prefill that wait behind the stream.
            idle: Seconds for an output token without prefill.
            slowdown: Slowdown of the engine.
        """
        streak = max(streak, queued * slowdown)
        return self.model.longest_gap(idle, streak, slowdown) * self.factor

    def late_streams(self, now, own, queued, idle, slowdown):
        """Return how many streams of the engine exceed their objective.

        The streams that wait for their first event see only the prefill behind
        them, on average half of the queue. The streams that exceed their
        objective anyway count as well: a streak that is too long already hits
        each stream that starts meanwhile.

        Args:
            now: The time.
            own: Seconds of prefill that a placement adds.
            queued: Usual seconds of prefill that wait at the engine.
            idle: Seconds for an output token without prefill.
            slowdown: Slowdown of the engine.
        """
        if not self.streams:
            return 0.0
        late_streams = 0.0
        objective = self.objectives / self.streams
        running = self.streams - self.waiting
        queued *= slowdown
        for count, streak in (
            (running, self.streak_now(now) + queued),
            (self.waiting, queued / 2),
        ):
            if not count:
                continue
            gap = self.model.longest_gap(idle, streak + own, slowdown)
            late_streams += count * risk(gap * self.factor, objective)
        return late_streams

    def learn(self, placement, gaps, idle, now, *, median=False):
        """Learn from the gaps of a stream that has ended.

        Args:
            placement: Its `Placement`.
            gaps: Its `StreamGaps`.
            idle: Seconds for an output token without prefill.
            now: The time.
            median: Whether short slow phases are predicted from reports of
                the engine, so that the medians are learned.
        """
        if gaps.events < MIN_EVENTS or not placement.tokens_out:
            return
        tokens = placement.tokens_out / gaps.events
        if not median:
            self.model.learn(tokens, gaps.longest / self.factor)
        began = placement.started_at
        streak = max(
            (
                min(streak, ended - began)
                for ended, streak in self.streaks
                if ended > began
            ),
            default=0.0,
        )
        streak = max(streak, min(self.streak_now(now), now - began))
        low, high = FACTOR_RANGE
        if median:
            self.model.learn_median(tokens, gaps.longest / self.factor, streak)
            expected = self.model.longest_gap(idle, streak) * self.factor
            step = MEDIAN_STEP if gaps.longest > expected else -MEDIAN_STEP
            self.factor = min(high, max(low, self.factor * (1.0 + step)))
            return
        expected = self.model.longest_gap(idle, streak)
        ratio = min(high, max(low, gaps.longest / max(1e-3, expected)))
        self.factor += (ratio - self.factor) * FACTOR_LEARNING_RATE


def pause_details(placed):
    """Return the fields of a `Placed` decision for its log line."""
    return {"pause_ms": int(placed.pause * 1000)} if placed.pause else {}


def objective_details(route):
    """Return the fields of a `Route` for the line of a request's end."""
    if not route.gap_objective:
        return {}
    return {"gap_objective_ms": int(route.gap_objective * 1000)}


def risk(gap, objective):
    """Return how likely a stream is late, from 0 to 1.

    Args:
        gap: Its predicted longest gap in seconds.
        objective: Its gap objective in seconds.
    """
    safe = SAFE_OBJECTIVE_FRACTION * objective
    span = CERTAIN_OBJECTIVE_FRACTION * objective - safe
    return min(1.0, max(0.0, (gap - safe) / span))
