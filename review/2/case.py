"""All hosts are killed once, in two groups; streams are not taken up."""

import asyncio
import json
import os
import pathlib
import random
import signal
import sys
import tempfile
from collections import Counter

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.client import Answer, Clients  # noqa: E402
from standins.fleet import Fleet  # noqa: E402
from standins.recorder import Recorder  # noqa: E402
from standins.server import Server  # noqa: E402
from standins.store import Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1")
"""0: no process is killed. 2: the second group only, to compare."""

ZONES = {
    "dar-kariakoo": "dar",
    "arusha-njiro": "arusha",
    "mwanza-ilemela": "mwanza",
}
HOSTS = {"dar-kariakoo": 3, "arusha-njiro": 2, "mwanza-ilemela": 2}
SERVICE = "hyssop-llm"
HOST_NAME = "desk.example"
SERVERS = {"dar-kariakoo": 2, "arusha-njiro": 2, "mwanza-ilemela": 1}
"""As on the sheet. All servers have one version."""

VERSION = "v1"

EVENTS = 140
EVENT_SECONDS = 0.1
PREFILL_SECONDS = 0.05
"""A long draft: the site file has up to 191 events, 300 ms between two."""

BUSY_SECONDS = 5.0
BUSY_PER_SECOND = 6.0
CALM_PER_SECOND = 0.8
"""The traffic of a zone falls from 2.3 to 0.3 of its mean in the site file."""

DEADLINE_SECONDS = 15.0

WARM_UP_SECONDS = 9.0
"""Over the start of the hosts and `stable_window_ms`."""

FIRST_KILLED = (0, 3, 5)
SECOND_KILLED = (1, 2, 4, 6)
"""Numbers of the hosts that are killed at once: the first of each zone, then
the others. `herd_kill` kills a share of 0.6 at most: four of seven."""

DOWN_SECONDS = 0.5
"""Until a killed process is started again; up to 2.0 s in the site file."""

SECOND_KILL_AFTER = 7.5
"""Seconds after the first kill: the hosts killed then have run for over
`stable_window_ms` and are in touch."""

STABLE_SECONDS = 6.0
NEW_SECONDS = 5.0
"""Seconds for which new streams are sent after the second kill."""

TAKE_UPS = 2
"""Times that a client returns after a break. It honours Retry-After up to a
third of the time that it has left."""

LEAST_TAKEN_UP = 12
LEAST_SHARE = 0.5
"""LOST: of 12 or more streams that are taken up again, less than half of the
share of new streams that begin."""

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-quote",
            "host": HOST_NAME,
            "prefix": "/quote/",
            "kind": "streaming",
            "timeout_ms": 15000,
            "target_latency_ms": 600,
            "priority": 0,
            "service": SERVICE,
            "max_attempts": 2,
            "sticky": True,
            "resumable": True,
            "gap_aim_ms": 300,
            "home_regions": ["dar", "arusha"],
        }
    ],
    "services": [
        {
            "name": SERVICE,
            "health_path": "/health",
            "max_conns": 360,
            "cold_s": 0.0,
            "cold_per_s": 0.0,
            "engine": {"slots": 64, "kv_capacity_tokens": 289720},
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 5000,
        "idle_timeout_ms": 15000,
    },
}


async def answer(server, head, body, writer):
    """Run one request: a stream of numbered events."""
    first = int(head.get("last-event-id", "0")) + 1
    await asyncio.sleep(PREFILL_SECONDS)
    server.record(
        event="run",
        request=head.get("x-request-attempt-id"),
        server=server.id,
        version=server.version,
        first=first,
    )
    server.begin_stream(writer, server.headers(head, first))
    for number in range(first, EVENTS + 1):
        data = {"n": number, "version": server.version}
        await server.send_event(writer, number, data)
        await asyncio.sleep(EVENT_SECONDS)
    server.end_stream(writer)


def numbers_of(body):
    """Return the numbers of the complete events of a stream."""
    blocks = body.decode().split("\n\n")[:-1]
    rows = [row for block in blocks for row in block.split("\n")]
    return [
        json.loads(row[len("data: ") :])["n"]
        for row in rows
        if row.startswith("data: ")
    ]


def text_of(found):
    """Return what an answer other than a stream says."""
    return found.why or found.body[:80].decode("latin-1")


class Caller:
    """A client with one stream, which it takes up again when it breaks.

    Attributes:
        events: Numbers of the events received so far.
        begun: Whether the first attempt brought an event.
        whole: Whether the stream has ended as complete.
        breaks: For each break, whether the stream went on at any host, and
            whether it was taken up at one that was in touch.
    """

    def __init__(self, case):
        self.case = case
        self.sent_at = case.record.now
        self.events = []
        self.begun = False
        self.whole = False
        self.breaks = []
        self.first_attempt = ""
        self.failed = set()

    @property
    def time_left(self):
        """Seconds until its deadline."""
        return self.sent_at + DEADLINE_SECONDS - self.case.record.now

    async def run(self):
        """Send the stream, and take it up as long as it breaks."""
        await self.attempt()
        self.begun = bool(self.events)
        while self.events and not self.whole and self.time_left > 0.5:
            known = len(self.events)
            in_touch = False
            for _ in range(TAKE_UPS):
                found, reached_in_touch = await self.attempt()
                in_touch = in_touch or reached_in_touch
                if len(self.events) > known or self.whole:
                    break
                wait = float(found.headers.get("retry-after", "0"))
                await asyncio.sleep(min(wait, self.time_left / 3))
            went_on = len(self.events) > known or self.whole
            self.breaks.append((went_on, in_touch))
            if not went_on:
                return

    def headers(self, request):
        """Return the headers of an attempt."""
        rows = [
            ("X-Request-Attempt-Id", request),
            ("X-Model", "m"),
            ("X-Token-Usage", f"628,{EVENTS * 5}"),
            ("X-Prompt-Prefix", f"{request}:628"),
            ("X-Deadline-Ms", int(self.time_left * 1000)),
        ]
        if self.events:
            rows.append(("Last-Event-Id", self.events[-1]))
            rows.append(("Resumes", self.first_attempt))
        return rows

    async def attempt(self):
        """Send one attempt; return its `Answer` and if its host is in touch.

        A client picks an address at random, except for those that failed it.
        """
        case = self.case
        found, request = Answer(), ""
        address, in_touch, sent_at = "", False, 0.0
        while not found.status and self.time_left > 0:
            addresses = await case.clients.resolve()
            left = [one for one in addresses if one not in self.failed]
            if not left:
                case.clients.valid_until = 0.0
                self.failed.clear()
                await asyncio.sleep(0.2)
                continue
            address = random.choice(left)
            in_touch = case.is_in_touch(address)
            sent_at = case.record.now
            request = case.clients.new_id()
            found = await case.clients.exchange(
                address,
                "POST",
                "/quote/draft",
                self.headers(request),
                b"draft " * 20,
            )
            if not found.whole:
                self.failed.add(address)
        numbers = numbers_of(found.body) if found.status == 200 else []
        if numbers and not self.events:
            self.first_attempt = request
        case.record(
            event="answer",
            request=request,
            takes_up=self.first_attempt if self.events else "",
            host=case.name_of(address),
            in_touch=in_touch,
            sent_at=round(sent_at, 3),
            status=found.status,
            events=[numbers[0], numbers[-1]] if numbers else [],
            whole=found.whole,
            why=found.why if found.status == 200 else text_of(found),
        )
        self.events += numbers
        self.whole = self.whole or (found.status == 200 and found.whole)
        return found, in_touch


class Case:
    """The parts of one play."""

    def __init__(self, record, fleet):
        self.record = record
        self.fleet = fleet
        self.started = {}
        self.clients = Clients(
            [host.directory for host in fleet.hosts[:3]],
            HOST_NAME,
            "dar",
            "dar-kariakoo",
            record,
        )
        self.before = []
        self.after = []

    def name_of(self, address):
        """Return the name of the host at an address."""
        ip = address.rpartition(":")[0]
        names = [one.name for one in self.fleet.hosts if one.ip == ip]
        return names[0] if names else ""

    def is_in_touch(self, address):
        """Return whether a host has run for `stable_window_ms`."""
        started = self.started.get(self.name_of(address), 0.0)
        return self.record.now - started >= STABLE_SECONDS

    async def send(self, callers, rate, until):
        """Begin streams until the time *until*; return their tasks."""
        tasks = []
        while self.record.now < until:
            callers.append(Caller(self))
            tasks.append(asyncio.ensure_future(callers[-1].run()))
            await asyncio.sleep(1 / rate)
        return tasks

    async def kill(self, numbers):
        """Kill some hosts at once, and start them again."""
        hosts = [self.fleet.hosts[number] for number in numbers]
        for host in hosts:
            host.send_signal(signal.SIGKILL)
        for host in hosts:
            host.process.wait()
        await asyncio.sleep(DOWN_SECONDS)
        for host in hosts:
            host.start()
            self.started[host.name] = self.record.now

    async def make_trouble(self, first_at):
        """Kill the two groups of hosts."""
        if TROUBLE == "0":
            return
        await asyncio.sleep(first_at - self.record.now)
        if TROUBLE != "2":
            await self.kill(FIRST_KILLED)
        await asyncio.sleep(first_at + SECOND_KILL_AFTER - self.record.now)
        await self.kill(SECOND_KILLED)

    async def play(self):
        """Play the case; return its exit status."""
        await asyncio.sleep(WARM_UP_SECONDS)
        first_at = self.record.now + BUSY_SECONDS
        second_at = first_at + SECOND_KILL_AFTER
        trouble = asyncio.ensure_future(self.make_trouble(first_at))
        tasks = await self.send(self.before, BUSY_PER_SECOND, first_at)
        tasks += await self.send(self.before, CALM_PER_SECOND, second_at)
        tasks += await self.send(
            self.after, BUSY_PER_SECOND, second_at + NEW_SECONDS
        )
        await asyncio.gather(trouble, *tasks)
        return self.judge()

    def judge(self):
        """Judge what the clients have seen."""
        callers = self.before + self.after
        counted = [
            went_on
            for caller in callers
            for went_on, in_touch in caller.breaks
            if in_touch
        ]
        began = sum(one.begun for one in callers) / len(callers)
        began_after = sum(one.begun for one in self.after)
        ends = Counter("whole" if one.whole else "cut" for one in callers)
        self.record.say(f"streams sent: {len(callers)}; ends: {dict(ends)}")
        self.record.say(
            f"new streams that began: {began:.2f} of all, {began_after} of "
            f"{len(self.after)} since the time of the second kill"
        )
        self.record.say(
            f"streams taken up again at hosts in touch: {len(counted)}, "
            f"of them went on: {sum(counted)}"
        )
        if began < LEAST_SHARE:
            self.record.say("could not run: most streams did not begin")
            return 2
        if TROUBLE not in ("0", "2") and len(counted) < LEAST_TAKEN_UP:
            self.record.say("could not run: too few streams were broken")
            return 2
        if len(counted) < LEAST_TAKEN_UP:
            return 0
        return 1 if sum(counted) / len(counted) < LEAST_SHARE * began else 0


async def start_servers(store, record):
    """Start all servers."""
    number = 0
    for zone, count in SERVERS.items():
        for _ in range(count):
            number += 1
            server = Server(
                store,
                record,
                "127.0.0.1",
                f"i-{number:08x}",
                SERVICE,
                zone,
                VERSION,
                64,
            )
            server.answer = answer
            await server.start()


async def main():
    """Run the case; return its exit status."""
    record = Recorder(FOLDER / "record.txt")
    store = Store()
    await store.start("127.0.0.1")
    await store.put_json("op/config", CONFIGURATION)
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(folder, store.address, ZONES, HOSTS, record)
        try:
            await start_servers(store, record)
            fleet.start()
            if not await asyncio.to_thread(fleet.wait_ready):
                record.say("could not run: a host does not listen")
                return 2
            return await Case(record, fleet).play()
        finally:
            fleet.end()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for path in pathlib.Path(folder).iterdir():
                    (pathlib.Path(keep) / path.name).write_bytes(
                        path.read_bytes()
                    )
            record.close()


if __name__ == "__main__":
    # A time-out from outside must end the hosts as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sys.exit(asyncio.run(main()))
