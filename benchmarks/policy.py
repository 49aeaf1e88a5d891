"""Compare placement policies under load and faults.

The plan of hyssopspring runs on a test clock against the fake engine, which
models batching, the prefix cache and delayed load reports. The baseline
policies choose from the same information. All scenarios have the same
engines and the same delay between any two regions, and differ in the faults
and changes that they apply at given times.
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
"""Mean share of all engine slots that the scheduled load occupies."""

INTERACTIVE_SERVICE_SECONDS = 0.45
"""Time for which an interactive request occupies a slot."""

HOME_ONLY_SHARE = 0.18
"""Share of requests that may run only in their home region."""

BATCH_SHARE = 0.08
"""Share of batch requests; all others are interactive."""

TEMPLATES = 40
"""Number of shared prompt prefixes per region."""

ANSWERED = Answered(200)
MODEL = Target(TargetKind.MODEL, "m")
POLICIES = {}


def policy(name):
    """Return a decorator that registers a baseline policy.

    A baseline policy returns (region, server) pairs in the order in which
    they are tried.

    Args:
        name: Name of the policy in the output.
    """

    def register(choose):
        POLICIES[name] = choose
        return choose

    return register


class SimEngine(FakeEngine):
    """The fake engine without sockets."""

    def submit(self, identifier, body, priority, first, done):
        """Admit a request to the engine.

        Args:
            identifier: ID of the attempt.
            body: Decoded body of the request.
            priority: Priority of the request, as a number.
            first: Callable for the time of the first output token.
            done: Callable for the end of the request.

        Returns:
            The `Job` of the request.
        """
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
        """Call `first` of the job after its first output token."""
        if job.made == 1:
            job.first()

    def finish(self, job):
        """Call `ended` of the job."""
        job.ended()


@dataclass
class RequestResult:
    """One request of a simulation and its result.

    Attributes:
        at: Arrival time.
        home: Home region of the caller.
        interactive: Whether it is an interactive rather than a batch request.
        first: Seconds until the first output token.
        served: Region of the last attempt that produced a token.
        attempts: Number of attempts.
        done: Whether it is answered.
    """

    at: float
    home: str
    interactive: bool
    first: float = math.inf
    served: str = ""
    attempts: int = 0
    done: bool = False


@dataclass
class Simulation:
    """All engines, and the state of one host in each region.

    Attributes:
        seed: Seed of the random numbers.
        policy: Name of the placement policy.
        clock: Test clock of the simulation.
        engines: `SimEngine` by name.
        tables: `ServerTable` by region.
        centres: `CentreTable` by region.
        cut: Regions that are disconnected from all others.
        results: `RequestResult` of each request that arrived.
        reports: Not used.
        platform_down: Not used.
        rate_factor: Factor of the arrival rate.
        storm: Whether callers retry failed requests.
    """

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
        """Add the engines of one region and the tables of its host."""
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
        """Call *call* once the clock runs, then every *every* seconds."""

        def again():
            call()
            self.clock.callLater(every, again)

        self.clock.callLater(0, again)

    def can_reach(self, one, other):
        """Return whether two regions are connected."""
        return one == other or not self.cut & {one, other}

    def report_loads(self):
        """Apply the load reports of all engines and exchange summaries."""
        now = self.clock.seconds()
        for name, engine in self.engines.items():
            region = name.rsplit("-", 1)[0]
            self.apply_report(region, name, engine.report(), now)
        for region, table in self.tables.items():
            targets = dict(table.summarize(now))
            for other, centres in self.centres.items():
                if other == region or not self.can_reach(region, other):
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
        """Apply the load report of one engine at the host of its region."""
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

    def schedule_traffic(self, seconds):
        """Schedule the first arrival of each region.

        Args:
            seconds: Time for which requests arrive.
        """
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
        """Schedule the next arrival of a region until *seconds* have passed.

        The arrival rate follows a sine wave with a different phase in each
        region.
        """
        now = self.clock.seconds()
        if now >= seconds:
            return
        peak = 1 + 0.5 * math.sin(
            PHASES_RADIANS[region] + now / seconds * 6.28
        )
        pause = self.rng.expovariate(rate * peak * self.rate_factor)
        self.clock.callLater(pause, self.handle_arrival, region, rate, seconds)

    def handle_arrival(self, region, rate, seconds):
        """Start the request of this arrival and schedule the next one."""
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
        """Return the `Request` of one arrival.

        A random share of them may run in their home region only.
        """
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
        """Return the plan of hyssopspring for a request at a host."""
        return Plan(
            request,
            configuration=self.configuration,
            table=self.tables[region],
            centres=self.centres[region],
            budget=self.budgets[region],
            rng=self.rng,
        )


class RequestSimulation:
    """Simulate the attempts of one request under the configured policy.

    Args:
        simulation: The `Simulation`.
        result: `RequestResult` that is updated.
        body: Decoded body of the request.
        request: The `Request`.
    """

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
        """Start the next attempt, or end the request if there is none."""
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
        """Schedule a retry by the caller in a retry storm scenario."""
        if self.simulation.storm and self.result.attempts < 12:
            self.queue = NOTHING
            if self.plan is not NOTHING:
                self.plan = self.simulation.make_plan(
                    self.request, self.result.home
                )
            self.simulation.clock.callLater(0.2, self.next)

    def forward(self, region):
        """Let a host of another region choose one of its servers."""
        simulation = self.simulation
        simulation.centres[self.result.home].record_forward(region)
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
        """Send the request to a server, after a delay if it is remote."""
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
        simulation.tables[region].record_attempt(name)
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
        """Submit the request to the engine and start its deadline timer."""
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
        """Record the end of an attempt and the new load of its server."""
        simulation = self.simulation
        simulation.in_flight[name] -= 1
        wait = transfer_seconds = NOTHING
        if first is not NOTHING:
            wait = first - began
            transfer_seconds = simulation.clock.seconds() - first
        simulation.tables[region].record_attempt_end(
            name,
            simulation.clock.seconds(),
            failed=not isinstance(outcome, Answered),
            first_token=wait,
            transfer_seconds=transfer_seconds,
        )
        if name not in simulation.engines:
            return
        report = simulation.engines[name].report()
        simulation.apply_report(
            region, name, report, simulation.clock.seconds()
        )

    def handle_outcome(self, region, name, outcome):
        """Record the outcome of an attempt; try the next one if it failed."""
        if self.plan is not NOTHING:
            self.plan.record(outcome)
        if isinstance(outcome, Answered):
            self.result.done = True
            return
        self.next()


def candidate_pairs(simulation, request):
    """Return the (region, server) pairs that the residency permits."""
    return [
        (name.rsplit("-", 1)[0], name)
        for name in simulation.engines
        if name.rsplit("-", 1)[0] in request.residency
    ]


def reported_load(simulation, place):
    """Return the load of a server according to its last report."""
    region, name = place
    return (
        simulation.tables[region]
        .servers[name]
        .load(simulation.clock.seconds())
    )


@policy("round robin")
def round_robin(simulation, result, request):
    """Try the servers in rotation."""
    found = candidate_pairs(simulation, request)
    start = len(simulation.results) % len(found)
    return found[start:] + found[:start]


@policy("least in flight")
def least_in_flight(simulation, result, request):
    """Prefer the server with the fewest requests in flight, in any region."""
    found = candidate_pairs(simulation, request)
    simulation.rng.shuffle(found)
    return sorted(found, key=lambda p: simulation.in_flight.get(p[1], 0))


@policy("two choices")
def two_choices(simulation, result, request):
    """Prefer the less loaded of two random servers, in any region."""
    found = candidate_pairs(simulation, request)
    drawn = [simulation.rng.choice(found) for _ in range(2)]
    return sorted(drawn, key=lambda p: reported_load(simulation, p))


@policy("home only")
def home_only(simulation, result, request):
    """Prefer the least loaded server of the home region."""
    found = [
        p for p in candidate_pairs(simulation, request) if p[0] == result.home
    ]
    return sorted(found, key=lambda p: reported_load(simulation, p))


@policy("nearest with spare")
def nearest_with_spare(simulation, result, request):
    """Prefer the home region while it has a free slot, then least load."""
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
    """Remove half of the engines of the largest region."""
    for number in range(5):
        simulation.engines[f"dar-{number}"].faults.slow = 1000.0
        del simulation.tables["dar"].servers[f"dar-{number}"]
        del simulation.engines[f"dar-{number}"]


def set_engine_faults(**faults):
    """Return a function that sets faults of all engines."""

    def switch(simulation):
        for engine in simulation.engines.values():
            for name, value in faults.items():
                setattr(engine.faults, name, value)

    return switch


def slow_server(simulation):
    """Make one engine ten times slower without a change in its reports."""
    simulation.engines["dar-3"].faults.slow = 10.0


def set_simulation(**values):
    """Return a function that sets attributes of the simulation."""

    def switch(simulation):
        for name, value in values.items():
            setattr(simulation, name, value)

    return switch


def reconnect_with_cold_caches(simulation):
    """Reconnect the disconnected region with empty prefix caches."""
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
    """Simulate one policy in one scenario.

    Args:
        name: Name of the policy.
        scenario: List of (fraction of the run, function to call) pairs.
        seconds: Time for which requests arrive.
        seed: Seed of the random numbers.

    Returns:
        The measurements by name, as `summarize` returns them.
    """
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
    """Return the measurements of a simulation by name.

    ``p50``, ``p95`` and ``p99`` are percentiles of the time to first token
    of interactive requests, and ``good`` is the share of them within the
    deadline. ``cost`` is engine time per answered request, ``away`` the
    share served in another region, ``tries`` the mean number of attempts.
    """
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
    """Return the seconds from 60% of the run to its last late request."""
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
@click.option("--policy", "chosen", help="Run only the policy with this name.")
@click.option(
    "--scenario", "only", help="Run only the scenario with this name."
)
@click.option(
    "--plot", type=click.Path(), help="Plot the results to this PNG file."
)
def main(seconds, seed, chosen, only, plot):
    """Compare all policies in all scenarios."""
    found = {}
    for title, scenario in SCENARIOS.items():
        if only and title != only:
            continue
        print(f"{title} (seconds; p50 p95 p99 of interactive first tokens)")
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
    """Plot the 99th percentile by policy and scenario."""
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
    axes.set_ylabel("p99 of interactive first tokens, s (capped at 20)")
    axes.legend(fontsize="x-small")
    figure.savefig(path, dpi=120, bbox_inches="tight")
    pyplot.close(figure)


if __name__ == "__main__":
    main()
