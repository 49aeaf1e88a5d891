"""Policies of placement, side by side under load and faults.

The product's plan runs on a test clock against the stand-in engine's
model of batching, prompt cache and late reports; the baselines choose
from the same knowledge. A scenario is a list of engines, a delay for
each pair of regions and timed switches of the stand-ins.
Usage: ``python benchmarks/policy.py [--seconds N] [--plot FILE]``.
"""

import math
import random
import statistics
from dataclasses import dataclass, field

import click
from twisted.internet.task import Clock

from hyssopspring.core.budgets import RetryBudget
from hyssopspring.core.configuration import (
    Configuration,
    Offer,
    Region,
    Weights,
    Workspace,
)
from hyssopspring.core.hashing import hash_bytes, short_id
from hyssopspring.core.outcomes import Answered, NotRun, Reason, Unknown
from hyssopspring.core.placement import CentreSummary, CentreTable
from hyssopspring.core.plans import Finish, Forward, Plan
from hyssopspring.core.requests import Priority, Request, Target, TargetKind
from hyssopspring.core.sentinels import NOTHING
from hyssopspring.core.servers import LoadReport, ServerEntry, ServerTable
from hyssopspring_fakes.engine import EngineModel, FakeEngine, Job

REGIONS = {"dar": 10, "arusha": 3, "mwanza": 1}
PHASES = {"dar": 0.0, "arusha": 2.1, "mwanza": 4.2}
ROUND_TRIP = 0.06
SLOTS = 4
PREFIX = 4000
QUICK_TOKENS = 24
BATCH_TOKENS = 60
QUICK_DEADLINE = 5.0
BATCH_DEADLINE = 600.0
CONNECT_TIMEOUT = 0.5
UTILISATION = 0.55
QUICK_SECONDS = 0.45
BOUND_TO_HOME = 0.18
BATCH_SHARE = 0.08
TEMPLATES = 40
ANSWERED = Answered(200)
MODEL = Target(TargetKind.MODEL, "m")
POLICIES = {}


def policy(name):
    """Register a baseline: it orders (region, server) pairs to try."""

    def register(choose):
        POLICIES[name] = choose
        return choose

    return register


class SimEngine(FakeEngine):
    """The stand-in engine without sockets."""

    def submit(self, identifier, body, priority, first, done):
        """Take a request; call *first* and *done* as it goes on."""
        job = Job(
            id=identifier,
            request=None,
            body=body,
            wanted=body["max_tokens"],
            chat=False,
            priority=priority,
        )
        job.first, job.ended = first, done
        self.admit(job)
        return job

    def send(self, job):
        """Tell of the first token."""
        if job.made == 1:
            job.first()

    def finish(self, job):
        """Tell of the end."""
        job.ended()


@dataclass
class Asked:
    """One request of a run, and what became of it."""

    at: float
    home: str
    quick: bool
    first: float = math.inf
    served: str = ""
    attempts: int = 0
    done: bool = False


@dataclass
class World:
    """All engines, and what each region's host knows."""

    seed: int
    policy: str
    clock: Clock = field(default_factory=Clock)
    engines: dict = field(default_factory=dict)
    tables: dict = field(default_factory=dict)
    centres: dict = field(default_factory=dict)
    cut: set = field(default_factory=set)
    asked: list = field(default_factory=list)
    reports: int = 0
    platform_down: bool = False
    rate_factor: float = 1.0
    storm: bool = False

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        self.budgets = {region: RetryBudget() for region in REGIONS}
        self.in_flight = {}
        self.configuration = Configuration(
            regions={
                region: Region(
                    round_trip_ms={
                        other: ROUND_TRIP * 1000
                        for other in REGIONS
                        if other != region
                    }
                )
                for region in REGIONS
            },
            workspaces={
                f"w-{region}": Workspace(home=region, weights=Weights())
                for region in REGIONS
            },
            models={"m": Offer()},
        )
        for region, count in REGIONS.items():
            self.add_region(region, count)
        self.repeat(1.0, self.report_loads)

    def add_region(self, region, count):
        """Add the engines of one region and its host's tables."""
        entries = []
        for number in range(count):
            name = f"{region}-{number}"
            model = EngineModel(
                slots=SLOTS,
                prefill=0.08,
                decode=0.01,
                cached=12,
                prefix=PREFIX,
            )
            self.engines[name] = SimEngine(self.clock, name, model)
            entries.append(
                ServerEntry(
                    name=name,
                    address=name,
                    region=region,
                    data_centre=region,
                    targets=frozenset({MODEL}),
                )
            )
        self.tables[region] = ServerTable(region)
        self.tables[region].replace(entries)
        self.centres[region] = CentreTable(region)

    def repeat(self, every, call):
        """Call *call* every so many seconds."""

        def again():
            call()
            self.clock.callLater(every, again)

        self.clock.callLater(0, again)

    def reaches(self, one, other):
        """Whether two regions reach each other."""
        return one == other or not self.cut & {one, other}

    def report_loads(self):
        """Let engines report, and regions tell each other."""
        now = self.clock.seconds()
        for name, engine in self.engines.items():
            region = name.rsplit("-", 1)[0]
            self.apply_report(region, name, engine.report(), now)
        for region, table in self.tables.items():
            targets = dict(table.summarize(now))
            for other, centres in self.centres.items():
                if other == region or not self.reaches(region, other):
                    continue
                centres.apply_summary(
                    CentreSummary(
                        region=region,
                        data_centre=region,
                        gateways=(region,),
                        targets=targets,
                        listeners=len(REGIONS) - 1,
                        at=now,
                    )
                )

    def apply_report(self, region, name, report, now):
        """Note one engine's load report at its region's host."""
        self.tables[region].apply_report(
            name,
            LoadReport(
                incarnation=short_id(report["incarnation"]),
                sequence=report["sequence"],
                running=report["running"],
                waiting=report["waiting"],
                slots=report["slots"],
                leaving=False,
                at=now,
            ),
        )

    def traffic(self, seconds):
        """Schedule the arrivals of *seconds*."""
        slots = {region: count * SLOTS for region, count in REGIONS.items()}
        even = sum(slots.values()) * UTILISATION / QUICK_SECONDS
        for region in REGIONS:
            share = 0.25 + 0.25 * slots[region] / sum(slots.values()) * 3
            self.arrive(region, even * share / 1.5, seconds)

    def arrive(self, region, rate, seconds):
        """Schedule the next arrival of a region."""
        now = self.clock.seconds()
        if now >= seconds:
            return
        peak = 1 + 0.5 * math.sin(PHASES[region] + now / seconds * 6.28)
        pause = self.rng.expovariate(rate * peak * self.rate_factor)
        self.clock.callLater(pause, self.arrived, region, rate, seconds)

    def arrived(self, region, rate, seconds):
        """Send one request and schedule the next."""
        self.arrive(region, rate, seconds)
        quick = self.rng.random() >= BATCH_SHARE
        template = int(self.rng.paretovariate(1.2)) % TEMPLATES
        start = f"{region}{template}".ljust(PREFIX, "x")
        more = (
            300 if quick else min(30_000, 3000 * self.rng.paretovariate(1.5))
        )
        body = {
            "prompt": start + "y" * int(more),
            "stream": True,
            "max_tokens": QUICK_TOKENS if quick else BATCH_TOKENS,
        }
        asked = Asked(self.clock.seconds(), region, quick)
        self.asked.append(asked)
        Attempts(self, asked, body, self.make_request(asked, body)).next()

    def make_request(self, asked, body):
        """Return the `Request` of one arrival."""
        bound = self.rng.random() < BOUND_TO_HOME
        regions = {asked.home} if bound else set(REGIONS)
        deadline = QUICK_DEADLINE if asked.quick else BATCH_DEADLINE
        return Request(
            id=f"r{len(self.asked)}",
            workspace=f"w-{asked.home}",
            target=MODEL,
            residency=frozenset(regions),
            home=asked.home,
            deadline=self.clock.seconds() + deadline,
            priority=Priority.INTERACTIVE if asked.quick else Priority.BATCH,
            prefix=hash_bytes(body["prompt"][:256].encode()),
        )

    def make_plan(self, request, region):
        """Return the product's plan for a request at a region's host."""
        return Plan(
            request,
            configuration=self.configuration,
            table=self.tables[region],
            centres=self.centres[region],
            budget=self.budgets[region],
            rng=self.rng,
        )


class Attempts:
    """Carry out one request by the policy of the run."""

    def __init__(self, world, asked, body, request):
        self.world = world
        self.asked = asked
        self.body = body
        self.request = request
        self.plan = NOTHING
        self.queue = NOTHING
        if world.policy == "hyssopspring":
            self.plan = world.make_plan(request, asked.home)

    def next(self):
        """Make the next attempt, or give up."""
        now = self.world.clock.seconds()
        if self.plan is not NOTHING:
            step = self.plan.next(now)
            if isinstance(step, Finish):
                self.give_up()
            elif isinstance(step, Forward):
                self.forward(step.summary.region)
            else:
                self.attempt(self.asked.home, step.server.entry.name)
            return
        if self.queue is NOTHING:
            choose = POLICIES[self.world.policy]
            self.queue = choose(self.world, self.asked, self.request)[:3]
        if not self.queue or now >= self.request.deadline:
            self.give_up()
            return
        self.attempt(*self.queue.pop(0))

    def give_up(self):
        """Let the caller come back, if the scenario has it so."""
        if self.world.storm and self.asked.attempts < 12:
            self.queue = NOTHING
            if self.plan is not NOTHING:
                self.plan = self.world.make_plan(self.request, self.asked.home)
            self.world.clock.callLater(0.2, self.next)

    def forward(self, region):
        """Have another region's host choose a server of its own."""
        world = self.world
        world.centres[self.asked.home].record_forward(region)
        name = NOTHING
        if world.reaches(self.asked.home, region):
            remote = Request(
                **{
                    name: getattr(self.request, name)
                    for name in self.request.__slots__
                    if name not in ("path", "attempts")
                },
                path=("h",),
                attempts=1,
            )
            step = world.make_plan(remote, region).next(world.clock.seconds())
            if not isinstance(step, Finish):
                name = step.server.entry.name
        if name is NOTHING:
            world.clock.callLater(
                ROUND_TRIP,
                self.ended,
                region,
                NOTHING,
                NotRun(Reason.NO_SERVER),
            )
            return
        self.attempt(region, name, forwarded=True)

    def attempt(self, region, name, *, forwarded=False):
        """Send the request to a server, over the network if it is far."""
        world = self.world
        self.asked.attempts += 1
        if not world.reaches(self.asked.home, region):
            world.clock.callLater(
                CONNECT_TIMEOUT,
                self.ended,
                region,
                NOTHING,
                NotRun(Reason.CONNECT),
            )
            return
        if name not in world.engines:
            self.next()
            return
        world.tables[region].record_attempt(name)
        world.in_flight[name] = world.in_flight.get(name, 0) + 1
        away = ROUND_TRIP / 2 if region != self.asked.home else 0.0
        began = world.clock.seconds()
        world.clock.callLater(away, self.arrive, region, name, away, began)

    def arrive(self, region, name, away, began):
        """Hand the request to the engine."""
        world = self.world
        state = {"first": NOTHING, "over": False}

        def first():
            state["first"] = world.clock.seconds()
            if not state["over"]:
                self.asked.first = min(
                    self.asked.first, state["first"] + away - self.asked.at
                )
                self.asked.served = region

        def done(outcome=ANSWERED):
            if state["over"]:
                return
            state["over"] = True
            if late.active():
                late.cancel()
            self.release(region, name, outcome, state["first"], began)
            world.clock.callLater(away, self.ended, region, name, outcome)

        def expired():
            job.cancelled = True
            done(Unknown(Reason.DEADLINE))

        engine = world.engines.get(name)
        if engine is None:
            outcome = NotRun(Reason.CONNECT)
            self.release(region, name, outcome, NOTHING, began)
            self.ended(region, name, outcome)
            return
        left = max(0.001, self.request.deadline - world.clock.seconds())
        late = world.clock.callLater(left, expired)
        job = engine.submit(
            f"{self.request.id}-{self.asked.attempts}",
            self.body,
            int(self.request.priority),
            first,
            done,
        )

    def release(self, region, name, outcome, first, began):
        """Count the end of an attempt at its server."""
        world = self.world
        world.in_flight[name] -= 1
        wait = transfer_seconds = NOTHING
        if first is not NOTHING:
            wait = first - began
            transfer_seconds = world.clock.seconds() - first
        world.tables[region].record_attempt_end(
            name,
            world.clock.seconds(),
            failed=not isinstance(outcome, Answered),
            first_token=wait,
            transfer_seconds=transfer_seconds,
        )
        if name not in world.engines:
            return
        report = world.engines[name].report()
        world.apply_report(region, name, report, world.clock.seconds())

    def ended(self, region, name, outcome):
        """Note the outcome and go on if there is none yet."""
        if self.plan is not NOTHING:
            self.plan.record(outcome)
        if isinstance(outcome, Answered):
            self.asked.done = True
            return
        self.next()


def places(world, request):
    """Return all permitted (region, server) pairs."""
    return [
        (name.rsplit("-", 1)[0], name)
        for name in world.engines
        if name.rsplit("-", 1)[0] in request.residency
    ]


def load_of(world, place):
    """Return the known load of a server."""
    region, name = place
    return world.tables[region].servers[name].load(world.clock.seconds())


@policy("round robin")
def round_robin(world, asked, request):
    """Take all servers in turn."""
    found = places(world, request)
    start = len(world.asked) % len(found)
    return found[start:] + found[:start]


@policy("least in flight")
def least_in_flight(world, asked, request):
    """Take the server with the fewest own requests, anywhere."""
    found = places(world, request)
    world.rng.shuffle(found)
    return sorted(found, key=lambda p: world.in_flight.get(p[1], 0))


@policy("two choices")
def two_choices(world, asked, request):
    """Take the less loaded of two drawn at random, anywhere."""
    found = places(world, request)
    drawn = [world.rng.choice(found) for _ in range(2)]
    return sorted(drawn, key=lambda p: load_of(world, p))


@policy("home only")
def home_only(world, asked, request):
    """Take the least loaded server at home."""
    found = [p for p in places(world, request) if p[0] == asked.home]
    return sorted(found, key=lambda p: load_of(world, p))


@policy("nearest with spare")
def nearest_with_spare(world, asked, request):
    """Take home while it has a free slot, else who has the most."""
    found = places(world, request)
    return sorted(
        found,
        key=lambda p: (
            load_of(world, p) >= SLOTS,
            p[0] != asked.home,
            load_of(world, p),
        ),
    )


POLICIES["hyssopspring"] = NOTHING


def halve(world):
    """Take half of the largest region's engines away."""
    for number in range(5):
        world.engines[f"dar-{number}"].faults.slow = 1000.0
        del world.tables["dar"].servers[f"dar-{number}"]
        del world.engines[f"dar-{number}"]


def set_all(**faults):
    """Return a switch that sets faults of all engines."""

    def switch(world):
        for engine in world.engines.values():
            for name, value in faults.items():
                setattr(engine.faults, name, value)

    return switch


def slow_server(world):
    """Make one engine ten times slower than it reports."""
    world.engines["dar-3"].faults.slow = 10.0


def set_world(**values):
    """Return a switch that sets attributes of the world."""

    def switch(world):
        for name, value in values.items():
            setattr(world, name, value)

    return switch


def clear_caches(world):
    """Heal the cut region, with cold caches."""
    world.cut = set()
    for name, engine in world.engines.items():
        if name.startswith("arusha"):
            engine.prefixes.clear()


SCENARIOS = {
    "ordinary": [],
    "half of dar lost": [(0.3, halve)],
    "arusha cut, heals cold": [
        (0.3, set_world(cut={"arusha"})),
        (0.6, clear_caches),
    ],
    "reports 5 s late": [(0.0, set_all(report_lag=5.0))],
    "server 10x slower": [(0.3, slow_server)],
    "retry storm": [
        (0.0, set_world(storm=True)),
        (0.3, set_world(rate_factor=2.5)),
        (0.5, set_world(rate_factor=1.0)),
    ],
}


def run(name, scenario, seconds, seed):
    """Return the figures of one policy in one scenario."""
    world = World(seed, name)
    for part, switch in scenario:
        world.clock.callLater(part * seconds, switch, world)
    world.clock.callLater(0, world.traffic, seconds)
    busy = 0.0
    while world.clock.seconds() < seconds + QUICK_DEADLINE:
        world.clock.advance(0.005)
    busy = sum(engine.busy_seconds for engine in world.engines.values())
    return figures(world, busy, seconds)


def figures(world, busy, seconds):
    """Return what users measure."""
    quick = [asked for asked in world.asked if asked.quick]
    firsts = sorted(asked.first for asked in quick)
    good = [asked for asked in quick if asked.first <= QUICK_DEADLINE]
    answered = [asked for asked in world.asked if asked.done]
    away = sum(1 for one in answered if one.served != one.home)
    return {
        "p50": firsts[len(firsts) // 2],
        "p95": firsts[int(len(firsts) * 0.95)],
        "p99": firsts[int(len(firsts) * 0.99)],
        "good": len(good) / len(quick),
        "cost": busy / max(1, len(answered)),
        "away": away / max(1, len(answered)),
        "tries": statistics.mean(max(1, a.attempts) for a in world.asked),
        "recovery": recovery(quick, seconds),
    }


def recovery(quick, seconds):
    """Return the seconds after 60% of the run until goodput is back."""
    bad = [
        asked.at - seconds * 0.6
        for asked in quick
        if asked.at > seconds * 0.6 and asked.first > QUICK_DEADLINE
    ]
    return max(bad, default=0.0)


@click.command()
@click.option("--seconds", default=60.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--policy", "chosen", help="Run only this policy.")
@click.option("--scenario", "only", help="Run only this scenario.")
@click.option("--plot", type=click.Path(), help="Draw into this PNG file.")
def main(seconds, seed, chosen, only, plot):
    """Print a table of all policies in all scenarios."""
    found = {}
    for title, scenario in SCENARIOS.items():
        if only and title != only:
            continue
        print(f"{title} (seconds; p50 p95 p99 of quick first tokens)")
        for name in POLICIES:
            if chosen and name != chosen:
                continue
            row = run(name, scenario, seconds, seed)
            found[title, name] = row
            shown = "  ".join(f"{k} {v:.3f}" for k, v in row.items())
            print(f"  {name:20s} {shown}", flush=True)
    if plot:
        draw(found, plot)


def draw(found, path):
    """Draw the 99th percentile of each policy and scenario."""
    from hyssopspring.plots import load_pyplot

    pyplot = load_pyplot()
    titles = list(dict.fromkeys(title for title, _ in found))
    figure, axes = pyplot.subplots(figsize=(10, 4))
    width = 0.8 / len(POLICIES)
    for place, name in enumerate(POLICIES):
        axes.bar(
            [n + place * width for n in range(len(titles))],
            [min(20, found[title, name]["p99"]) for title in titles],
            width,
            label=name,
        )
    axes.set_xticks(range(len(titles)), titles, rotation=15)
    axes.set_ylabel("p99 of quick first tokens, s (cut at 20)")
    axes.legend(fontsize="x-small")
    figure.savefig(path, dpi=120, bbox_inches="tight")
    pyplot.close(figure)


if __name__ == "__main__":
    main()
