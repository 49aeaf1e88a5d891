"""Workspaces with limits in tokens, asked in patterns over regions.

Only the counting is emulated: who counts, with which share, and tokens that
are handed over in 80 ms each way. Sizes of requests are drawn as the first
users give theirs: three in eight are reviews of 9,190 tokens on average, the
others quotes of 1,116.
"""

import math
import random
from collections import deque
from dataclasses import dataclass, field

from hyssopspring.core.sentinels import NOTHING
from hyssopspring.core.tokenlimits import Allowance, TokenLimits
from hyssopspring.traffic.workspaces import TokenLimit

__all__ = ["PATTERNS", "WAYS", "LimitLoad", "Pattern", "Way"]

REGIONS = ("dar", "arusha", "mwanza")
HOSTS = 22
"""Hosts of a region."""

ONE_WAY = 0.08
"""Seconds between two regions."""

STEP = 0.02
STEPS_BETWEEN_TRANSFERS = 15
WORKSPACE = "desk"
REVIEW_PART = 0.375
REVIEW_TOKENS, REVIEW_SPREAD = 9190, 0.5
QUOTE_TOKENS, QUOTE_SPREAD = 1116, 0.4
LEAST_WAIT = 0.1
"""Seconds after which a refused caller comes back at the earliest."""

DAY_SECONDS = 24.0
PEAK, VALLEY = 2.8, 0.17
"""Load of a region in its hours and outside of them, to its mean."""


@dataclass(frozen=True, slots=True)
class Pattern:
    """How much is asked for in each region.

    Attributes:
        name: Its name.
        part: Called with the number of a region and the time; returns the
            part of the limit's rate that is asked for there.
    """

    name: str
    part: object


def hours(region, now):
    """Return the part in a day whose hours come one after the other."""
    phase = (now / DAY_SECONDS + region / len(REGIONS)) % 1.0
    level = PEAK if phase < 1 / len(REGIONS) else VALLEY
    return 0.55 * level / len(REGIONS)


def moving(region, now):
    """Return the part as all callers go to the next region each 6 s."""
    return 0.55 if int(now / 6) % len(REGIONS) == region else 0.0


PATTERNS = (
    Pattern("even, 0.55 of the limit", lambda region, now: 0.55 / 3),
    Pattern("hours by region, 0.55 of the limit", hours),
    Pattern(
        "all in one region, 0.55", lambda region, now: 0.55 * (not region)
    ),
    Pattern("all move each 6 s, 0.55", moving),
    Pattern("eight times the limit", lambda region, now: 8 / 3),
)


@dataclass(frozen=True, slots=True)
class Way:
    """How a limit is kept.

    Attributes:
        name: Its name.
        hosts: Hosts of a region that count beside each other.
        transfers: Whether regions hand tokens over to each other.
    """

    name: str
    hosts: int
    transfers: bool


WAYS = (
    Way("equal shares of all hosts", HOSTS, False),
    Way("equal shares of regions", 1, False),
    Way("regions with transfers", 1, True),
)


@dataclass(slots=True, eq=False)
class LimitLoad:
    """One workspace's requests under one way of keeping its limit.

    Args:
        pattern: The `Pattern`.
        way: The `Way`.
        rate: Tokens a second of the limit; its burst is one second's.
        seconds: Length.
        seed: Seed of sizes and times.
    """

    pattern: Pattern
    way: Way
    rate: float = 66_604.0
    seconds: float = 48.0
    seed: int = 1
    passed: list = field(default_factory=list)
    asked: int = 0
    served: int = 0
    on_way: deque = field(default_factory=deque)
    limit: TokenLimit = field(init=False)
    counting: list = field(init=False)

    def run(self):
        """Play it; return the part of the tokens asked for that passed."""
        rng = random.Random(self.seed)
        self.limit = TokenLimit(rate=self.rate, burst=self.rate)
        allowance = Allowance(overage=0.1, slack=110_000.0, window=8.0)
        self.counting = [
            [
                TokenLimits(
                    len(REGIONS), allowance, lambda: 1.0 / self.way.hosts
                )
                for _ in range(self.way.hosts)
            ]
            for _ in REGIONS
        ]
        mean = REVIEW_PART * REVIEW_TOKENS + (1 - REVIEW_PART) * QUOTE_TOKENS
        returning = []
        for step in range(int(self.seconds / STEP)):
            now = step * STEP
            self.deliver(now)
            if self.way.transfers and not step % STEPS_BETWEEN_TRANSFERS:
                self.ask_others(now)
            due = [one for one in returning if one[0] <= now]
            returning = [one for one in returning if one[0] > now]
            for _, region, cost in due:
                self.try_once(region, cost, now, rng)
            for region in range(len(REGIONS)):
                rate = self.pattern.part(region, now) * self.rate / mean
                for _ in range(draw_count(rng, rate * STEP)):
                    cost = draw_size(rng)
                    self.asked += cost
                    wait = self.try_once(region, cost, now, rng)
                    if wait is not NOTHING:
                        returning.append((now + wait, region, cost))
        return self.served / max(1, self.asked)

    def try_once(self, region, cost, now, rng):
        """Make one try; return the seconds to wait, or `NOTHING`."""
        counting = rng.choice(self.counting[region])
        key = (region, len(self.passed), self.asked)
        short = counting.try_take(WORKSPACE, self.limit, cost, now, key)
        if short is NOTHING:
            self.served += cost
            self.passed.append((now, cost))
            return NOTHING
        return max(LEAST_WAIT, short.seconds)

    def ask_others(self, now):
        """Let each region ask the others for tokens."""
        for asker, [limits] in enumerate(self.counting):
            limits.refill_all(lambda _: self.limit, now)
            wish = limits.tokens_to_request(WORKSPACE, self.limit, now)
            for giver in range(len(REGIONS)):
                if wish and giver != asker:
                    way = (now + ONE_WAY, self.give, giver, asker, wish, now)
                    self.on_way.append(way)

    def give(self, now, giver, asker, wish, stamp):
        """Let a region answer."""
        tokens = self.counting[giver][0].transfer_out(
            WORKSPACE, self.limit, asker, wish, now
        )
        way = (now + ONE_WAY, self.take, giver, asker, tokens, stamp)
        self.on_way.append(way)

    def take(self, now, giver, asker, tokens, stamp):
        """Let a region take what was given."""
        self.counting[asker][0].transfer_in(
            WORKSPACE, self.limit, giver, tokens, stamp, now
        )

    def deliver(self, now):
        """Hand over what has arrived."""
        while self.on_way and self.on_way[0][0] <= now:
            _, work, *details = self.on_way.popleft()
            work(now, *details)

    def most_in(self, window):
        """Return the most tokens that passed in any window of seconds."""
        most = total = first = 0
        for at, cost in self.passed:
            total += cost
            while at - self.passed[first][0] > window:
                total -= self.passed[first][1]
                first += 1
            most = max(most, total)
        return most


def draw_count(rng, mean):
    """Return how many requests come in a step, at random."""
    count, left = 0, math.exp(-mean)
    point = rng.random()
    while point > left:
        point *= rng.random()
        count += 1
    return count


def draw_size(rng):
    """Return the tokens of a request."""
    review = rng.random() < REVIEW_PART
    mean = REVIEW_TOKENS if review else QUOTE_TOKENS
    spread = REVIEW_SPREAD if review else QUOTE_SPREAD
    middle = math.log(mean) - spread**2 / 2
    return int(rng.lognormvariate(middle, spread)) + 1
