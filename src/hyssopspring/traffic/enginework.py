"""The model of an inference engine: its prefill queue and its cache."""

from collections import OrderedDict
from dataclasses import dataclass, field

from ..core.sentinels import NOTHING
from .decoding import (
    DUTY_CYCLE_SECONDS,
    DecodeTimes,
    DutyCycle,
    RankUtilization,
)
from .mechanisms import Mechanism
from .pauses import MAX_GAP_COST_SECONDS, EngineGaps
from .prefill import PrefillTimes, attention_pairs
from .prefillqueue import PrefillQueue
from .routes import EngineSpec
from .serverspeeds import ServerSpeeds
from .slotuse import (
    BEHIND_ALL,
    MIN_REMAINING_SECONDS,
    SlotUse,
    remaining_seconds,
)
from .work import (
    PREFILL_COST_FACTOR,
    RANKS,
    Estimate,
    answer_cost,
    occupancy_cost,
    rank_of,
)

__all__ = ["EngineWork"]

USABLE_MEMORY_FRACTION = 0.93
"""Fraction of an engine's memory that is filled. Requests grow while they run,
and an engine that runs out of memory preempts requests midway."""

LEARNING_RATE = 0.12
"""Weight of one observation in moving averages."""

PREFILL_SLOWDOWN_RANGE = (0.5, 8.0)
"""Bounds of `prefill_slowdown`. Servers that are slower than eightfold are not
chosen in any case."""

PREFILL_SLOWDOWN_DECAY_SECONDS = 8.0
"""Seconds in which a prefill slowdown returns to normal without new evidence,
so that a server that was slow once gets requests again."""

MIN_LEARNED_PREFILL_SECONDS = 0.04
"""Minimum expected prefill time in seconds of a prompt whose first event is
used to learn the slowdown."""

MIN_STEADY_PREFILL_SECONDS = 0.02
"""Minimum for learning the steady factor, which averages over more prompts."""

STEP_SECONDS = 0.04
"""Seconds of an engine step with a chunk of a prompt. The order in which
prompts that arrive within one step are prefilled cannot be predicted."""

OVERDUE_FRACTION = 0.5
"""Fraction of its overdue time that the prompt in prefill is assumed to need
still. An engine that stalls gives no other sign."""

DECODE_SLOWDOWN_RANGE = (0.5, 8.0)
"""Bounds of `decode_slowdown`, the same as for `prefill_slowdown`."""

PREEMPTION_COST_SECONDS = 0.5
"""Seconds that a preemption adds to the cost of a server. The stream that
loses its slot stalls, prefills its prompt again and is late, so a free slot in
another region is better, and a refusal is worse."""

MIN_COPIED_TOKENS = 1024
"""Minimum number of tokens that are copied from another server: one chunk,
which is prefilled in 30 ms."""

COPY_SETUP_SECONDS = 0.02
"""Seconds in which a copy starts and waits for others on the same link. 6,300
tokens of 160 KB each take 15 ms more at 550 Gbit/s."""


@dataclass(slots=True, eq=False)
class EngineWork:
    """Work in progress at an inference engine, and its cached parts.

    An engine prefills one prompt after another between the decoding steps of
    its batch. It takes the most urgent waiting prompt, the oldest one among
    equals, and prefills it to its end. A prompt that arrives meanwhile waits,
    however urgent it is. So the time to a first event is the rest of the
    prompt in prefill, the prefill of all prompts that are at least as urgent,
    and then of the prompt's own parts that are not cached. For 9 in
    10 of 5,288 prompts, the observed time exceeds the predicted one by less
    than 0.12 s, against 0.26 s if all less urgent prompts are assumed to yield
    at once.

    Attributes:
        spec: The `EngineSpec`.
        prefill_times: `PrefillTimes` of the service.
        decode_times: `DecodeTimes` of the service.
        disabled: Each `Mechanism` that is disabled.
        placements: `Placement` by host and number.
        queue: `PrefillQueue` of the prompts whose prefill has not ended.
        held_tokens: Tokens of memory that all placements take.
        cached: Tokens by part, the least recently used first.
        cached_tokens: Sum of the cached tokens.
        crowding_cost: Seconds that the load adds to the cost, see
            `occupancy_cost`.
        prefill_slowdown: Observed prefill time over the predicted one.
        prefill_slowdown_at: Time of the last observation.
        active_prefill: `Placement` whose prompt is in prefill, or `NOTHING`.
        active_prefill_since: Time at which that prefill started.
        duty_cycle: `DutyCycle` of its prefill.
        rank_utilization: `RankUtilization` of its prefill.
        decode_slowdown: Observed time of an output token over the expected
            one.
        gaps: `EngineGaps` of its streams.
        slot_use: `SlotUse` of its requests.
        waits_for_slot: Whether the prompt in `active_prefill` waits until a
            request ends.
        speeds: `ServerSpeeds`.
        prefill_factor: Steady factor that `prefill_slowdown` is relative to.
        decode_factor: Steady factor that `decode_slowdown` is relative to.
    """

    spec: EngineSpec
    prefill_times: PrefillTimes
    decode_times: DecodeTimes
    disabled: frozenset = frozenset()
    placements: dict = field(default_factory=dict)
    queue: PrefillQueue = field(default_factory=PrefillQueue)
    held_tokens: int = 0
    cached: OrderedDict = field(default_factory=OrderedDict)
    cached_tokens: int = 0
    crowding_cost: float = 0.0
    prefill_slowdown: float = 1.0
    prefill_slowdown_at: float = 0.0
    active_prefill: object = NOTHING
    active_prefill_since: float = 0.0
    duty_cycle: DutyCycle = field(default_factory=DutyCycle)
    rank_utilization: RankUtilization = field(default_factory=RankUtilization)
    decode_slowdown: float = 1.0
    gaps: EngineGaps = field(default_factory=EngineGaps)
    slot_use: SlotUse = field(init=False)
    waits_for_slot: bool = False
    speeds: ServerSpeeds = field(default_factory=ServerSpeeds)
    prefill_factor: float = 1.0
    decode_factor: float = 1.0

    def __post_init__(self):
        self.slot_use = SlotUse(self.slots)

    @property
    def slots(self):
        """Maximum number of concurrent requests."""
        return max(1, self.spec.slots)

    @property
    def memory(self):
        """Tokens of memory, shared by running requests and cached parts."""
        return max(1, self.spec.memory_tokens)

    def is_for(self, engine):
        """Return whether the model fits a service with this `EngineSpec`."""
        return self.spec is engine or self.spec == engine

    def cached_prefix_tokens(self, demand):
        """Return the tokens of the prompt's prefix that are cached here."""
        cached_prefix = 0
        for part, tokens in demand.parts:
            if part not in self.cached:
                break
            cached_prefix += tokens
        return cached_prefix

    def copied_tokens(self, demand, most_cached):
        """Return the tokens that are worth copying from another server.

        Args:
            demand: The `Demand`.
            most_cached: Tokens of the prompt that the other server has cached.
        """
        return self.worth_copying(
            most_cached - self.cached_prefix_tokens(demand)
        )

    def worth_copying(self, tokens):
        """Return *tokens* if a copy of so many pays off, or 0."""
        if not self.spec.copy_seconds or tokens < MIN_COPIED_TOKENS:
            return 0
        return tokens

    def uncached_tokens(self, demand, copied=0):
        """Return the tokens of the prompt that must be prefilled here."""
        cached_prefix = self.cached_prefix_tokens(demand) + copied
        return max(1, demand.tokens_in - cached_prefix)

    def current_prefill_slowdown(self, now):
        """Return the factor of prefill times at *now*."""
        if self.speeds.uneven:
            factor = self.speeds.prefill_factor(now)
            return self.residual_prefill_slowdown(now) * factor
        return self.residual_prefill_slowdown(now)

    def residual_prefill_slowdown(self, now):
        """Return the slowdown beyond the steady and the reported one.

        It decays to normal without evidence.
        """
        age = now - self.prefill_slowdown_at
        if age >= PREFILL_SLOWDOWN_DECAY_SECONDS:
            return 1.0
        weight = 1.0 - max(0.0, age) / PREFILL_SLOWDOWN_DECAY_SECONDS
        return 1.0 + (self.prefill_slowdown - 1.0) * weight

    def prefill_wait(self, urgency, now):
        """Return the seconds of prefill before a request of *urgency*."""
        active_prefill = self.active_prefill
        if active_prefill is NOTHING:
            return 0.0
        others = self.queue.seconds_up_to(urgency)
        if active_prefill.urgency <= urgency:
            others = max(0.0, others - active_prefill.prefill_seconds)
        wait = others * self.current_prefill_slowdown(now)
        if (
            Mechanism.HEAD not in self.disabled
            or active_prefill.urgency <= urgency
        ):
            wait += self.active_prefill_remaining(now)
        if Mechanism.OVERTAKING in self.disabled:
            return wait
        return wait * self.rank_utilization.slowdown(rank_of(urgency), now)

    def active_prefill_remaining(self, now):
        """Return the remaining seconds of the prompt in prefill."""
        if self.waits_for_slot:
            return (
                self.active_prefill.prefill_seconds
                * self.current_prefill_slowdown(now)
            )
        elapsed = now - self.active_prefill_since
        remaining = (
            self.active_prefill.prefill_seconds
            * self.current_prefill_slowdown(now)
            - elapsed
        )
        return max(remaining, -remaining * OVERDUE_FRACTION)

    def preempts(self, urgency):
        """Return whether a request takes the slot of a less urgent one."""
        if (
            len(self.placements) < self.slots
            or Mechanism.HEADROOM in self.disabled
        ):
            return False
        return self.slot_use.held(urgency) < self.slots

    def slots_held(self, urgency):
        """Return the slots that a request of *urgency* finds in use."""
        if Mechanism.HEADROOM in self.disabled:
            return len(self.placements)
        return self.slot_use.held(urgency)

    def slot_wait(self, tokens, now, urgency=BEHIND_ALL):
        """Return the seconds until a slot and memory are free.

        An engine that runs out of memory preempts its newest requests in the
        middle of their streams and prefills them again, and callers see their
        streams stall. So a request waits until as many others have ended as
        its slot and its memory need.

        Args:
            tokens: Tokens of memory that it needs.
            now: The time.
            urgency: Its rank among waiting requests.
        """
        unseen = self.speeds.unseen.count(now)
        slots = max(0, len(self.placements) + unseen) + 1 - self.slots
        if slots > 0:
            held = self.slots_held(urgency) + unseen
            slots = max(0, held) + 1 - self.slots
        memory = (
            self.held_tokens + tokens - self.memory * USABLE_MEMORY_FRACTION
        )
        if slots <= 0 and memory <= 0:
            return 0.0
        if memory <= 0 and Mechanism.SLOTS not in self.disabled:
            by_urgency = Mechanism.HEADROOM not in self.disabled
            return self.slot_use.wait(
                self.placements.values(),
                urgency if by_urgency else BEHIND_ALL,
                self.token_time(now),
                now,
            )
        seconds = 0.0
        token = self.token_time(now)
        ends = [
            (remaining_seconds(placement, token, now), placement.tokens)
            for placement in self.placements.values()
            if placement.urgency <= urgency
            or memory > 0
            or Mechanism.HEADROOM in self.disabled
        ]
        if not ends:
            return MIN_REMAINING_SECONDS
        if slots <= 1 and memory <= 0:
            return min(ends)[0]
        for remaining, freed in sorted(ends):
            seconds = remaining
            slots -= 1
            memory -= freed
            if slots <= 0 and memory <= 0:
                break
        return seconds

    def idle_seconds(self, demand, uncached):
        """Return the seconds to a first event on an idle engine.

        Args:
            demand: The `Demand`.
            uncached: Tokens of the prompt that it must prefill.
        """
        return self.prefill_times.seconds(
            uncached, attention_pairs(demand.tokens_in, uncached)
        )

    def predict(self, demand, urgency, now, copied=0):
        """Return the predicted seconds until the first event.

        Args:
            demand: The `Demand`.
            urgency: Its rank among waiting requests.
            now: The time.
            copied: Tokens that are copied from another server first.
        """
        own = self.own_prefill(demand, now, copied)
        return self.wait(demand, urgency, now) + self.copy_time(copied) + own

    def wait(self, demand, urgency, now):
        """Return the seconds until the engine starts a request."""
        tokens = demand.tokens_in + demand.tokens_out
        return self.joint_wait(
            self.prefill_wait(urgency, now),
            self.slot_wait(tokens, now, urgency),
        )

    def joint_wait(self, prefill_wait, slot_wait):
        """Return the seconds of a wait for prefills and for a slot.

        While requests wait for slots, each prompt is prefilled as it gets one,
        so the wait for a slot contains the prefills.
        """
        if Mechanism.SLOTS in self.disabled:
            return prefill_wait + slot_wait
        return max(prefill_wait, slot_wait)

    def own_prefill(self, demand, now, copied):
        """Return the seconds of prefill that a request would add."""
        uncached = self.uncached_tokens(demand, copied)
        return self.idle_seconds(
            demand, uncached
        ) * self.current_prefill_slowdown(now)

    def copy_time(self, copied):
        """Return the seconds that a copy of cached tokens takes."""
        if not copied:
            return 0.0
        return COPY_SETUP_SECONDS + copied * self.spec.copy_seconds

    def cost(self, demand, urgency, now, copied=0):
        """Return the cost in seconds for the comparison of servers."""
        own = self.own_prefill(demand, now, copied)
        wait = self.wait(demand, urgency, now)
        predicted = wait + self.copy_time(copied) + own
        preemption = PREEMPTION_COST_SECONDS * self.preempts(urgency)
        return self.cost_of(demand, now, own, predicted) + preemption

    def cost_of(self, demand, now, own, predicted):
        """Return the cost of a request whose prediction is given.

        Args:
            demand: The `Demand`.
            now: The time.
            own: Seconds of prefill that it adds.
            predicted: Seconds until its first event.
        """
        cost = predicted + own * PREFILL_COST_FACTOR + self.crowding_cost
        if Mechanism.ANSWERS in self.disabled:
            return cost
        return cost + answer_cost(
            demand.tokens_out,
            self.token_time(now, predicted),
            demand.answer_within - predicted,
        )

    def estimate(self, request, cached_prefix, limit):
        """Return the estimate of the engine for a request.

        The result equals that of `cost` and `predict`. Each part is computed
        once, and only while the engine may still be the best one: among 35
        engines this takes a third of the time of calling those two methods.

        Args:
            request: The `EstimateRequest`.
            cached_prefix: Tokens of the prompt that are cached here.
            limit: Cost from which on the engine is not considered.

        Returns:
            An `Estimate`, or `NOTHING` if its cost exceeds *limit*.
        """
        demand, now = request.demand, request.now
        copied = self.worth_copying(request.most_cached - cached_prefix)
        uncached = max(1, demand.tokens_in - cached_prefix - copied)
        idle_seconds = request.idle_seconds_by_tokens.get(uncached)
        if idle_seconds is None:
            idle_seconds = request.idle_seconds_by_tokens[uncached] = (
                self.idle_seconds(demand, uncached)
            )
        own = idle_seconds * self.current_prefill_slowdown(now)
        least = own * (1.0 + PREFILL_COST_FACTOR) + self.crowding_cost
        if least > limit:
            return NOTHING
        prefill_wait = self.prefill_wait(request.urgency, now)
        if least + prefill_wait > limit:
            return NOTHING
        tokens = demand.tokens_in + demand.tokens_out
        wait = self.joint_wait(
            prefill_wait, self.slot_wait(tokens, now, request.urgency)
        )
        predicted = wait + self.copy_time(copied) + own
        cost = self.cost_of(demand, now, own, predicted)
        if self.preempts(request.urgency):
            cost += PREEMPTION_COST_SECONDS
        if not request.weighs_gaps or cost >= limit:
            return Estimate(predicted, cost, copied)
        gap_cost, pause = self.gaps.cost(
            request,
            own,
            self.queue.seconds,
            self.idle_token_seconds,
            self.speeds.current_slowdown(now),
            self.speeds.slow_phases,
        )
        if predicted > request.in_time_within:
            gap_cost = MAX_GAP_COST_SECONDS
        return Estimate(predicted, cost, copied, gap_cost, pause)

    @property
    def idle_token_seconds(self):
        """Seconds for an output token while no prompt is prefilled."""
        return (
            self.decode_times.idle
            * self.decode_slowdown
            * self.speeds.steady_token_factor
        )

    def token_time(self, now, backlog=0.0):
        """Return the predicted seconds for an output token.

        The prediction holds for the next `DUTY_CYCLE_SECONDS`.

        Args:
            now: The time.
            backlog: Seconds of prefill that already wait.
        """
        self.duty_cycle.advance(now)
        duty = self.duty_cycle.expected(backlog, DUTY_CYCLE_SECONDS)
        seconds = self.decode_times.seconds(duty) * self.decode_slowdown
        if self.speeds.uneven:
            return seconds * self.speeds.token_factor(now)
        return seconds

    def begin(self, placement, demand):
        """Add the placement of a request, whose parts will be cached."""
        pairs = attention_pairs(placement.tokens_in, placement.uncached_tokens)
        placement.prefill_seconds = self.prefill_times.seconds(
            placement.uncached_tokens, pairs
        )
        self.placements[placement.host, placement.number] = placement
        if placement.waiting:
            self.queue.add(placement)
        if self.active_prefill is NOTHING and placement.waiting:
            placement.found_idle = self.prefills_alone(placement, demand)
            self.active_prefill, self.active_prefill_since = (
                placement,
                placement.placed_at,
            )
            self.update_prefilling(placement.placed_at)
            placement.found_idle &= not self.waits_for_slot
        elif self.waits_for_slot and placement.waiting:
            # A more urgent prompt gets the next slot first.
            self.start_next_prefill(placement.placed_at)
        self.slot_use.add(placement)
        self.slot_use.add_demand(
            placement.urgency,
            placement.prefill_seconds
            + placement.tokens_out * self.token_time(placement.placed_at),
            placement.placed_at,
        )
        self.gaps.add(placement)
        self.held_tokens += placement.tokens
        self.crowding_cost = occupancy_cost(self.occupancy())
        if demand is NOTHING:
            return
        for part, tokens in demand.parts:
            self.cached_tokens += tokens - self.cached.get(part, 0)
            self.cached[part] = tokens
            self.cached.move_to_end(part)
        self.trim()

    def prefills_alone(self, placement, demand):
        """Return whether the server copies nothing before the prefill."""
        if demand is NOTHING:
            return False
        return placement.uncached_tokens == self.uncached_tokens(demand)

    def trim(self):
        """Remove the parts that the engine has evicted by now."""
        free_tokens = max(0, self.memory - self.held_tokens)
        while self.cached and self.cached_tokens > free_tokens:
            self.cached_tokens -= self.cached.popitem(last=False)[1]

    def start(self, placement, seconds, now):
        """Learn from a first event that came after *seconds*."""
        was_active = placement is self.active_prefill
        self.rank_utilization.add(
            rank_of(placement.urgency), placement.prefill_seconds, now
        )
        prefill_seconds = (
            seconds
            if placement.found_idle
            else now - self.active_prefill_since
        )
        self.mark_started(placement, now)
        if not was_active:
            return
        slowdown = self.speeds.slowdown_of(placement, now)
        if placement.prefill_seconds >= MIN_STEADY_PREFILL_SECONDS:
            self.speeds.learn(
                self.speeds.prefill,
                prefill_seconds / slowdown,
                placement.prefill_seconds,
                now,
            )
        factor = self.speeds.prefill.value * slowdown
        learns = Mechanism.FIGURES not in self.disabled
        if learns and placement.found_idle and placement.uncached_tokens > 1:
            pairs = attention_pairs(
                placement.tokens_in, placement.uncached_tokens
            )
            self.prefill_times.learn(
                placement.uncached_tokens, pairs, seconds / factor
            )
        self.learn_prefill_slowdown(
            placement.prefill_seconds, prefill_seconds / factor, now
        )

    def mark_started(self, placement, now):
        """Record the end of a prefill, and choose the next prompt.

        If a prompt that arrived after the one in prefill starts before it, the
        latter must have been prefilled and its answer was lost. If it were
        kept, it would block all others in the model until its caller
        disconnects.
        """
        active_prefill, since = self.active_prefill, self.active_prefill_since
        self.queue.remove(placement)
        self.gaps.mark_started(placement)
        self.slot_use.mark_started(placement)
        placement.started = True
        placement.started_at = now
        self.duty_cycle.advance(now)
        placement.prefill_seconds_at_start = self.duty_cycle.total
        if self.speeds.uneven:
            self.speeds.live.advance(now)
            placement.slowdown_total_at_start = self.speeds.live.total
        if active_prefill is NOTHING:
            return
        if (
            placement is not active_prefill
            and placement.placed_at > since + STEP_SECONDS
            and not self.waits_for_slot
        ):
            self.queue.remove(active_prefill)
            active_prefill.lost = True
        self.start_next_prefill(now)

    def start_next_prefill(self, now):
        """Choose the prompt that the engine prefills from now on."""
        self.active_prefill = self.queue.first()
        self.active_prefill_since = now
        self.update_prefilling(now)

    def update_prefilling(self, now):
        """Record whether the engine prefills the next prompt from now on.

        A prompt for which no slot is free waits until a request ends. If that
        counted as prefill, the engine would seem slow and busy: with all slots
        in use, a first event was predicted in 2.2 s and came in 0.75 s, and
        requests were refused while slots became free.
        """
        active_prefill = self.active_prefill
        waited = self.waits_for_slot
        self.waits_for_slot = (
            active_prefill is not NOTHING
            and Mechanism.SLOTS not in self.disabled
            and self.slot_use.is_full(active_prefill.urgency)
        )
        if waited and not self.waits_for_slot:
            self.active_prefill_since = now
        prefilling = active_prefill is not NOTHING and not self.waits_for_slot
        self.duty_cycle.set_prefilling(prefilling, now)
        self.gaps.set_prefilling(prefilling, now)

    def learn_prefill_slowdown(self, expected, observed, now):
        """Learn from a prompt that was prefilled in *observed* seconds.

        The time is that without the steady and the reported slowdown.
        """
        if self.prefill_factor != self.speeds.prefill.value:
            self.prefill_slowdown *= (
                self.prefill_factor / self.speeds.prefill.value
            )
            self.prefill_factor = self.speeds.prefill.value
        if expected < MIN_LEARNED_PREFILL_SECONDS:
            return
        low, high = PREFILL_SLOWDOWN_RANGE
        ratio = min(high, max(low, observed / expected))
        prefill_slowdown = self.residual_prefill_slowdown(now)
        self.prefill_slowdown = (
            prefill_slowdown + (ratio - prefill_slowdown) * LEARNING_RATE
        )
        self.prefill_slowdown_at = now

    def end(self, placement, now, *, complete=False, gaps=NOTHING):
        """Remove a placement, and learn from a complete answer.

        Args:
            placement: The `Placement`.
            now: The time.
            complete: Whether its answer is complete.
            gaps: `StreamGaps` of its stream, or `NOTHING`.
        """
        removed = self.placements.pop((placement.host, placement.number), None)
        if removed is not None:
            self.held_tokens -= removed.tokens
            self.queue.remove(removed)
            self.gaps.remove(removed)
            self.slot_use.remove(removed)
            self.crowding_cost = occupancy_cost(self.occupancy())
        if removed is not None and removed is self.active_prefill:
            self.start_next_prefill(now)
        elif self.waits_for_slot:
            self.update_prefilling(now)
        if not placement.started or not placement.tokens_out:
            return
        if not complete:
            self.learn_incomplete(placement, now)
            return
        self.learn_token(placement, now)
        if gaps is not NOTHING:
            self.gaps.learn(
                placement,
                gaps,
                self.idle_token_seconds,
                now,
                median=self.speeds.enabled,
            )

    def learn_token(self, placement, now):
        """Learn the time of an output token from a complete answer."""
        seconds = now - placement.started_at
        if seconds <= 0:
            return
        self.duty_cycle.advance(now)
        duty = min(
            1.0,
            (self.duty_cycle.total - placement.prefill_seconds_at_start)
            / seconds,
        )
        observed = seconds / placement.tokens_out
        observed /= self.mean_slowdown(placement, seconds, now)
        expected = self.decode_times.seconds(duty)
        speeds = self.speeds
        speeds.learn(speeds.decode, observed, expected, now)
        factor = speeds.steady_token_factor
        observed /= factor
        if self.decode_factor != factor:
            self.decode_slowdown *= self.decode_factor / factor
            self.decode_factor = factor
        low, high = DECODE_SLOWDOWN_RANGE
        decode_slowdown = min(high, max(low, observed / expected))
        self.decode_slowdown += (
            decode_slowdown - self.decode_slowdown
        ) * LEARNING_RATE
        self.decode_times.learn(duty, observed)

    def retire(self):
        """Remove its streams from the counts of the service."""
        for placement in self.placements.values():
            self.gaps.remove(placement)

    def learn_incomplete(self, placement, now):
        """Learn that an answer took longer than the time until its end.

        Callers leave before a slow server has completed their answers. If
        only complete answers counted, such a server would never seem slow.
        """
        seconds = now - placement.started_at
        if not self.speeds.enabled or seconds <= 0:
            return
        self.duty_cycle.advance(now)
        prefill = self.duty_cycle.total - placement.prefill_seconds_at_start
        expected = self.decode_times.seconds(min(1.0, prefill / seconds))
        at_least = seconds / placement.tokens_out
        at_least /= self.mean_slowdown(placement, seconds, now)
        factor = self.speeds.steady_token_factor * self.decode_slowdown
        if at_least > expected * factor:
            self.speeds.learn(self.speeds.decode, at_least, expected, now)

    def mean_slowdown(self, placement, seconds, now):
        """Return the mean reported slowdown during an answer.

        Args:
            placement: Its `Placement`.
            seconds: Seconds since its first event.
            now: The time.
        """
        live = self.speeds.live
        if not self.speeds.uneven or not placement.slowdown_total_at_start:
            return 1.0
        live.advance(now)
        return (live.total - placement.slowdown_total_at_start) / seconds

    def waits(self, now):
        """Return the seconds that a new request waits, by its rank."""
        return tuple(
            self.joint_wait(
                self.prefill_wait(urgency, now),
                self.slot_wait(1000, now, urgency),
            )
            for urgency in range(2, 2 + 2 * RANKS, 2)
        )

    def occupancy(self, now=0.0):
        """Return the used fraction of the slots or of the memory.

        The larger one of the two counts.
        """
        memory = self.held_tokens / (self.memory * USABLE_MEMORY_FRACTION)
        return max(len(self.placements) / self.slots, memory)
