"""A soak of real processes under faults from outside, from a seed."""

import itertools
import math
import pathlib
import random
import sys
import tempfile
from collections import Counter, deque

import click
from twisted.internet import defer, task
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers

from hyssopspring.net.clients import read_body

from .soakcallers import RawCallers
from .soakchecks import (
    Bounds,
    History,
    Probe,
    Seen,
    Target,
    Violation,
    check_history,
)
from .soakfaults import FAULTS
from .soakfleet import (
    ENDLESS_SERVICES,
    PAUSED_SERVICES,
    REGIONS,
    STOP_SECONDS,
    SoakFleet,
    configuration,
)
from .soaknotices import NOTICE_SERVERS, Notifier, check_notices
from .soakparts import PartCaller, PartHistory, PartServers, check_parts
from .soakpauses import PatientCallers, Pauses, add_server, check_pauses
from .soakplan import Fault, draw_plan
from .soakstops import check_stops
from .soakstreams import Release, StreamCaller, check_streams, shares

__all__ = ["FAULTS", "Soak", "main", "run_soak"]

PROBE_EVERY = 0.25
"""Seconds between two rounds of requests to a host."""

STREAM_CALLERS = 6
"""Callers that ask for streams, one after the other."""

LATE_CALLERS = 30
"""Callers that leave streams, and come back later."""

PART_CALLERS = 6
"""Callers that send prompts of which some crash servers."""

NOTICE_PROBES = 2
"""Requests to servers that say things of themselves, in each round."""

DEADLINE_MS = b"1500"
GIVE_UP = 3.0
"""Seconds after which a request without an answer is left."""

FEWEST_CHANGES, MOST_CHANGES = 0.5, 4.0
"""Seconds between two versions."""

QUIET_CHANGES = 6.0
"""Seconds at the end in which nothing is changed or disturbed."""

COPY_EVERY = 1.0
KEPT_COPIES = 4
"""Seconds between two copies of the store, and copies that are kept. A restore
uses one of these."""

START_WITHIN = 15.0
MOST_SHOWN = 10
"""Violations of each rule that a report shows."""


class Soak:
    """One run.

    Args:
        fleet: The `SoakFleet`.
        reactor: The reactor.
        seed: Seed of the run.
        seconds: How long faults come.
        faults: Each `Fault` that may come.
    """

    def __init__(self, fleet, reactor, seed, seconds, faults=tuple(Fault)):
        self.fleet = fleet
        self.reactor = reactor
        self.seed = seed
        self.seconds = seconds
        self.faults = faults
        self.rng = random.Random(seed + 1)
        self.history = History()
        self.steps = []
        self.numbers = itertools.count(1)
        self.agents = {}
        self.notifiers = []
        self.releases = []
        self.stream_callers = []
        self.part_callers = []
        self.parts = PartHistory()
        self.raw_callers = RawCallers(self, random.Random(seed + 3))
        self.pauses = []
        self.patient_callers = PatientCallers(self, random.Random(seed + 4))
        self.copies = deque(maxlen=KEPT_COPIES)
        self.began = 0.0
        self.changing = True
        self.probing = True
        self.lateness = 0.0

    def now(self):
        """Return the seconds since the start of the run."""
        return self.reactor.seconds() - self.began

    def sleep(self, seconds):
        """Return a deferred that fires after *seconds*."""
        return task.deferLater(self.reactor, seconds)

    async def run(self):
        """Play the run; return each `Violation`."""
        self.fleet.start()
        self.add_notifiers()
        self.history.acknowledged.append(-100.0)
        self.began = self.reactor.seconds()
        await self.until_ready()
        self.began = self.reactor.seconds()
        names = list(self.fleet.hosts)
        self.steps = draw_plan(self.seed, self.seconds, names, self.faults)
        self.copies.append(self.fleet.store.copy())
        work = [defer.ensureDeferred(self.change())]
        work.append(defer.ensureDeferred(self.keep_copies()))
        work += [
            defer.ensureDeferred(self.probe(host))
            for host in self.fleet.hosts.values()
        ]
        work += [defer.ensureDeferred(self.play(step)) for step in self.steps]
        work += [
            defer.ensureDeferred(one.run(lambda: not self.changing))
            for one in (*self.notifiers, *self.releases, *self.pauses)
        ]
        work += [
            defer.ensureDeferred(one.run(lambda: not self.probing))
            for one in (
                *self.stream_callers,
                *self.part_callers,
                self.raw_callers,
                self.patient_callers,
            )
        ]
        await self.sleep(self.seconds)
        self.changing = False
        await self.sleep(QUIET_CHANGES)
        self.probing = False
        results = await defer.DeferredList(work, consumeErrors=True)
        for done, result in results:
            if not done:
                result.raiseException()
        self.collect_runs()
        found = check_history(self.history) + self.check_notices()
        found += check_streams(self.streams(), self.history, Bounds().stable)
        found += check_parts(self.parts, self.history)
        found += self.check_stops() + self.check_pauses()
        return found + [
            Violation("ENDED", None, f"{host.name}, {end}")
            for host in self.fleet.hosts.values()
            for end in host.ends
        ]

    def add_notifiers(self):
        """Start the servers of notices and of streams, and their callers."""
        rng = random.Random(self.seed + 2)
        self.notifiers = [
            Notifier(
                self.fleet, self.reactor, rng, f"{region}-n{number}", region
            )
            for region in REGIONS
            for number in range(NOTICE_SERVERS)
        ]

        self.releases = [
            Release(self.fleet, self.reactor, rng, region)
            for region in REGIONS
        ]
        self.stream_callers = [
            StreamCaller(self, rng, f"stream-{self.seed}-{number}")
            for number in range(STREAM_CALLERS)
        ]
        late = random.Random(f"{self.seed} late")
        self.stream_callers += [
            StreamCaller(self, late, f"late-{self.seed}-{number}", late=True)
            for number in range(LATE_CALLERS)
        ]
        for region in REGIONS:
            PartServers(self, region, self.parts)
            for service in ENDLESS_SERVICES:
                add_server(self, self.patient_callers.rng, service, region)
        self.pauses = [
            Pauses(self, random.Random(f"{self.seed} {service}"), service)
            for service in PAUSED_SERVICES
        ]
        self.part_callers = [
            PartCaller(self, rng, f"part-{self.seed}-{number}", self.parts)
            for number in range(PART_CALLERS)
        ]

    def unify_servers(self, in_place):
        """Replace all servers of streams by those of the usual version."""
        backends = [b for one in self.releases for b in one.backends]
        usual, _ = Counter(one.version for one in backends).most_common(1)[0]
        for one in self.releases:
            one.unify(usual, in_place)

    def servers_of(self, version):
        """Return how many servers of a version take streams."""
        return sum(
            backend.version == version
            for release in self.releases
            for backend in release.backends
        )

    def streams(self):
        """Return each `Stream` of the run."""
        return [s for one in self.stream_callers for s in one.streams]

    def check_notices(self):
        """Return each `Violation` of what those servers said."""
        names = {host.ip: host.name for host in self.fleet.hosts.values()}
        spans = [span for one in self.notifiers for span in one.spans]
        backends = self.fleet.backends.values()
        return check_notices(
            backends,
            spans,
            names,
            self.history,
            self.began,
            self.fleet.stalls,
        )

    def check_stops(self):
        """Return each `Violation` of what is owed to requests at stops."""
        return check_stops(
            self.fleet.lives,
            self.raw_callers.requests,
            {seen.request for seen in self.history.ran},
            STOP_SECONDS,
            self.began,
        )

    def check_pauses(self):
        """Return each `Violation` of what is owed at servers that pause."""
        return check_pauses(
            self.patient_callers.requests,
            {seen.request for seen in self.history.ran},
            STOP_SECONDS,
            self.began,
        )

    async def until_ready(self):
        """Wait until each host serves.

        Raises:
            TimeoutError: One does not in time.
        """
        for host in self.fleet.hosts.values():
            while (await self.ask(host, Target("moved"))).status != 200:
                if self.now() > START_WITHIN:
                    raise TimeoutError(f"{host.name} does not serve")
                await self.sleep(0.1)
        self.history.probes.clear()

    async def change(self):
        """Write a new version now and then, often several in a row."""
        while self.changing:
            self.write_version()
            pause = self.rng.uniform(FEWEST_CHANGES, MOST_CHANGES)
            await self.sleep(pause)

    def write_version(self):
        """Write the next version of the configuration."""
        version = len(self.history.acknowledged) + 1
        self.fleet.store.put_json("op/config", configuration(version))
        self.history.acknowledged.append(self.now())

    async def keep_copies(self):
        """Copy the store now and then."""
        while self.changing:
            if not self.fleet.store.down:
                self.copies.append(self.fleet.store.copy())
            await self.sleep(COPY_EVERY)

    async def play(self, step):
        """Do one fault, and note whom it disturbed for how long."""
        await self.sleep(step.at)
        hosts = [self.fleet.hosts[name] for name in step.hosts]
        noted = [
            self.history.disturb(
                host.name,
                self.now(),
                math.inf,
                planned=step.fault.planned,
                kills_all=step.fault is Fault.KILL_ALL,
            )
            for host in hosts
        ]
        chosen = hosts[:1] if step.fault.at_once else hosts
        await defer.DeferredList(
            [
                defer.ensureDeferred(
                    FAULTS[step.fault](self, host, step.seconds)
                )
                for host in chosen
            ],
            fireOnOneErrback=True,
        )
        for one in noted:
            one.end = self.now()

    def restart(self, host):
        """Start the process of a host again if nobody else has."""
        if not host.running:
            host.start()

    async def probe(self, host):
        """Send requests to one host until the end."""
        await self.sleep(self.rng.random() * PROBE_EVERY)
        while self.probing:
            late = self.now()
            newest = len(self.history.acknowledged)
            added = self.rng.randint(max(1, newest - 9), newest)
            targets = [Target("moved"), Target("added", added)]
            targets += [Target("noticing")] * NOTICE_PROBES
            for target in targets:
                work = defer.ensureDeferred(self.ask(host, target))
                work.addErrback(self.failed)
            await self.sleep(PROBE_EVERY)
            self.lateness = max(self.lateness, self.now() - late - PROBE_EVERY)

    def failed(self, failure):
        """End the run on an error of its own."""
        self.probing = False
        failure.printTraceback()

    def agent(self, host):
        """Return the agent for a host, which keeps its connections."""
        if host.name not in self.agents:
            pool = HTTPConnectionPool(self.reactor, persistent=True)
            pool.retryAutomatically = False
            pool.cachedConnectionTimeout = 12
            self.agents[host.name] = Agent(
                self.reactor, pool=pool, connectTimeout=1.0
            )
        return self.agents[host.name]

    async def ask(self, host, target):
        """Send one request; return its `Probe`."""
        identifier = f"{self.seed}-{next(self.numbers)}"
        life, sent = host.life, self.now()
        headers = Headers(
            {
                b"host": [b"a.example"],
                b"x-request-attempt-id": [identifier.encode()],
                b"x-deadline-ms": [DEADLINE_MS],
            }
        )
        url = f"http://{host.front}{target.path}".encode()
        work = defer.ensureDeferred(self.fetch(host, url, headers))
        work.addTimeout(GIVE_UP, self.reactor)
        status, stamp, body, echo = 0, b"", b"", b""
        try:
            status, stamp, body, echo = await work
        except Exception:  # noqa: BLE001 - no answer, however it failed
            status = 0
        server = stamp.removeprefix(b"stamp-").decode()
        backend = self.fleet.backends.get(server)
        probe = Probe(
            id=identifier,
            host=host.name,
            life=life if life == host.life else -host.life,
            target=target,
            sent=sent,
            ended=self.now(),
            status=status,
            service=backend.service if backend else "",
            whole=body == b"whole " + target.path.encode()
            and echo == identifier.encode(),
        )
        self.history.probes.append(probe)
        return probe

    async def fetch(self, host, url, headers):
        """Send one request; return what its answer bears."""
        response = await self.agent(host).request(b"GET", url, headers)
        body = await read_body(response)
        found = response.headers.getRawHeaders
        return (
            response.code,
            found(b"x-response-stamp", [b""])[0],
            body,
            found(b"x-request-attempt-id", [b""])[0],
        )

    def collect_runs(self):
        """Note what the servers have run."""
        self.history.ran = [
            Seen(request, backend.service)
            for backend in self.fleet.backends.values()
            for request in backend.ran
        ]

    def report(self, violations):
        """Yield lines that tell what was done and found."""
        counts = {}
        for step in self.steps:
            counts[step.fault.value[0]] = (
                counts.get(step.fault.value[0], 0) + 1
            )
        statuses = {}
        for probe in self.history.probes:
            statuses[probe.status] = statuses.get(probe.status, 0) + 1
        yield (
            f"seed {self.seed}: {len(self.fleet.hosts)} hosts, "
            f"{len(self.history.acknowledged)} versions, "
            f"{len(self.history.probes)} requests {statuses}, "
            f"{len(violations)} violations, driver late by "
            f"{self.lateness:.2f} s at most"
        )
        streams = self.streams()
        resumed = [one for stream in streams for one in stream.resumed]
        yield (
            f"  streams: {len(streams)}, complete "
            f"{sum(stream.complete for stream in streams)}, resumed by "
            f"callers {len(resumed)}, went on "
            f"{sum(one.went_on for one in resumed)}, refused "
            f"{sum(one.refused for one in resumed)}"
        )
        judged = [
            f"{sum(share)} of {len(share)}"
            for share in shares(streams, self.history, Bounds().stable)
        ]
        yield f"  new streams, resumed ones, those after kills: {judged}"
        crashes = self.parts.crashes
        sound = [status == 200 for _, _, status in self.parts.sound]
        yield (
            f"  prompts: {len(self.parts.seen)} at servers, crashes by part "
            f"{ {part: len(times) for part, times in crashes.items()} }, "
            f"{sum(sound)} of {len(sound)} sound ones served"
        )
        yield "  faults: " + ", ".join(
            f"{name} {count}" for name, count in sorted(counts.items())
        )
        asked = self.raw_callers.requests
        ignored = sum(one.after_close and not one.status for one in asked)
        unsent = sum(one.after_end for one in asked)
        yield (
            f"  plain connections: {self.raw_callers.refused} not accepted, "
            f"requests {dict(Counter(one.status for one in asked))}, "
            f"{ignored} ignored after an announced end, "
            f"{unsent} not sent after an end"
        )
        yield self.patient_callers.report()
        rules = Counter(one.rule for one in violations)
        yield f"  violations: {dict(rules)}"
        shown = [
            one
            for rule in rules
            for one in [v for v in violations if v.rule == rule][:MOST_SHOWN]
        ]
        for one in shown:
            if one.probe is None:
                yield f"  {one.rule} {one.text}"
                continue
            yield (
                f"  {one.rule} {one.probe.host} life {one.probe.life} at "
                f"{one.probe.sent:.2f} s {one.probe.target.path} "
                f"{one.probe.id}: {one.text}"
            )


async def run_soak(reactor, seed, seconds, hosts, folder, faults=tuple(Fault)):
    """Play one run; return its `Soak` and each `Violation`.

    Args:
        reactor: The reactor.
        seed: Seed of the run.
        seconds: How long faults come.
        hosts: How many hosts.
        folder: Folder for settings and logs.
        faults: Each `Fault` that may come.
    """
    fleet = SoakFleet(reactor, folder, hosts)
    soak = Soak(fleet, reactor, seed, seconds, faults)
    trigger = reactor.addSystemEventTrigger(
        "before", "shutdown", fleet.kill_all
    )
    try:
        violations = await soak.run()
    finally:
        reactor.removeSystemEventTrigger(trigger)
        await fleet.stop()
        for agent in soak.agents.values():
            await agent._pool.closeCachedConnections()
    return soak, violations


@click.command("hyssop-soak")
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option("--runs", default=1, show_default=True, help="Seeds to play.")
@click.option("--seconds", default=30.0, show_default=True)
@click.option("--hosts", default=7, show_default=True)
@click.option("--faults", default="", help="Names of faults, by commas.")
@click.option("--logs", type=click.Path(), help="Folder to keep logs in.")
@click.version_option(package_name="hyssopspring")
def main(seed, runs, seconds, hosts, faults, logs):
    """Play seeded faults against real entry processes on loopback."""
    wanted = set(filter(None, faults.split(",")))
    chosen = tuple(
        one for one in Fault if not wanted or one.value[0] in wanted
    )

    async def play(reactor):
        broken = 0
        for number in range(seed, seed + runs):
            folder = pathlib.Path(logs or tempfile.mkdtemp()) / str(number)
            folder.mkdir(parents=True, exist_ok=True)
            soak, violations = await run_soak(
                reactor, number, seconds, hosts, folder, chosen
            )
            for line in soak.report(violations):
                click.echo(line)
            click.echo(f"  logs: {folder}")
            broken += bool(violations)
        if broken:
            sys.exit(1)

    task.react(lambda reactor: defer.ensureDeferred(play(reactor)))


if __name__ == "__main__":
    main()
