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
PHASES_RADIANS = {"dar": 0.0, "arusha": 2.1, "mwanza": 4.2}
ROUND_TRIP_SECONDS = 0.06
SLOTS = 4
PREFIX_CHARACTERS = 4000
INTERACTIVE_TOKENS = 24
BATCH_TOKENS = 60
INTERACTIVE_DEADLINE_SECONDS = 5.0
BATCH_DEADLINE_SECONDS = 600.0
CONNECT_TIMEOUT_SECONDS = 0.5
TARGET_UTILISATION = 0.55
INTERACTIVE_SERVICE_SECONDS = 0.45
HOME_ONLY_SHARE = 0.18
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
class RequestResult:
    """One request of a run, and what became of it."""

    at: float
    home: str
    interactive: bool
    first: float = math.inf
    served: str = ""
    attempts: int = 0
    done: bool = False


@dataclass
class Simulation:
    """All engines, and what each region's host knows."""

    seed: int
    policy: str
    clock: Clock = field(default_factory=Clock)
    engines: dict = field(default_factory=dict)
    tables: dict = field(default_factory=dict)
    centres: dict = field(default_factory=dict)
    cut: set = field(default_factory=set)
    results: list = field(default_factory=list)
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
                        other: ROUND_TRIP_SECONDS * 1000
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
                prefix=PREFIX_CHARACTERS,
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

    def can_reach(self, one, other):
        """Whether two regions reach each other."""
        return one == other or not self.cut & {one, other}

    def report_loads(self):
        """Let engines report, and regions tell each other."""
        now = self.clock.seconds()
        for name, engine in self.engines.items():
            region = name.rsplit("-", 1)[0]
            self.take_report(region, name, engine.report(), now)
        for region, table in self.tables.items():
            targets = dict(table.summary(now))
            for other, centres in self.centres.items():
                if other == region or not self.can_reach(region, other):
                    continue
                centres.take(
                    CentreSummary(
                        region=region,
                        data_centre=region,
                        gateways=(region,),
                        targets=targets,
                        listeners=len(REGIONS) - 1,
                        at=now,
                    )
                )

    def take_report(self, region, name, report, now):
        """Note one engine's load report at its region's host."""
        self.tables[region].take_report(
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

    def schedule_traffic(self, seconds):
        """Schedule the arrivals of *seconds*."""
        slots = {region: count * SLOTS for region, count in REGIONS.items()}
        mean_rate = (
            sum(slots.values())
            * TARGET_UTILISATION
            / INTERACTIVE_SERVICE_SECONDS
        )
        for region in REGIONS:
            share = 0.25 + 0.25 * slots[region] / sum(slots.values()) * 3
            self.schedule_arrival(region, mean_rate * share / 1.5, seconds)

    def schedule_arrival(self, region, rate, seconds):
        """Schedule the next arrival of a region."""
        now = self.clock.seconds()
        if now >= seconds:
            return
        peak = 1 + 0.5 * math.sin(
            PHASES_RADIANS[region] + now / seconds * 6.28
        )
        pause = self.rng.expovariate(rate * peak * self.rate_factor)
        self.clock.callLater(pause, self.handle_arrival, region, rate, seconds)

    def handle_arrival(self, region, rate, seconds):
        """Send one request and schedule the next."""
        self.schedule_arrival(region, rate, seconds)
        interactive = self.rng.random() >= BATCH_SHARE
        template = int(self.rng.paretovariate(1.2)) % TEMPLATES
        start = f"{region}{template}".ljust(PREFIX_CHARACTERS, "x")
        more = (
            300
            if interactive
            else min(30_000, 3000 * self.rng.paretovariate(1.5))
        )
        body = {
            "prompt": start + "y" * int(more),
            "stream": True,
            "max_tokens": INTERACTIVE_TOKENS if interactive else BATCH_TOKENS,
        }
        result = RequestResult(self.clock.seconds(), region, interactive)
        self.results.append(result)
        RequestSimulation(
            self, result, body, self.make_request(result, body)
        ).next()

    def make_request(self, result, body):
        """Return the `Request` of one arrival."""
        bound = self.rng.random() < HOME_ONLY_SHARE
        regions = {result.home} if bound else set(REGIONS)
        deadline = (
            INTERACTIVE_DEADLINE_SECONDS
            if result.interactive
            else BATCH_DEADLINE_SECONDS
        )
        return Request(
            id=f"r{len(self.results)}",
            workspace=f"w-{result.home}",
            target=MODEL,
            residency=frozenset(regions),
            home=result.home,
            deadline=self.clock.seconds() + deadline,
            priority=Priority.INTERACTIVE
            if result.interactive
            else Priority.BATCH,
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


class RequestSimulation:
    """Carry out one request by the policy of the run."""

    def __init__(self, simulation, result, body, request):
        self.simulation = simulation
        self.result = result
        self.body = body
        self.request = request
        self.plan = NOTHING
        self.queue = NOTHING
        if simulation.policy == "hyssopspring":
            self.plan = simulation.make_plan(request, result.home)

    def next(self):
        """Make the next attempt, or give up."""
        now = self.simulation.clock.seconds()
        if self.plan is not NOTHING:
            step = self.plan.next(now)
            if isinstance(step, Finish):
                self.retry_if_storm()
            elif isinstance(step, Forward):
                self.forward(step.summary.region)
            else:
                self.attempt(self.result.home, step.server.entry.name)
            return
        if self.queue is NOTHING:
            choose = POLICIES[self.simulation.policy]
            self.queue = choose(self.simulation, self.result, self.request)[:3]
        if not self.queue or now >= self.request.deadline:
            self.retry_if_storm()
            return
        self.attempt(*self.queue.pop(0))

    def retry_if_storm(self):
        """Let the caller come back, if the scenario has it so."""
        if self.simulation.storm and self.result.attempts < 12:
            self.queue = NOTHING
            if self.plan is not NOTHING:
                self.plan = self.simulation.make_plan(
                    self.request, self.result.home
                )
            self.simulation.clock.callLater(0.2, self.next)

    def forward(self, region):
        """Have another region's host choose a server of its own."""
        simulation = self.simulation
        simulation.centres[self.result.home].begin(region)
        name = NOTHING
        if simulation.can_reach(self.result.home, region):
            remote = Request(
                **{
                    name: getattr(self.request, name)
                    for name in self.request.__slots__
                    if name not in ("path", "attempts")
                },
                path=("h",),
                attempts=1,
            )
            step = simulation.make_plan(remote, region).next(
                simulation.clock.seconds()
            )
            if not isinstance(step, Finish):
                name = step.server.entry.name
        if name is NOTHING:
            simulation.clock.callLater(
                ROUND_TRIP_SECONDS,
                self.handle_outcome,
                region,
                NOTHING,
                NotRun(Reason.NO_SERVER),
            )
            return
        self.attempt(region, name, forwarded=True)

    def attempt(self, region, name, *, forwarded=False):
        """Send the request to a server, over the network if it is far."""
        simulation = self.simulation
        self.result.attempts += 1
        if not simulation.can_reach(self.result.home, region):
            simulation.clock.callLater(
                CONNECT_TIMEOUT_SECONDS,
                self.handle_outcome,
                region,
                NOTHING,
                NotRun(Reason.CONNECT),
            )
            return
        if name not in simulation.engines:
            self.next()
            return
        simulation.tables[region].begin(name)
        simulation.in_flight[name] = simulation.in_flight.get(name, 0) + 1
        one_way_delay = (
            ROUND_TRIP_SECONDS / 2 if region != self.result.home else 0.0
        )
        began = simulation.clock.seconds()
        simulation.clock.callLater(
            one_way_delay,
            self.submit_to_engine,
            region,
            name,
            one_way_delay,
            began,
        )

    def submit_to_engine(self, region, name, one_way_delay, began):
        """Hand the request to the engine."""
        simulation = self.simulation
        state = {"first": NOTHING, "over": False}

        def first():
            state["first"] = simulation.clock.seconds()
            if not state["over"]:
                self.result.first = min(
                    self.result.first,
                    state["first"] + one_way_delay - self.result.at,
                )
                self.result.served = region

        def done(outcome=ANSWERED):
            if state["over"]:
                return
            state["over"] = True
            if deadline_call.active():
                deadline_call.cancel()
            self.release(region, name, outcome, state["first"], began)
            simulation.clock.callLater(
                one_way_delay, self.handle_outcome, region, name, outcome
            )

        def expired():
            job.cancelled = True
            done(Unknown(Reason.DEADLINE))

        engine = simulation.engines.get(name)
        if engine is None:
            outcome = NotRun(Reason.CONNECT)
            self.release(region, name, outcome, NOTHING, began)
            self.handle_outcome(region, name, outcome)
            return
        left = max(0.001, self.request.deadline - simulation.clock.seconds())
        deadline_call = simulation.clock.callLater(left, expired)
        job = engine.submit(
            f"{self.request.id}-{self.result.attempts}",
            self.body,
            int(self.request.priority),
            first,
            done,
        )

    def release(self, region, name, outcome, first, began):
        """Count the end of an attempt at its server."""
        simulation = self.simulation
        simulation.in_flight[name] -= 1
        wait = making = NOTHING
        if first is not NOTHING:
            wait = first - began
            making = simulation.clock.seconds() - first
        simulation.tables[region].finish(
            name,
            simulation.clock.seconds(),
            failed=not isinstance(outcome, Answered),
            first_token=wait,
            making=making,
        )
        if name not in simulation.engines:
            return
        report = simulation.engines[name].report()
        simulation.take_report(
            region, name, report, simulation.clock.seconds()
        )

    def handle_outcome(self, region, name, outcome):
        """Note the outcome and go on if there is none yet."""
        if self.plan is not NOTHING:
            self.plan.record(outcome)
        if isinstance(outcome, Answered):
            self.result.done = True
            return
        self.next()


def candidate_pairs(simulation, request):
    """Return all permitted (region, server) pairs."""
    return [
        (name.rsplit("-", 1)[0], name)
        for name in simulation.engines
        if name.rsplit("-", 1)[0] in request.residency
    ]


def reported_load(simulation, place):
    """Return the known load of a server."""
    region, name = place
    return (
        simulation.tables[region]
        .servers[name]
        .load(simulation.clock.seconds())
    )


@policy("round robin")
def round_robin(simulation, result, request):
    """Take all servers in turn."""
    found = candidate_pairs(simulation, request)
    start = len(simulation.results) % len(found)
    return found[start:] + found[:start]


@policy("least in flight")
def least_in_flight(simulation, result, request):
    """Take the server with the fewest own requests, anywhere."""
    found = candidate_pairs(simulation, request)
    simulation.rng.shuffle(found)
    return sorted(found, key=lambda p: simulation.in_flight.get(p[1], 0))


@policy("two choices")
def two_choices(simulation, result, request):
    """Take the less loaded of two drawn at random, anywhere."""
    found = candidate_pairs(simulation, request)
    drawn = [simulation.rng.choice(found) for _ in range(2)]
    return sorted(drawn, key=lambda p: reported_load(simulation, p))


@policy("home only")
def home_only(simulation, result, request):
    """Take the least loaded server at home."""
    found = [
        p for p in candidate_pairs(simulation, request) if p[0] == result.home
    ]
    return sorted(found, key=lambda p: reported_load(simulation, p))


@policy("nearest with spare")
def nearest_with_spare(simulation, result, request):
    """Take home while it has a free slot, else who has the most."""
    found = candidate_pairs(simulation, request)
    return sorted(
        found,
        key=lambda p: (
            reported_load(simulation, p) >= SLOTS,
            p[0] != result.home,
            reported_load(simulation, p),
        ),
    )


POLICIES["hyssopspring"] = NOTHING


def remove_half_of_dar(simulation):
    """Take half of the largest region's engines away."""
    for number in range(5):
        simulation.engines[f"dar-{number}"].faults.slow = 1000.0
        del simulation.tables["dar"].servers[f"dar-{number}"]
        del simulation.engines[f"dar-{number}"]


def set_engine_faults(**faults):
    """Return a switch that sets faults of all engines."""

    def switch(simulation):
        for engine in simulation.engines.values():
            for name, value in faults.items():
                setattr(engine.faults, name, value)

    return switch


def slow_server(simulation):
    """Make one engine ten times slower than it reports."""
    simulation.engines["dar-3"].faults.slow = 10.0


def set_simulation(**values):
    """Return a switch that sets attributes of the world."""

    def switch(simulation):
        for name, value in values.items():
            setattr(simulation, name, value)

    return switch


def reconnect_with_cold_caches(simulation):
    """Heal the cut region, with cold caches."""
    simulation.cut = set()
    for name, engine in simulation.engines.items():
        if name.startswith("arusha"):
            engine.prefixes.clear()


SCENARIOS = {
    "ordinary": [],
    "half of dar lost": [(0.3, remove_half_of_dar)],
    "arusha cut, heals cold": [
        (0.3, set_simulation(cut={"arusha"})),
        (0.6, reconnect_with_cold_caches),
    ],
    "reports 5 s late": [(0.0, set_engine_faults(report_lag=5.0))],
    "server 10x slower": [(0.3, slow_server)],
    "retry storm": [
        (0.0, set_simulation(storm=True)),
        (0.3, set_simulation(rate_factor=2.5)),
        (0.5, set_simulation(rate_factor=1.0)),
    ],
}


def run(name, scenario, seconds, seed):
    """Return the figures of one policy in one scenario."""
    simulation = Simulation(seed, name)
    for part, switch in scenario:
        simulation.clock.callLater(part * seconds, switch, simulation)
    simulation.clock.callLater(0, simulation.schedule_traffic, seconds)
    busy = 0.0
    while simulation.clock.seconds() < seconds + INTERACTIVE_DEADLINE_SECONDS:
        simulation.clock.advance(0.005)
    busy = sum(engine.busy_seconds for engine in simulation.engines.values())
    return summarize(simulation, busy, seconds)


def summarize(simulation, busy, seconds):
    """Return what users measure."""
    interactive = [
        result for result in simulation.results if result.interactive
    ]
    firsts = sorted(result.first for result in interactive)
    good = [
        result
        for result in interactive
        if result.first <= INTERACTIVE_DEADLINE_SECONDS
    ]
    answered = [result for result in simulation.results if result.done]
    served_remotely = sum(1 for one in answered if one.served != one.home)
    return {
        "p50": firsts[len(firsts) // 2],
        "p95": firsts[int(len(firsts) * 0.95)],
        "p99": firsts[int(len(firsts) * 0.99)],
        "good": len(good) / len(interactive),
        "cost": busy / max(1, len(answered)),
        "away": served_remotely / max(1, len(answered)),
        "tries": statistics.mean(
            max(1, a.attempts) for a in simulation.results
        ),
        "recovery": recovery(interactive, seconds),
    }


def recovery(interactive, seconds):
    """Return the seconds after 60% of the run until goodput is back."""
    bad = [
        result.at - seconds * 0.6
        for result in interactive
        if result.at > seconds * 0.6
        and result.first > INTERACTIVE_DEADLINE_SECONDS
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
