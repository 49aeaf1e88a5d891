"""A load with requests under which each engine ends, emulated.

They are one request that comes again, or requests of which no two are alike
and which have a part of their prompts in common. An engine ends 0.08 s after
it has begun to run such a request, with all that runs and waits there, and
another starts four seconds later. Hosts send what was cut to another engine
once, and callers come back once. Such requests come every few seconds,
sometimes to several regions at once.
"""

from dataclasses import dataclass, field, replace

from hyssopspring.core.sentinels import NOTHING
from hyssopspring.traffic.crashes import CrashTracker, may_be_cause
from hyssopspring.traffic.crashverdicts import Assessment, Verdict
from hyssopspring.traffic.decisions import (
    Placed,
    PlacedRemotely,
    PlacementQuery,
)
from hyssopspring.traffic.partruns import PartRuns
from hyssopspring.traffic.promptparts import shared_parts
from hyssopspring.traffic.serverhealth import AttemptResult
from hyssopspring.traffic.servers import ServerEntry
from hyssopspring.traffic.suspects import ServerCrash, Suspect, part_key

from .emulation import ONE_WAY, Emulation

__all__ = ["CrashEmulation", "Repeats"]

ENDS_AFTER = 0.08
"""Seconds from when an engine begins the request to the engine's end; 0.05
to 0.1 in the incident that this load is made after."""

BACK_AFTER = 4.0
"""Seconds from the end of an engine to the start of another; 3 to 4 in that
incident."""

BOUND_AFTER = 6.0
"""Seconds after the third end from which on each send counts."""

JUDGED_EVERY = 0.5
"""Seconds between two looks for what is to be blocked, as hosts have it."""

BAD_PART_TOKENS = 40
"""Tokens of a part under which engines end."""

RETRY_PAUSE = 0.06
"""Seconds after which a caller comes back whose stream was cut."""

MOST_RUNS = 2
"""Engines that a host sends one try of a caller to."""

MOST_TRIES = 2
"""Tries of a caller: it comes back once."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Repeats:
    """How the request comes again.

    Attributes:
        every: Mean seconds between two times at which it comes.
        at_once: Most repeats at one time.
        kind: Its `Kind`.
        requests: How many such requests there are.
        remembered: Whether hosts remember under what engines ended.
        part: Part of prompts that each new such request has, or "" if the
            requests themselves come again.
    """

    every: float
    at_once: int
    kind: object
    requests: int = 1
    remembered: bool = True
    part: str = ""


@dataclass(slots=True, eq=False)
class Trial:
    """What became of one request, over all its tries.

    Attributes:
        name: Its fingerprint.
        load: The `Load`.
        caller: Address that it comes from.
        cause: What makes engines end under it, or "" for a sound one.
        runs: Servers that it was sent to in this try of its caller.
        tries: Tries of its caller.
        sent_at: Time at which it was last sent.
        predicted: Seconds in which it was to begin there.
        begun_at: Time at which it began there, or `NOTHING`.
        isolated: Whether it runs isolated from other suspects.
    """

    name: str
    load: object
    caller: str = "c"
    cause: str = ""
    runs: int = 0
    tries: int = 1
    sent_at: float = 0.0
    predicted: float = 0.0
    begun_at: object = NOTHING
    isolated: bool = False

    @property
    def bad(self):
        """Whether engines end under it."""
        return bool(self.cause)

    @property
    def callers(self):
        """The caller for each key of the request."""
        keys = map(part_key, shared_parts(self.load.demand.parts))
        return {self.name: self.caller, **dict.fromkeys(keys, self.caller)}


@dataclass(slots=True, eq=False)
class Tally:
    """What is counted.

    Attributes:
        ends: Times at which engines ended, by cause.
        sent: Times at which requests were sent to an engine, by cause.
        refused: Causes, and fingerprints of sound requests, that were
            refused as blocked.
        last_end: Number of the end from which on the bound counts.
    """

    ends: dict = field(default_factory=dict)
    sent: dict = field(default_factory=dict)
    refused: set = field(default_factory=set)
    last_end: int = 3

    @property
    def ended(self):
        """Most engines that have ended by one cause."""
        return max(map(len, self.ends.values()), default=0)

    @property
    def sent_late(self):
        """Most sends by one cause later than the bound allows."""
        return max(map(self.late, self.ends), default=0)

    @property
    def refused_others(self):
        """Requests refused as blocked that end no engine."""
        return self.refused - self.ends.keys()

    def late(self, name):
        """Return the sends by one cause later than the bound allows."""
        ends = self.ends[name]
        if len(ends) < self.last_end:
            return 0
        bound = ends[self.last_end - 1] + BOUND_AFTER
        return sum(at > bound for at in self.sent[name])


class CrashEmulation(Emulation):
    """An emulation with such a request.

    Args:
        shape: The `Shape`.
        seed: Seed of its random numbers.
        repeats: The `Repeats`.
    """

    def __init__(self, shape, seed, repeats):
        super().__init__(shape, seed)
        self.repeats = repeats
        self.tally = Tally(last_end=5 if repeats.part else 3)
        self.crashes = {region: CrashTracker() for region in shape.engines}
        self.part_runs = {region: PartRuns() for region in shape.engines}
        self.trials = {}
        self.by_load = {}
        self.news = []
        self.ending = {}
        self.starting = []
        self.again = []
        self.numbers = 10**6
        self.bad_due = 1.0
        self.judge_due = 0.0
        self.started = 0

    def arrive(self, now):
        """Let the requests of one tick arrive, the bad one among them."""
        super().arrive(now)
        self.judge(now)
        self.start_engines(now)
        self.end_engines(now)
        self.come_again(now)
        if now >= self.bad_due:
            self.bad_due = now + self.rng.expovariate(1 / self.repeats.every)
            for _ in range(self.rng.randint(1, self.repeats.at_once)):
                region = self.rng.choice(list(self.shape.engines))
                load = self.make(self.repeats.kind, region, now)
                self.by_load[load] = self.make_bad(load, region)
                self.outcome.loads.remove(load)
                load.number = self.next_number()
                self.ask(load, region, now)

    def make_bad(self, load, region):
        """Return the `Trial` of a request under which engines end."""
        part = self.repeats.part
        if not part:
            name = f"bad {self.rng.randrange(self.repeats.requests)}"
            return Trial(name, load, caller=region, cause=name)
        first, *rest = load.demand.parts
        parts = (first, (part, BAD_PART_TOKENS), *rest)
        load.demand = replace(load.demand, parts=parts)
        name = f"bad {self.next_number()}"
        return Trial(name, load, caller=region, cause=part)

    def next_number(self):
        """Return a number that no request has."""
        self.numbers += 1
        return self.numbers

    def trial_of(self, load):
        """Return the `Trial` of a load."""
        if load not in self.by_load:
            self.by_load[load] = Trial(f"load {load.number}", load)
        return self.by_load[load]

    def place(self, load, region, now, *, may_leave=True):
        """Have a request placed, unless engines end under it."""
        trial = self.trial_of(load)
        found = Assessment(Verdict.ALLOWED)
        if self.repeats.remembered:
            found = self.crashes[region].causes.assess(trial.callers, now)
        if found.verdict in (Verdict.BLOCKED, Verdict.DEFERRED):
            if found.verdict is Verdict.BLOCKED:
                self.tally.refused.add(trial.cause or trial.name)
            load.refused = True
            return
        trial.isolated = found.verdict is Verdict.ISOLATED
        waited = now - load.at
        ask = PlacementQuery(
            host="h",
            number=load.number,
            service="engine",
            demand=load.demand,
            time_left=max(0.0, load.kind.objective - waited - load.delay),
            patience=max(0.0, load.kind.patience * 0.85 - waited),
            priority=load.kind.priority,
            may_leave=may_leave,
            begun=bool(load.first_at),
            apart=found.key if trial.isolated else "",
        )
        decision = self.placers[region].place(ask, now)
        if isinstance(decision, PlacedRemotely):
            load.delay = ONE_WAY
            self.moving.append((now + ONE_WAY, load, decision.region))
        elif isinstance(decision, Placed):
            self.send(trial, region, decision, now)
        else:
            load.refused = True

    def send(self, trial, region, placed, now):
        """Send a request to an engine."""
        load = trial.load
        load.urgency = placed.urgency
        trial.runs += 1
        trial.sent_at = now
        trial.predicted = placed.predicted
        trial.begun_at = NOTHING
        self.at_engine[load.number] = region, now
        self.engines[placed.server_id].add(load)
        if trial.bad:
            self.tally.sent.setdefault(trial.cause, []).append(now)

    def tell(self, engine, now):
        """Note what an engine has begun, and whether it is to end."""
        for load in engine.started:
            trial = self.trial_of(load)
            trial.begun_at = now
            if trial.bad and engine.name not in self.ending:
                self.ending[engine.name] = now + ENDS_AFTER
        for load in engine.ended:
            region, _ = self.at_engine.get(load.number, ("", 0))
            if region and load.left_out <= 0:
                self.record_run(self.trial_of(load), region, now)
        super().tell(engine, now)

    def record_run(self, trial, region, now):
        """Record in one region that a request ran well."""
        callers = trial.callers
        for key, caller in callers.items():
            self.crashes[region].record_success(key, caller, now)
        del callers[trial.name]
        self.part_runs[region].record(callers, now)

    def end_engines(self, now):
        """Let the engines end that are to end by now."""
        for name in [one for one, at in self.ending.items() if at <= now]:
            del self.ending[name]
            if name in self.engines:
                self.end_engine(self.engines.pop(name), now)

    def end_engine(self, engine, now):
        """Let one engine end, with all that it has."""
        region = self.registry.servers[engine.name].region
        self.by_region[region].remove(engine.name)
        self.starting.append((now + BACK_AFTER, region))
        lost = [*engine.running, *engine.waiting]
        for cause in {self.trial_of(load).cause for load in lost} - {""}:
            self.tally.ends.setdefault(cause, []).append(now)
        for load in lost:
            self.lose(load, engine.name, region, now)
        self.registry.remove(engine.name, now, outage=False)
        for placer in self.placers.values():
            placer.forget_server(engine.name, now)

    def lose(self, load, name, region, now):
        """Take account of a request whose engine has ended."""
        trial = self.trial_of(load)
        begun = NOTHING
        if trial.begun_at is not NOTHING and not trial.bad:
            begun = now - trial.begun_at
        early = may_be_cause(
            attempt_age=now - trial.sent_at,
            predicted=trial.predicted,
            head_received=trial.begun_at is not NOTHING,
            response_age=begun,
        )
        if early:
            end = ServerCrash(
                name, now, region, trial.caller, isolated=trial.isolated
            )
            for key in trial.callers:
                self.note_end(key, end, region, now)
        self.at_engine.pop(load.number, None)
        self.placers[region].record_attempt_end(
            "h", load.number, name, AttemptResult.ERROR, now
        )
        self.send_again(trial, now)

    def note_end(self, key, end, region, now):
        """Note an end here, and let the other regions hear of it."""
        self.crashes[region].record_crash(key, end, now)
        at = self.apply_earlier_run(key, region, now)
        told = Suspect(key, {end.server: end}, cleared_at=at)
        self.news.append((now + ONE_WAY, region, told))

    def apply_earlier_run(self, key, region, now):
        """Apply a run that a region knows; return its time or `NOTHING`."""
        at = self.part_runs[region].last_run(key, now)
        if at is not NOTHING:
            self.crashes[region].record_earlier_run(key, at)
        return at

    def send_again(self, trial, now):
        """Let the host send a request on, or its caller come back."""
        pause = 0.0
        if trial.runs >= MOST_RUNS:
            if trial.tries >= MOST_TRIES:
                return
            trial.tries += 1
            trial.runs = 0
            pause = RETRY_PAUSE
        self.again.append((now + pause, trial))

    def come_again(self, now):
        """Place what is to be sent again by now."""
        due = [row for row in self.again if row[0] <= now]
        self.again = [row for row in self.again if row[0] > now]
        for _, trial in due:
            trial.load.left_in = -1
            trial.load.number = self.next_number()
            self.ask(trial.load, trial.load.region, now)

    def start_engines(self, now):
        """Start the engines that are back by now."""
        due = [row for row in self.starting if row[0] <= now]
        self.starting = [row for row in self.starting if row[0] > now]
        for _, region in due:
            self.started += 1
            name = f"{region}-again-{self.started}"
            self.engines[name] = self.make_engine(name)
            self.engines[name].due = now
            self.by_region[region].append(name)
            self.registry.put(
                ServerEntry(
                    id=name,
                    service="engine",
                    address=name,
                    data_centre=region,
                ),
                now,
            )

    def judge(self, now):
        """Hear other regions, and block what is found to be the cause."""
        heard = [row for row in self.news if row[0] <= now]
        self.news = [row for row in self.news if row[0] > now]
        for _, region, told in heard:
            for other in self.crashes.keys() - {region}:
                self.crashes[other].merge(told, now)
                self.apply_earlier_run(told.key, other, now)
        if now >= self.judge_due:
            self.judge_due = now + JUDGED_EVERY
            for crashes in self.crashes.values():
                crashes.block_causes(now)
