"""Engines, regions and a load on a clock of their own, without network.

The figures of an engine are those that the first users give for theirs: a
step of 5.18 ms and 0.0367 ms for each request in the batch, 49.6 prompt
tokens read in a millisecond in chunks of 1,024, 64 slots and memory for
289,720 tokens.
"""

import dataclasses
import math
import random
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from hyssopspring.core.sentinels import NOTHING
from hyssopspring.entry.coordinator import ANSWER_TIMEOUT_SECONDS
from hyssopspring.traffic.decisions import (
    Placed,
    PlacedRemotely,
    PlacementQuery,
)
from hyssopspring.traffic.pauses import StreamGaps
from hyssopspring.traffic.placing import Placer
from hyssopspring.traffic.reportedload import ReportedLoad
from hyssopspring.traffic.routes import EngineSpec, Service
from hyssopspring.traffic.serverhealth import AttemptResult
from hyssopspring.traffic.serverlimits import LimitNotice
from hyssopspring.traffic.servers import Registry, ServerEntry
from hyssopspring.traffic.work import Demand

__all__ = ["QUOTE", "REVIEW", "Kind", "Load", "Outcome", "Shape", "emulate"]

STEP = 0.00518
STEP_PER_REQUEST = 0.0000367
READ_RATE = 49_600.0
CHUNK = 1024
SLOTS = 64
MEMORY = 289_720
TICK = 0.002
SUMMARY_EVERY = 0.2
ONE_WAY = 0.08
"""Seconds between two regions."""

LONGEST_WAIT = 10.0
"""Seconds in which an answer must be whole whose caller has no deadline."""

RETURN_FRACTION = 1 / 3
"""Largest part of the time to their deadline for which callers wait before
they return."""

LONGEST_PAUSE = 0.3
"""Seconds between two events after which a stream counts as late."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """A kind of request.

    Attributes:
        name: Its name.
        rate: Requests a second over all regions.
        sizes: Tokens of the shared part, the subject's part and its own.
        choices: Number of shared parts and of subjects.
        tokens_out: Tokens of its answer.
        objective: Seconds to its first event.
        patience: Seconds after which its caller has gone.
        priority: Its rank.
        regions: Regions that may serve it; empty for all.
        spread: Standard deviation of the logarithm of its own tokens.
        longest: Most tokens of its own.
        deadline: Seconds after which its caller leaves, whole or not.
        spread_out: Standard deviation of the logarithm of its answer's
            tokens.
        longest_out: Most tokens of its answer.
        bursts: Factor of its rate, as a function of time.
        workspaces: Number of workspaces that send it.
        worth: Worth of an answer in time.
        late_worth: Worth of one that begins late, or pauses, and is whole.
        gap_objective: Longest time between two of its events in seconds; 0 if
            any is in time.
    """

    name: str
    rate: float
    sizes: tuple
    choices: tuple
    tokens_out: int
    objective: float
    patience: float
    priority: int
    regions: frozenset = frozenset()
    spread: float = 0.0
    longest: int = 10**6
    deadline: float = math.inf
    spread_out: float = 0.0
    longest_out: int = 10**6
    bursts: object = None
    workspaces: int = 0
    worth: float = 1.0
    late_worth: float = 0.0
    gap_objective: float = 0.0

    def draw_out(self, rng):
        """Return the tokens of an answer."""
        if not self.spread_out:
            return self.tokens_out
        middle = math.log(self.tokens_out) - self.spread_out**2 / 2
        tokens = int(rng.lognormvariate(middle, self.spread_out)) + 1
        return min(tokens, self.longest_out)

    def draw(self, rng):
        """Return the tokens of the parts of one prompt."""
        shared, subject, own = self.sizes
        if self.spread:
            middle = math.log(own) - self.spread**2 / 2
            own = int(rng.lognormvariate(middle, self.spread)) + 1
        return shared, subject, min(own, self.longest)


REVIEW = Kind(
    name="review",
    rate=12.6,
    sizes=(2520, 3780, 2890),
    choices=(4, 106),
    tokens_out=50,
    objective=0.8,
    patience=3.2,
    priority=1,
)
QUOTE = Kind(
    name="quote",
    rate=14.0,
    sizes=(119, 79, 628),
    choices=(20, 78),
    tokens_out=290,
    objective=0.6,
    patience=2.4,
    priority=0,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Shape:
    """Where engines stand and where requests come from.

    Attributes:
        engines: Number of engines by region.
        weights: Share of the requests by region, as a function of time.
        seconds: Length.
        kinds: Each `Kind`.
        policy: "placer", or "nearest" for the least loaded engine of the
            caller's own region.
        slots: Requests that an engine runs at once.
        memory: Tokens that its memory holds.
        copy_seconds: Seconds in which an engine copies a cached token from
            another; 0 if it cannot.
        off: Each `Mechanism` that is switched off.
        pair_seconds: Seconds of reading for each pair of a token and one
            before it.
        choice_seconds: Seconds that the host that places for a region
            needs for each question. It answers the newest first; who
            waits for longer than `ANSWER_TIMEOUT_SECONDS` decides without it.
        limits: Requests a second that engines name as their limit, by name.
        longest_pause: Seconds between two events after which a stream counts
            as late.
        returns: Whether callers that are refused return once, if they are
            told a time within a third of what is left to their deadline.
        heavy: Factor of the load of the first workspace, as a function of
            time.
        drain_seconds: Seconds after the last arrival in which answers end.
        event_tokens: Tokens of an event; 0 to record no gaps between events.
        step: Seconds of an engine's step without a prompt and a batch.
        read_rate: Prompt tokens that an engine reads in a second.
        chunk: Most prompt tokens that it reads in a step.
        gap_reports: Share of the reports of gaps that reach the placer.
        speeds: Speed of each engine of a region in turn, relative to others.
        slow_phases: `SlowPhases` of the engines, or `NOTHING`.
        reports: Whether engines report their load.
    """

    engines: dict
    weights: object
    seconds: float = 20.0
    kinds: tuple = (REVIEW, QUOTE)
    policy: str = "placer"
    slots: int = SLOTS
    memory: int = MEMORY
    copy_seconds: float = 0.0
    off: frozenset = frozenset()
    pair_seconds: float = 0.0
    choice_seconds: float = 0.0
    limits: dict = field(default_factory=dict)
    step: float = STEP
    read_rate: float = READ_RATE
    chunk: int = CHUNK
    longest_pause: float = LONGEST_PAUSE
    returns: bool = False
    heavy: object = None
    drain_seconds: float = 4.0
    event_tokens: int = 0
    gap_reports: float = 1.0
    speeds: tuple = (1.0,)
    slow_phases: object = NOTHING
    reports: bool = False


@dataclass(frozen=True, slots=True)
class SlowPhases:
    """Phases in which a server is slower, as other programs run beside it.

    Attributes:
        fraction: Part of the time in which it is slow.
        factor: Slowdown in these phases.
        seconds: Mean length of a phase.
    """

    fraction: float
    factor: float
    seconds: float


class Machine:
    """How slow a server is at the moment.

    Args:
        speed: Its permanent speed.
        phases: `SlowPhases`, or `NOTHING`.
        rng: Random number generator of its own, so that phases do not depend
            on decisions.
    """

    def __init__(self, speed, phases, rng):
        self.speed = speed
        self.phases = phases
        self.rng = rng
        self.slow = bool(phases) and rng.random() < phases.fraction
        self.changes_at = self.phase_length() if phases else math.inf

    def phase_length(self):
        """Return the seconds of the current phase."""
        mean = self.phases.seconds
        if not self.slow:
            mean *= (1.0 - self.phases.fraction) / self.phases.fraction
        return self.rng.expovariate(1.0 / mean)

    def slowdown(self, now):
        """Return the slowdown at *now* besides its permanent speed."""
        while now >= self.changes_at:
            self.slow = not self.slow
            self.changes_at += self.phase_length()
        return self.phases.factor if self.slow else 1.0


@dataclass(slots=True, eq=False)
class Load:
    """One request in the emulation.

    Attributes:
        kind: Its `Kind`.
        region: Where its caller is.
        demand: Its `Demand`.
        at: Time of its arrival.
        number: Its number.
        delay: Seconds that its events need to come back.
        urgency: Its rank at an engine.
        left_in: Tokens still to be read.
        left_out: Tokens still to be made.
        first_at: Time of its first event at its caller, or 0.
        refused: Whether it was refused.
        dropped_at: Time since when its stream stands still, or 0.
        stalled: Whether its stream has stood still for too long.
        whole_at: Time at which its caller has all of its answer, or 0.
        workspace: Name of its workspace, or an empty string.
        asked_at: Time at which its caller sent it last.
        refusals: How often it was refused.
        returned: Whether its caller has returned.
        avoided: Regions that refused it.
        last_event_at: Time of its last event at its engine.
        longest_gap: Longest time between two of its events in seconds.
        events: Number of its events.
    """

    kind: Kind
    region: str
    demand: Demand
    at: float
    number: int
    delay: float = 0.0
    urgency: int = 5
    left_in: int = 0
    left_out: int = 0
    first_at: float = 0.0
    refused: bool = False
    dropped_at: float = 0.0
    stalled: bool = False
    whole_at: float = 0.0
    workspace: str = ""
    asked_at: float = 0.0
    refusals: int = 0
    returned: bool = False
    avoided: tuple = ()
    last_event_at: float = 0.0
    longest_gap: float = 0.0
    events: int = 0

    def record_event(self, at):
        """Record an event, and the gap since the one before it."""
        if self.events:
            gap = at - self.last_event_at
            self.longest_gap = max(self.longest_gap, gap)
        self.events += 1
        self.last_event_at = at

    @property
    def gap_in_time(self):
        """Whether no gap between its events exceeded its objective."""
        objective = self.kind.gap_objective
        return not objective or self.longest_gap <= objective

    @property
    def given_up_at(self):
        """Time at which its caller leaves."""
        return self.at + self.kind.deadline

    @property
    def in_time(self):
        """Whether its events met its objective and the longest pause.

        Where callers have a deadline, the answer must be whole by then.
        """
        if not self.first_at or self.stalled or not self.gap_in_time:
            return False
        if self.kind.deadline < math.inf and not self.whole_at:
            return False
        return self.first_at - self.asked_at <= self.kind.objective

    @property
    def worth(self):
        """What its answer is worth to its caller."""
        if self.in_time:
            return self.kind.worth
        return self.kind.late_worth if self.whole_at else 0.0


@dataclass(slots=True, eq=False)
class Outcome:
    """What became of a load.

    Attributes:
        loads: Each `Load`.
        tokens_read: Prompt tokens that the engines read.
        tokens_shared_again: Tokens of shared parts among them that an
            engine had read before.
    """

    loads: list = field(default_factory=list)
    tokens_read: int = 0
    tokens_shared_again: int = 0
    known_parts: set = field(default_factory=set)

    def share(self, kind="", region=""):
        """Return the share of requests that were in time."""
        chosen = [
            one
            for one in self.loads
            if kind in ("", one.kind.name) and region in ("", one.region)
        ]
        return sum(one.in_time for one in chosen) / max(1, len(chosen))

    def refused(self):
        """Return the share of requests that were refused."""
        count = sum(one.refused for one in self.loads)
        return count / max(1, len(self.loads))

    def worth(self):
        """Return the worth of all answers, as a share of the possible."""
        most = sum(one.kind.worth for one in self.loads)
        return sum(one.worth for one in self.loads) / max(1.0, most)

    def refused_twice(self):
        """Return how many callers returned and were refused again."""
        return sum(one.refusals > 1 for one in self.loads)

    def served(self, chosen=lambda load: True):
        """Return the share of the chosen requests that got all of it."""
        loads = [one for one in self.loads if chosen(one)]
        return sum(one.whole_at > 0 for one in loads) / max(1, len(loads))


class Engine:
    """One engine: reads prompts in chunks between steps of its batch."""

    def __init__(self, name, outcome, shape, machine):
        self.machine = machine
        self.name = name
        self.outcome = outcome
        self.shape = shape
        self.waiting = []
        self.reading = None
        self.running = []
        self.cached = OrderedDict()
        self.due = 0.0
        self.step_began = 0.0
        self.started = []
        self.ended = []
        self.arrived = []

    def add(self, load, now=0.0):
        """Take a request."""
        self.arrived.append(now)
        self.waiting.append(load)
        self.waiting.sort(key=lambda one: (one.urgency, one.number))

    def advance(self, now):
        """Make the steps that are due."""
        while self.due <= now:
            self.step_began = max(self.due, now - TICK)
            self.due = self.step_began + self.step(now)

    def step(self, now):
        """Make one step; return its seconds."""
        slowness = self.machine.slowdown(now) / self.machine.speed
        seconds = self.shape.step + STEP_PER_REQUEST * len(self.running)
        size = self.shape.event_tokens
        for load in self.running:
            load.left_out -= 1
            made = load.demand.tokens_out - load.left_out
            if size and (made % size == 0 or load.left_out == 0):
                load.record_event(self.step_began)
        done = [
            one
            for one in self.running
            if one.left_out <= 0 or now >= one.given_up_at
        ]
        for load in done:
            self.running.remove(load)
            self.ended.append(load)
        return (seconds + self.read(now)) * slowness

    def load(self, now):
        """Return the `ReportedLoad` of the engine."""
        return ReportedLoad(
            len(self.running),
            len(self.waiting),
            self.shape.slots,
            self.machine.slowdown(now),
        )

    def read(self, now):
        """Read one chunk of a waiting prompt; return the seconds."""
        self.waiting = [
            one
            for one in self.waiting
            if one.dropped_at or now - one.asked_at <= one.kind.patience
        ]
        load = self.next_prompt(now)
        if load is None:
            return 0.0
        chunk = min(self.shape.chunk, load.left_in)
        load.left_in -= chunk
        self.outcome.tokens_read += chunk
        if load.left_in <= 0:
            self.reading = None
            self.waiting.remove(load)
            self.running.append(load)
            self.begin(load, now)
            self.remember(load)
        before = load.demand.tokens_in - load.left_in - chunk / 2
        pairs = chunk * before
        return chunk / self.shape.read_rate + pairs * self.shape.pair_seconds

    def next_prompt(self, now):
        """Return the prompt that is read now, or None.

        One that is begun is read to its end; else it is the most urgent
        one, if there is a slot and memory for it.
        """
        if self.reading in self.waiting:
            return self.reading
        if not self.waiting:
            return None
        load = self.waiting[0]
        full = len(self.running) >= self.shape.slots
        if full and not self.drop_one(load, now):
            return None
        if self.used() + load.demand.tokens_in > self.shape.memory:
            return None
        if load.left_in < 0:
            load.left_in = self.uncached(load)
        self.reading = load
        return load

    def used(self):
        """Return the tokens of memory that running requests take."""
        return sum(one.demand.tokens_in for one in self.running)

    def begin(self, load, now):
        """Note the first event, or the end of a pause."""
        if not load.dropped_at:
            self.started.append(load)
            if self.shape.event_tokens:
                load.record_event(self.step_began)
        elif now - load.dropped_at > self.shape.longest_pause:
            load.stalled = True

    def drop_one(self, load, now):
        """Put the newest of the least urgent back for a more urgent one.

        Returns:
            Whether there was one to put back.
        """
        last = max(self.running, key=lambda one: (one.urgency, one.number))
        if last.urgency <= load.urgency:
            return False
        self.running.remove(last)
        last.dropped_at = now
        last.left_in = -1
        self.add(last)
        return True

    def copy(self, load, other):
        """Copy what *other* has cached of a prompt, at no time."""
        for part, tokens in load.demand.parts:
            if part not in other.cached:
                return
            self.cached[part] = tokens
            self.cached.move_to_end(part)

    def uncached(self, load):
        """Return the tokens to read, and count those read again."""
        known = 0
        for part, tokens in load.demand.parts:
            if part not in self.cached:
                break
            known += tokens
        for part, tokens in load.demand.parts[:2]:
            if part not in self.cached:
                if part in self.outcome.known_parts:
                    self.outcome.tokens_shared_again += tokens
                self.outcome.known_parts.add(part)
        return max(1, load.demand.tokens_in - known)

    def remember(self, load):
        """Keep the prompt's parts; the least recently used go."""
        for part, tokens in load.demand.parts:
            self.cached[part] = tokens
            self.cached.move_to_end(part)
        while sum(self.cached.values()) > self.shape.memory - self.used():
            self.cached.popitem(last=False)


def emulate(shape, seed=1):
    """Play *shape* and return the `Outcome`."""
    return Emulation(shape, seed).run()


class Emulation:
    """Regions with a placer each, engines, and requests."""

    def __init__(self, shape, seed):
        self.shape = shape
        self.seed = seed
        self.rng = rng = random.Random(seed)
        self.outcome = Outcome()
        service = Service(
            name="engine",
            engine=EngineSpec(
                slots=shape.slots,
                memory_tokens=shape.memory,
                copy_seconds=shape.copy_seconds,
            ),
        )
        self.registry = Registry({name: name for name in shape.engines})
        self.engines = {}
        self.by_region = {}
        for region, count in shape.engines.items():
            names = [f"{region}-{n}" for n in range(count)]
            self.by_region[region] = names
            for place, name in enumerate(names):
                self.engines[name] = self.make_engine(name, place)
                self.registry.put(
                    ServerEntry(
                        id=name,
                        service="engine",
                        address=name,
                        data_centre=region,
                    ),
                    0.0,
                )
        self.placers = {
            region: Placer(
                region,
                self.registry,
                lambda name: service,
                lambda one: 6.0,
                random.Random(1) if shape.returns else rng,
                lambda now: set(shape.engines),
                disabled=shape.off,
            )
            for region in shape.engines
        }
        self.name_limits()
        self.moving = []
        self.asked = {region: deque() for region in shape.engines}
        self.busy_until = dict.fromkeys(shape.engines, 0.0)
        self.telling = []
        self.summary_due = 0.0
        self.at_engine = {}
        self.returning = []

    def make_engine(self, name, place=0):
        """Return the engine of *name*, the one at *place* in its region."""
        shape = self.shape
        machine = Machine(
            shape.speeds[place % len(shape.speeds)],
            shape.slow_phases,
            random.Random(f"{name} {self.seed}"),
        )
        return Engine(name, self.outcome, shape, machine)

    def name_limits(self):
        """Let the placer of its region hear each limit."""
        for name, limit in self.shape.limits.items():
            region = self.registry.servers[name].region
            notice = LimitNotice(
                server_id=name, instance_id=name, limit=limit, at=0.0
            )
            self.placers[region].limits.apply_notice(notice, 0.0)

    def run(self):
        """Play to the end."""
        now = 0.0
        while now < self.shape.seconds + self.shape.drain_seconds:
            now += TICK
            if now >= self.summary_due:
                self.summary_due = now + SUMMARY_EVERY
                self.summarize(now)
            self.hear(now)
            self.come_back(now)
            if now < self.shape.seconds:
                self.arrive(now)
            self.answer(now)
            self.deliver(now)
            for engine in self.engines.values():
                engine.advance(now)
                self.tell(engine, now)
        return self.outcome

    def arrive(self, now):
        """Let the requests of one tick arrive."""
        weights = self.shape.weights(now)
        total = sum(weights.values())
        for kind in self.shape.kinds:
            burst = kind.bursts(now) if kind.bursts else 1.0
            expected = kind.rate * TICK * total * burst
            if kind.workspaces and self.shape.heavy:
                factor = self.shape.heavy(now) - 1.0
                expected *= 1.0 + factor / kind.workspaces
            count = int(expected) + (self.rng.random() < expected % 1.0)
            for _ in range(count):
                region = self.rng.choices(
                    list(weights), list(weights.values())
                )[0]
                self.ask(self.make(kind, region, now), region, now)

    def make(self, kind, region, now):
        """Return a new request."""
        number = len(self.outcome.loads)
        shared = f"{kind.name}-{self.rng.randrange(kind.choices[0])}"
        subject = f"{shared}-{self.rng.randrange(kind.choices[1])}"
        names = (shared, subject, f"own-{number}")
        sizes = kind.draw(self.rng)
        tokens_out = kind.draw_out(self.rng)
        load = Load(
            kind=kind,
            region=region,
            demand=Demand(
                parts=tuple(zip(names, sizes, strict=True)),
                tokens_in=sum(sizes),
                tokens_out=tokens_out,
                answer_within=min(LONGEST_WAIT, kind.deadline),
            ),
            at=now,
            number=number,
            left_in=-1,
            left_out=tokens_out,
            workspace=self.draw_workspace(kind, now),
            asked_at=now,
        )
        self.outcome.loads.append(load)
        return load

    def draw_workspace(self, kind, now):
        """Return the workspace of a new request, or an empty string."""
        if not kind.workspaces:
            return ""
        heavy = self.shape.heavy(now) if self.shape.heavy else 1.0
        point = self.rng.random() * (kind.workspaces - 1 + heavy)
        return f"w{max(0, int(point - heavy) + 1) if point > heavy else 0}"

    def refuse(self, load, refused, region, now):
        """Note a refusal; its caller may return to its own region.

        What another region refuses is placed at home once more first.
        """
        if self.shape.returns and region != load.region:
            load.delay, load.avoided = 0.0, (region,)
            self.moving.append((now + ONE_WAY, load, load.region))
            return
        load.refused = True
        load.refusals += 1
        left = load.given_up_at - now
        if (
            self.shape.returns
            and not load.returned
            and refused.retry_after <= left * RETURN_FRACTION
        ):
            self.returning.append((now + refused.retry_after, load))

    def come_back(self, now):
        """Let the callers return whose time has come."""
        due = [load for at, load in self.returning if at <= now]
        self.returning = [row for row in self.returning if row[0] > now]
        for load in due:
            load.returned, load.refused = True, False
            load.asked_at, load.delay, load.avoided = now, 0.0, ()
            self.ask(load, load.region, now)

    def ask(self, load, region, now, *, may_leave=True):
        """Ask the host that places for *region*, or do without it."""
        if not self.shape.choice_seconds:
            self.place(load, region, now, may_leave=may_leave)
            return
        self.asked[region].append((now, load, may_leave))

    def answer(self, now):
        """Let the placing hosts answer; who waits too long does without."""
        for region, asked in self.asked.items():
            while asked and now - asked[0][0] > ANSWER_TIMEOUT_SECONDS:
                _, load, _ = asked.popleft()
                name = self.rng.choice(self.by_region[region])
                self.engines[name].add(load)
            while asked and self.busy_until[region] <= now:
                _, load, may_leave = asked.pop()
                begun = max(self.busy_until[region], now - TICK)
                self.busy_until[region] = begun + self.shape.choice_seconds
                self.place(load, region, now, may_leave=may_leave)

    def place(self, load, region, now, *, may_leave=True):
        """Have a request placed in *region*."""
        if self.shape.policy == "nearest":
            self.send_nearest(load, region)
            return
        waited = now - load.asked_at
        ask = PlacementQuery(
            host="h",
            number=load.number,
            service="engine",
            demand=load.demand,
            time_left=max(0.0, load.kind.objective - waited - load.delay),
            patience=max(0.0, load.kind.patience * 0.85 - waited),
            priority=load.kind.priority,
            regions=load.kind.regions,
            may_leave=may_leave,
            workspace=load.workspace,
            request=load.number + 1 if self.shape.returns else 0,
            avoided=load.avoided,
            caller_time_left=(
                load.given_up_at - now if self.shape.returns else 0.0
            ),
            gap_objective=load.kind.gap_objective,
        )
        if region != load.region:
            ask = dataclasses.replace(ask, request=0)
        decision = self.placers[region].place(ask, now)
        if isinstance(decision, Placed):
            load.urgency = decision.urgency
            self.at_engine[load.number] = region, now
            engine = self.engines[decision.server_id]
            if decision.copy_from:
                engine.copy(load, self.engines[decision.copy_from])
            engine.add(load, now)
        elif isinstance(decision, PlacedRemotely):
            load.delay = ONE_WAY
            self.moving.append((now + ONE_WAY, load, decision.region))
        else:
            self.refuse(load, decision, region, now)

    def send_nearest(self, load, region):
        """Send a request to the least loaded engine of its region."""
        engines = [self.engines[name] for name in self.by_region[region]]
        chosen = min(
            engines, key=lambda one: len(one.waiting) + len(one.running)
        )
        chosen.add(load)

    def deliver(self, now):
        """Hand requests over that have reached another region."""
        arrived = [row for row in self.moving if row[0] <= now]
        self.moving = [row for row in self.moving if row[0] > now]
        for _, load, region in arrived:
            self.ask(load, region, now, may_leave=False)

    def tell(self, engine, now):
        """Tell the placers what an engine has begun and ended."""
        for load in engine.started:
            load.first_at = now + load.delay
            if load.number in self.at_engine:
                region, sent = self.at_engine[load.number]
                if self.shape.reports:
                    self.placers[region].record_placement_load(
                        "h", load.number, engine.load(now), now - sent, now
                    )
                self.placers[region].record_response_start(
                    "h", load.number, now - sent, now
                )
        for load in engine.ended:
            if load.left_out <= 0:
                load.whole_at = now + load.delay
            if load.number in self.at_engine:
                region, _ = self.at_engine.pop(load.number)
                whole = load.left_out <= 0
                result = (
                    AttemptResult.ANSWERED
                    if whole
                    else AttemptResult.CANCELLED
                )
                self.placers[region].record_attempt_end(
                    "h",
                    load.number,
                    engine.name,
                    result,
                    now,
                    gaps=self.reported_gaps(load),
                )
        engine.started.clear()
        engine.ended.clear()

    def reported_gaps(self, load):
        """Return the `StreamGaps` that reach the placer, or `NOTHING`."""
        if load.number % 100 >= self.shape.gap_reports * 100:
            return NOTHING
        return StreamGaps(load.events, load.longest_gap)

    def summarize(self, now):
        """Let each region tell the others its load, which takes a while."""
        self.telling += [
            (now + ONE_WAY, region, placer.summarize(now))
            for region, placer in self.placers.items()
        ]

    def hear(self, now):
        """Let the regions hear what has reached them."""
        heard = [row for row in self.telling if row[0] <= now]
        self.telling = [row for row in self.telling if row[0] > now]
        for _, region, loads in heard:
            for other, placer in self.placers.items():
                if other != region:
                    placer.apply_load_report(region, dict(loads), now)
