"""Parts of prompts that crash servers: what callers and servers observe."""

import json
from base64 import b64decode
from dataclasses import dataclass, field

import pytest
import pytest_twisted
from entry_hosts import BROKEN, WORKSPACES, keyed_configuration
from test_crashing import CrashingServers
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, LessThan
from twisted.internet import defer, reactor, task

from hyssopspring.entry.crashstore import PARTS_PREFIX
from hyssopspring.records import cause_of, read_records

MOST_CRASHES = 5
"""Servers that may crash under requests that come one by one."""

MOST_LATE_REQUESTS = 3
"""Requests that may reach servers after the fifth crash."""


ATTACKER = {"name": "attacker", "api_keys": ["attacker-key"], "priority": 1}


class PartLoad:
    """Requests with prompts of several parts, no two of them alike.

    Args:
        hosts: The `Hosts`.
        bad: Identifiers of the parts that crash servers.
        changes: Attributes of all servers.
    """

    def __init__(self, hosts, bad=("bad",), **changes):
        self.hosts = hosts
        self.changes = {"crashing_parts": frozenset(bad), **changes}
        self.crashes = CrashingServers(hosts, "engine")
        self.count = 0
        self.mark_servers()

    def mark_servers(self):
        """Let all servers crash under the bad parts."""
        for server in self.crashes.servers:
            for name, value in self.changes.items():
                setattr(server, name, value)

    async def renew(self):
        """Start a server for each that crashed, and wait until it is known."""
        self.crashes.restart()
        self.mark_servers()
        await self.crashes.settled()

    def reached(self, parts):
        """Return how many requests with one of the parts reached servers."""
        stated = [
            seen.get(b"x-prompt-prefix", b"").decode()
            for server in self.crashes.servers
            for seen in server.seen
        ]
        return sum(any(f"{one}:" in row for one in parts) for row in stated)

    async def send(self, host, parts, path="/quote/a", source="", **headers):
        """Send one new request; return its status, or 0 if it was cut."""
        self.count += 1
        name = f"n{self.count}"
        stated = ",".join(f"{one}:20" for one in (*parts, name))
        try:
            status, _, _ = await self.hosts.send(
                host,
                path,
                identifier=name,
                method=b"POST",
                body=name.encode(),
                source=source,
                x_token_usage="100,20",
                x_prompt_prefix=stated,
                **headers,
            )
        except BROKEN:
            return 0
        return status


def host_of(number):
    """Return the name of one of the two hosts in turn."""
    return ("h-north", "h-south")[number % 2]


@pytest.mark.parametrize(
    ("path", "parts"),
    [("/quote/a", ("common", "bad")), ("/review/a", ("bad", "common"))],
)
@pytest_twisted.ensureDeferred
async def test_requests_that_share_a_crashing_part_reach_few_servers(
    hosts, path, parts
):
    """A part is blocked although no two requests with it are alike.

    Sound requests of the same caller with the other part are served.
    """
    load = PartLoad(hosts)
    await load.renew()
    sound = []
    for number in range(12):
        sound.append(await load.send(host_of(number), ("common",), path))
        await load.send(host_of(number), parts, path)
        await load.renew()
    assert_that(load.crashes.crashed, LessThan(MOST_CRASHES + 1))
    assert_that(sound, Equals([200] * 12))


HALF_EVENT = b"id: 0\ndata: event 0\n\nid: 1\ndata: a part of"
"""Beginning of a stream, which ends inside its second event."""

WHOLE_EVENT = b"id: 0\ndata: event 0\n\n"
"""Beginning of a stream, which ends after its first event."""


@dataclass
class Counts:
    """What became of a load.

    Attributes:
        crashed: Servers that crashed.
        late: Requests with the part that reached servers after the fifth
            crash.
        sound: Status of each sound request at its first attempt.
    """

    crashed: int = 0
    late: int = 0
    sound: list = field(default_factory=list)

    @property
    def served(self):
        """Share of the sound requests that were served."""
        return sum(one == 200 for one in self.sound) / len(self.sound)


async def play(load, bad, sound, *, path, seconds=6.0, every=0.125):
    """Send eight requests a second to two regions, a third of them bad.

    A server is replaced within half a second. Sound requests of the first
    two seconds, while the servers crash, are not counted.

    Args:
        load: The `PartLoad`.
        bad: Shared parts of the bad requests.
        sound: Shared parts of the sound ones.
        path: Path of all requests.
        seconds: Duration.
        every: Seconds between two requests.

    Returns:
        The `Counts`.
    """
    counts = Counts()
    reached = []
    answers = []
    begun = reactor.seconds()
    for number in range(int(seconds / every)):
        is_bad = number % 3 == 0
        parts = bad if is_bad else sound
        answer = load.send(host_of(number // 2), parts, path)
        answer = defer.ensureDeferred(answer)
        if not is_bad and reactor.seconds() > begun + 2.0:
            answers.append(answer)
        if load.crashes.crashed >= MOST_CRASHES and not reached:
            reached.append(load.reached(set(bad) - set(sound)))
        if number % 4 == 3:
            load.crashes.restart()
            load.mark_servers()
        await task.deferLater(reactor, every)
    counts.sound = [(await one) for one in answers]
    counts.crashed = load.crashes.crashed
    if reached:
        counts.late = load.reached(set(bad) - set(sound)) - reached[0]
    return counts


@pytest.mark.parametrize(
    ("path", "bad", "sound"),
    [
        ("/quote/a", ("common", "bad", "usual"), ("common", "usual")),
        ("/quote/a", ("bad", "common"), ("common",)),
        ("/review/a", ("common", "bad"), ("common",)),
        ("/quote/a", ("common", "new", "bad"), ("common",)),
    ],
)
@pytest_twisted.ensureDeferred
async def test_simultaneous_requests_with_a_crashing_part_reach_few_servers(
    hosts, path, bad, sound
):
    """Few requests with a part reach servers after the fifth crash.

    They arrive at two regions, faster than servers are replaced. Sound
    requests with the other parts are served.
    """
    load = PartLoad(hosts, crash_after=0.1)
    for _ in range(3):
        load.crashes.add("north")
        load.crashes.add("south")
    await load.renew()
    counts = await play(load, bad, sound, path=path)
    assert_that(counts.late, LessThan(MOST_LATE_REQUESTS + 1))
    assert counts.served > 0.9


@pytest.mark.parametrize(
    ("output", "closes"),
    [(HALF_EVENT, True), (HALF_EVENT, False), (WHOLE_EVENT, True)],
)
@pytest_twisted.ensureDeferred
async def test_a_stream_that_ends_as_its_server_crashes_is_no_run(
    hosts, output, closes
):
    """A server that crashes within its first events has not run the part.

    Its stream has neither length nor chunks. If it is closed in order after
    an event, only the server's address shows that it has crashed.
    """
    load = PartLoad(hosts, crash_output=output, crash_closes=closes)
    await load.renew()
    for number in range(12):
        await load.send(host_of(number), ("common", "bad"), "/review/a")
        await load.renew()
    assert_that(load.crashes.crashed, LessThan(MOST_CRASHES + 1))


@pytest_twisted.ensureDeferred
async def test_a_part_that_only_bad_requests_had_is_served(hosts):
    """A sound part is not refused because no other request had it before.

    It was in each prompt that crashed a server, and so explains the crashes
    as well as the bad part.
    """
    load = PartLoad(hosts)
    await load.renew()
    for number in range(8):
        parts = ("common", "beside", "bad")
        await load.send(host_of(number), parts, "/review/a")
        await load.renew()
    crashed = load.crashes.crashed
    assert_that(crashed, LessThan(MOST_CRASHES + 1))
    await task.deferLater(reactor, 0.4)
    found = [
        await load.send(host_of(number), ("common", "beside"), "/review/a")
        for number in range(8)
    ]
    assert_that(found, Equals([200] * 8))
    assert_that(load.crashes.crashed, Equals(crashed))


@pytest_twisted.ensureDeferred
async def test_servers_that_end_by_a_timer_blame_no_part(hosts):
    """Requests are served whose servers end for another reason.

    All prompts have their parts in common, and eight servers end one after
    the other while requests are beginning there.
    """
    load = PartLoad(hosts, bad=(), gap=0.02)
    await load.renew()
    found = []
    for number in range(24):
        answers = [
            defer.ensureDeferred(load.send(host, ("common", "usual")))
            for host in ("h-north", "h-south")
        ]
        if number % 3 == 1:
            await task.deferLater(reactor, 0.02)
            up = [one for one in load.crashes.servers if one.up and one.ran]
            up[number % len(up)].crash()
        found += [(await one) for one in answers]
        await load.renew()
    assert load.crashes.crashed == 8
    assert_that(found, Equals([200] * 48))


async def block(load):
    """Send bad requests until all hosts have blocked the part."""
    assert_that(await load.send("h-north", ("common",)), Equals(200))
    for number in range(3):
        await load.send(host_of(number), ("common", "bad"), "/review/a")
        await load.renew()
    await load.hosts.until(lambda: blocked_parts(load.hosts) == [["bad"]])


def blocked_parts(hosts):
    """Return the different lists of blocked parts of the hosts."""
    found = {
        tuple(
            one.part_id
            for one in process.crashes.suspects.values()
            if one.is_part and one.blocked
        )
        for process in hosts.processes.values()
    }
    return sorted(map(list, found))


@pytest_twisted.ensureDeferred
async def test_a_host_that_starts_alone_reads_which_parts_are_blocked(hosts):
    """A part stays blocked after a failure of all hosts."""
    load = PartLoad(hosts)
    await load.renew()
    await block(load)
    await hosts.until(
        lambda: any(key.startswith(PARTS_PREFIX) for key in hosts.store.items)
    )
    for name in list(hosts.processes):
        await hosts.processes.pop(name).close()
    hosts.add_host("h-alone", "north", 2)
    alone = hosts.processes["h-alone"]
    await hosts.until(alone.is_ready)
    await hosts.until(lambda: alone.crashes.suspects)
    crashed = load.crashes.crashed
    status = await load.send("h-alone", ("common", "bad"))
    assert_that((status, load.crashes.crashed), Equals((503, crashed)))
    assert_that(await load.send("h-alone", ("common",)), Equals(200))


@pytest_twisted.ensureDeferred
async def test_the_store_learns_that_a_part_is_sound(hosts):
    """A part that has run is not suspected again after all hosts restart.

    It was written as two equal parts explained the crashes.
    """
    load = PartLoad(hosts)
    await load.renew()
    for number in range(4):
        parts = ("common", "bad")
        await load.send(host_of(number), parts, "/review/a")
        await load.renew()
    await hosts.until(lambda: len(stored_parts(hosts)) == 2)
    await task.deferLater(reactor, 0.4)
    status = await load.send("h-north", ("common",), "/review/a")
    assert_that(status, Equals(200))
    await hosts.until(
        lambda: [bool(row[1]) for row in stored_parts(hosts)].count(True) == 1
    )


def stored_parts(hosts):
    """Return the rows of parts in the store."""
    return [
        json.loads(b64decode(item["value"]))["row"]
        for key, item in hosts.store.items.items()
        if key.startswith(PARTS_PREFIX)
    ]


def refusals_of(hosts, identifier):
    """Return the decoded lines on refusals of a request."""
    lines = hosts.decoded("not_run")
    return [line for line in lines if line["request"] == identifier]


@pytest_twisted.ensureDeferred
async def test_a_refusal_names_the_part_and_its_crashes(hosts):
    """A caller is told the truth, and operators see what is to blame.

    A Retry-After would make the caller return in vain.
    """
    load = PartLoad(hosts)
    await load.renew()
    await block(load)
    for host in ("h-north", "h-south"):
        assert_that(await load.send(host, ("common", "bad")), Equals(503))
        await hosts.until(lambda: refusals_of(hosts, f"n{load.count}"))
        (line,) = refusals_of(hosts, f"n{load.count}")
        assert_that(line["part"], Equals("bad"))
        assert "engine-" in line["evidence"]
    records = read_records(hosts.lines)
    mine = [one for one in records if one.request == f"n{load.count}"]
    assert_that(cause_of(mine), Contains("for part bad of its prompt"))
    gauges = hosts.processes["h-north"].gauges()
    assert_that(gauges["parts_blocked"], Equals(1))


@pytest_twisted.ensureDeferred
async def test_a_caller_with_a_key_cannot_block_parts_of_another(hosts):
    """A workspace is served although another one sends crashing prompts.

    Their crashes have another cause, and their prompts the workspace's part,
    which no request had before.
    """
    document = keyed_configuration(2, [*WORKSPACES, ATTACKER])
    hosts.store.put_json("op/config", document)
    await hosts.until(
        lambda: all(
            process.keeper.version == 2 and process.state.view.is_fresh
            for process in hosts.processes.values()
        )
    )
    load = PartLoad(hosts, bad=())
    await load.renew()
    for number in range(6):
        for server in load.crashes.servers:
            server.crashing_parts = frozenset({"victim"})
        await load.send(
            host_of(number),
            ("victim",),
            "/review/a",
            source=f"127.0.0.{40 + number}",
            x_api_key="attacker-key",
        )
        await load.renew()
    assert_that(load.crashes.crashed, LessThan(MOST_CRASHES + 1))
    await task.deferLater(reactor, 0.4)
    load.mark_servers()
    found = [
        await load.send(
            host_of(number), ("victim",), "/review/a", x_api_key="desk-key"
        )
        for number in range(4)
    ]
    assert_that(found, Equals([200] * 4))
