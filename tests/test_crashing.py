"""Requests under which servers end: what callers and servers see."""

import json
from base64 import b64decode

import pytest
import pytest_twisted
from entry_hosts import BROKEN, keyed_configuration
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, LessThan
from twisted.internet import defer
from twisted.web.http_headers import Headers

from hyssopspring.core.sentinels import NOTHING
from hyssopspring.entry.crashstore import CRASHES_PREFIX
from hyssopspring.entry.endings import fingerprint_of
from hyssopspring.records import cause_of, read_records

CRASHING = b"draft that no server survives"
USAGE = {"x_token_usage": "100,20", "x_prompt_prefix": "ab:60,cd:40"}
REPEATS = 4
MOST_RETRIES = 3
"""Sends to servers that are allowed once three servers have ended."""


class EndingServers:
    """Servers that end under one request, and are back at once.

    Args:
        hosts: The `Hosts`.
        service: Service of the servers.
    """

    def __init__(self, hosts, service):
        self.hosts = hosts
        self.service = service
        self.count = 0
        for region in ("north", "south"):
            for _ in range(2):
                self.add(region)
        for name in (f"{service}-north", f"{service}-south"):
            hosts.store.remove(f"servers/{name}")

    def add(self, region):
        """Start one more server."""
        self.count += 1
        name = f"{self.service}-{region}-{self.count}"
        backend = self.hosts.add_backend(name, self.service, region)
        backend.region = region
        backend.crashed_by = CRASHING

    @property
    def servers(self):
        """The servers that can end so, those that have ended too."""
        return [
            one
            for one in self.hosts.backends.values()
            if one.crashed_by is not None and self.service in one.name
        ]

    def restart(self):
        """Start a server for each that has ended since the last call."""
        for backend in self.servers:
            key = f"servers/{backend.name}"
            if not backend.up and key in self.hosts.store.items:
                self.hosts.store.remove(key)
                self.add(backend.region)

    async def settled(self):
        """Wait until the hosts know the servers that are up."""
        up = {one.name for one in self.servers if one.up}

        def known():
            return all(
                up == {name for name in one.registry.servers if name in up}
                for one in self.hosts.processes.values()
            )

        await self.hosts.until(known)

    @property
    def ended(self):
        """How many servers have ended."""
        return sum(not one.up for one in self.servers)

    @property
    def sent(self):
        """How many requests have reached servers that end so."""
        return sum(len(one.seen) for one in self.servers)


@pytest.fixture
def send(hosts):
    """Return a function that sends a request and says how it ended."""

    async def send(host, path, number, body, **headers):
        try:
            status, found, _ = await hosts.send(
                host,
                path,
                identifier=f"r{number}",
                method=b"POST",
                body=body,
                **headers,
            )
        except BROKEN:
            return 0, None
        return status, found

    return send


async def repeat(crashes, send, path, **headers):
    """Send the request until three servers have ended, and then again.

    Returns:
        How often it was sent to servers after the third had ended.
    """
    ended, sent = crashes.ended, NOTHING
    for number in range(4 * REPEATS):
        await crashes.settled()
        host = ("h-north", "h-south")[number % 2]
        await send(host, path, number, CRASHING, **headers)
        if sent is NOTHING and crashes.ended >= ended + 3:
            sent = crashes.sent
        crashes.restart()
    assert sent is not NOTHING, "three servers never ended"
    return crashes.sent - sent


@pytest_twisted.ensureDeferred
async def test_a_request_that_ends_servers_is_sent_to_few(hosts, send):
    """Everybody's streams are cut, again and again.

    A server ends as soon as it begins to run one request. The host sends
    it to another, which ends too; its caller comes back to other hosts,
    and each began anew, as identifiers differ and no host remembered under
    which request servers had ended: 28 sends after the third end. Shown by
    lines that name what repeats share, and by this test without a memory.
    """
    plain, engines = (
        EndingServers(hosts, "plain"),
        EndingServers(hosts, "engine"),
    )
    again = [
        await repeat(plain, send, "/lookup/a"),
        await repeat(plain, send, "/post/a"),
        await repeat(engines, send, "/quote/a", **USAGE),
        await repeat(engines, send, "/review/a", **USAGE),
    ]
    assert_that(max(again), LessThan(MOST_RETRIES + 1))


@pytest_twisted.ensureDeferred
async def test_lines_say_which_repeats_are_one_request(hosts, send):
    """Nobody can tell which request servers end under.

    Repeats bear new identifiers. The line of an ended server names what
    they share; a server that only breaks off an answer has no such line.
    """
    crashes = EndingServers(hosts, "plain")
    await crashes.settled()
    hosts.backends["engine-north"].mood = "cut"
    await send("h-north", "/review/a", 1, b"", **USAGE)
    await send("h-north", "/post/a", 2, CRASHING)
    await send("h-south", "/post/a", 3, CRASHING)
    await hosts.until(lambda: len(lines_of(hosts, "server_ended")) == 2)
    lines = lines_of(hosts, "server_ended")
    assert_that({line["request"] for line in lines}, Equals({"r2", "r3"}))
    assert_that(len({line["fingerprint"] for line in lines}), Equals(1))
    assert_that({line["caller"] for line in lines}, Equals({"127.0.0.1"}))


def lines_of(hosts, event):
    """Return the log lines of one kind of event, decoded."""
    lines = map(json.loads, hosts.lines)
    return [line for line in lines if line.get("event") == event]


@pytest_twisted.ensureDeferred
async def test_a_request_that_comes_from_several_addresses_is_blocked(
    hosts, send
):
    """Servers end in each region anew, three at a time.

    The caller of a request comes from another address in each region. A
    host that takes each for another caller lets each of them end three
    servers. That another caller sends the same is shown by one try only.
    """
    crashes = EndingServers(hosts, "plain")
    sent = NOTHING
    for number in range(16):
        await crashes.settled()
        host = ("h-north", "h-south")[number % 2]
        source = f"127.0.0.{40 + number // 4}"
        await send(host, "/post/a", number, CRASHING, source=source)
        if sent is NOTHING and crashes.ended >= 3:
            sent = crashes.sent
        crashes.restart()
    assert_that(crashes.sent - sent, LessThan(MOST_RETRIES + 1))


async def block(crashes, send, path, **headers):
    """Send the request until it is refused everywhere."""
    for number in range(12):
        host = ("h-north", "h-south")[number % 2]
        await crashes.settled()
        status, _ = await send(host, path, 100 + number, CRASHING, **headers)
        crashes.restart()
        if status == 503:
            return
    raise AssertionError("never refused")


@pytest_twisted.ensureDeferred
async def test_a_blocked_request_is_refused_at_once_and_for_good(hosts, send):
    """Its caller comes back in vain, or is told that it may have run.

    Nothing of this try ran, so it is told so; no time to come back is
    named, and the line says which servers ended and which host saw it.
    """
    crashes = EndingServers(hosts, "plain")
    await block(crashes, send, "/post/a")
    await hosts.until(lambda: known_as_bad(hosts))
    sent = crashes.sent
    for host in ("h-north", "h-south"):
        status, headers = await send(host, "/post/a", host, CRASHING)
        assert_that(status, Equals(503))
        assert_that(headers.getRawHeaders(b"retry-after"), Equals(None))
    assert_that(crashes.sent, Equals(sent))
    await hosts.until(lambda: evidence_of(hosts, "rh-south"))
    ended = {one.name for one in crashes.servers if not one.up}
    assert any(name in evidence_of(hosts, "rh-south") for name in ended)
    records = read_records(hosts.lines)
    mine = [one for one in records if one.request == "rh-south"]
    assert_that(
        cause_of(mine), Contains("server crashes while it was running")
    )


def all_of(hosts):
    """Return the entry processes."""
    return hosts.processes.values()


def known_as_bad(hosts):
    """Whether every host has one request blocked."""
    return all(
        any(one.blocked for one in process.crashes.suspects.values())
        for process in all_of(hosts)
    )


def evidence_of(hosts, identifier):
    """Return the evidence on the line of a refusal, or an empty string."""
    for line in lines_of(hosts, "not_run"):
        if line["request"] == identifier:
            return line["evidence"]
    return ""


@pytest_twisted.ensureDeferred
async def test_a_request_with_a_key_that_ends_servers_is_sent_to_few(
    hosts, send
):
    """Servers end without end under a request that bears a key.

    The key is not passed on to servers, nor to hosts of other regions. The
    ends were noted under what is sent, and the request was judged by what
    came in, so that no end was ever held against it.
    """
    hosts.store.put_json("op/config", keyed_configuration(2))
    await hosts.until(
        lambda: all(
            process.keeper.version == 2 and process.state.view.is_fresh
            for process in hosts.processes.values()
        )
    )
    plain = EndingServers(hosts, "plain")
    again = await repeat(plain, send, "/lookup/a", x_api_key="desk-key")
    assert_that(again, LessThan(MOST_RETRIES + 1))
    fingerprints = {
        fingerprint
        for process in hosts.processes.values()
        for fingerprint in process.crashes.suspects
    }
    assert_that(len(fingerprints), Equals(1))


@pytest_twisted.ensureDeferred
async def test_others_are_served_while_a_request_is_blocked(hosts, send):
    """Another path, or another body, is refused in its place."""
    crashes = EndingServers(hosts, "plain")
    await block(crashes, send, "/post/a")
    await crashes.settled()
    for path, body in (("/post/b", b""), ("/post/a", b"another draft")):
        for host in ("h-north", "h-south"):
            status, _ = await send(host, path, f"{host}{path}", body)
            assert_that(status, Equals(200))


@pytest.mark.parametrize(
    "changed",
    [
        {"headers": Headers({b"authorization": [b"a"]})},
        {"key_digest": "another"},
        {"method": b"PUT"},
        {"headers": Headers({b"host": [b"b.example"]})},
        {"uri": b"/post/a?x=1"},
        {"body": b"bodY"},
    ],
)
def test_another_caller_path_or_body_is_another_request(changed):
    """One caller's request is refused, as another's ends servers."""
    same = {
        "method": b"POST",
        "headers": Headers({b"Host": [b"a.example"]}),
        "uri": b"/post/a",
        "body": b"body",
    }
    again = {**same, "headers": Headers({b"host": [b"A.example"]})}
    assert_that(fingerprint_of(**same), Equals(fingerprint_of(**again)))
    assert fingerprint_of(**same) != fingerprint_of(**{**same, **changed})


@pytest_twisted.ensureDeferred
async def test_another_caller_is_served_the_same_request(hosts, send):
    """A caller is refused for what another one's request did.

    The servers that have started since run it well.
    """
    crashes = EndingServers(hosts, "plain")
    await block(crashes, send, "/post/a")
    await hosts.until(lambda: known_as_bad(hosts))
    for backend in crashes.servers:
        backend.crashed_by = b"another"
    await crashes.settled()
    for source, expected in (("127.0.0.41", 200), ("127.0.0.1", 503)):
        for host in ("h-north", "h-south"):
            status, _ = await send(
                host, "/post/a", source, CRASHING, source=source
            )
            assert_that(status, Equals(expected))


@pytest_twisted.ensureDeferred
async def test_a_request_that_another_region_ran_is_blocked(hosts, send):
    """Servers of one region end, and the region of its callers goes on.

    The route is bound to the south; callers of the north are sent there.
    """
    crashes = EndingServers(hosts, "plain")
    for number in range(12):
        await crashes.settled()
        await send("h-north", "/bound/a", number, CRASHING)
        crashes.restart()
    assert_that(crashes.ended, LessThan(3 + MOST_RETRIES + 1))
    await hosts.until(lambda: known_as_bad(hosts))


@pytest_twisted.ensureDeferred
async def test_a_host_that_starts_alone_reads_what_is_blocked(hosts, send):
    """All hosts end at once, and the first one back ends servers again."""
    crashes = EndingServers(hosts, "plain")
    await block(crashes, send, "/post/a")
    await hosts.until(lambda: stored_as_blocked(hosts.store))
    for name in list(hosts.processes):
        await hosts.processes.pop(name).close()
    hosts.add_host("h-alone", "north", 2)
    await hosts.until(hosts.processes["h-alone"].is_ready)
    await hosts.until(lambda: hosts.processes["h-alone"].crashes.suspects)
    sent = crashes.sent
    status, _ = await send("h-alone", "/post/a", 1, CRASHING)
    assert_that((status, crashes.sent), Equals((503, sent)))


def stored_as_blocked(store):
    """Whether the store holds a request that is blocked."""
    return any(
        json.loads(b64decode(item["value"]))["row"][2]
        for key, item in store.items.items()
        if key.startswith(CRASHES_PREFIX)
    )


@pytest_twisted.ensureDeferred
async def test_servers_that_only_break_off_block_nothing(hosts, send):
    """A request is refused whose servers live on."""
    crashes = EndingServers(hosts, "plain")
    for backend in crashes.servers:
        backend.mood = "reset"
    for number in range(6):
        host = ("h-north", "h-south")[number % 2]
        await send(host, "/post/a", number, b"a draft")
    for process in all_of(hosts):
        assert_that(process.crashes.suspects, Equals({}))


@pytest_twisted.ensureDeferred
async def test_servers_that_were_to_leave_block_nothing(hosts, send):
    """A request is refused that was at servers when they were released.

    A server says that it leaves, goes on with what it has, and ends.
    """
    crashes = EndingServers(hosts, "plain")
    for number in range(4):
        await crashes.settled()
        waiting = [one for one in crashes.servers if one.up]
        for backend in waiting:
            backend.crashed_by, backend.mood = b"-", "silent"
        answer = send("h-north", "/post/a", number, b"a draft")
        answer = defer.ensureDeferred(answer)
        await hosts.until(lambda up=waiting: any(one.ran for one in up))
        (at,) = [one for one in waiting if one.ran]
        hosts.store.put_json(f"servers/{at.name}", entry_of(hosts, at))
        north = hosts.processes["h-north"].registry
        await hosts.until(
            lambda one=at, known=north: is_leaving(known, one.name)
        )
        at.crash()
        await answer
        crashes.restart()
    for process in all_of(hosts):
        assert_that(process.crashes.suspects, Equals({}))


def entry_of(hosts, backend):
    """Return the entry of a server that leaves."""
    item = hosts.store.items[f"servers/{backend.name}"]
    entry = json.loads(b64decode(item["value"]))
    return {**entry, "state": "draining", "seq": 2}


def is_leaving(registry, name):
    """Whether a host knows that a server leaves."""
    return registry.servers[name].entry.leaving
