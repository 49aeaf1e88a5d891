"""Requests that crash servers: what callers and servers observe."""

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
from hyssopspring.entry.crashdetection import fingerprint_of
from hyssopspring.entry.crashstore import CRASHES_PREFIX
from hyssopspring.records import cause_of, read_records

CRASHING = b"draft that no server survives"
USAGE = {"x_token_usage": "100,20", "x_prompt_prefix": "ab:60,cd:40"}
OTHER_PARTS = {"x_token_usage": "100,20", "x_prompt_prefix": "ef:60,cd:40"}
REPEATS = 4
MOST_RETRIES = 3
"""Maximum number of times that a request may be sent to servers after it has
crashed three of them."""


class CrashingServers:
    """Servers that crash under one request and are restarted.

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
        """Servers that crash under the request, including crashed ones."""
        return [
            one
            for one in self.hosts.backends.values()
            if one.crashed_by is not None and self.service in one.name
        ]

    def restart(self):
        """Start a server for each that has crashed since the last call."""
        for backend in self.servers:
            key = f"servers/{backend.name}"
            if not backend.up and key in self.hosts.store.items:
                self.hosts.store.remove(key)
                self.add(backend.region)

    async def settled(self):
        """Wait until the hosts have registered the servers that are up."""
        up = {one.name for one in self.servers if one.up}

        def known():
            return all(
                up == {name for name in one.registry.servers if name in up}
                for one in self.hosts.processes.values()
            )

        await self.hosts.until(known)

    @property
    def crashed(self):
        """Number of servers that have crashed."""
        return sum(not one.up for one in self.servers)

    @property
    def sent(self):
        """Number of requests that these servers have received."""
        return sum(len(one.seen) for one in self.servers)


@pytest.fixture
def send(hosts):
    """Return a function that sends a request and returns its result."""

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


async def send_repeatedly(crashes, send, path, **headers):
    """Send the request until it has crashed three servers, and then again.

    Returns:
        How often it was sent to servers after the third crash.
    """
    crashed, sent = crashes.crashed, NOTHING
    for number in range(4 * REPEATS):
        await crashes.settled()
        host = ("h-north", "h-south")[number % 2]
        await send(host, path, number, CRASHING, **headers)
        if sent is NOTHING and crashes.crashed >= crashed + 3:
            sent = crashes.sent
        crashes.restart()
    assert sent is not NOTHING, "the request never crashed three servers"
    return crashes.sent - sent


@pytest_twisted.ensureDeferred
async def test_a_request_that_ends_servers_is_sent_to_few(hosts, send):
    """A request that crashes servers is not sent to one after another.

    A server crashes as soon as it starts to run one request, which aborts all
    streams that run there. The host sends the request to another server, which
    crashes too, and its caller retries at other hosts. Identifiers of retries
    differ, so hosts that do not record which request crashed servers start
    again each time: 28 sends after the third crash. The log shows this by the
    fingerprint that repeats share, and so does this test if nothing is
    recorded.
    """
    plain, engines = (
        CrashingServers(hosts, "plain"),
        CrashingServers(hosts, "engine"),
    )
    again = [
        await send_repeatedly(plain, send, "/lookup/a"),
        await send_repeatedly(plain, send, "/post/a"),
        await send_repeatedly(engines, send, "/quote/a", **USAGE),
        await send_repeatedly(engines, send, "/review/a", **OTHER_PARTS),
    ]
    assert_that(max(again), LessThan(MOST_RETRIES + 1))


@pytest_twisted.ensureDeferred
async def test_lines_say_which_repeats_are_one_request(hosts, send):
    """Log lines show which request crashes servers.

    Repeats have new identifiers. The line of a crashed server contains the
    fingerprint that they share; a server that only ends a response early has
    no such line.
    """
    crashes = CrashingServers(hosts, "plain")
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
    """Return the decoded log lines of one kind of event."""
    lines = map(json.loads, hosts.lines)
    return [line for line in lines if line.get("event") == event]


@pytest_twisted.ensureDeferred
async def test_a_request_that_comes_from_several_addresses_is_blocked(
    hosts, send
):
    """A request is blocked although its caller's address changes.

    The caller has another address in each region. If each host took each
    address for another caller, the request would crash three servers for each
    of them. The same request from another address gets a single try instead.
    If that crashes a server as well, it is blocked for every caller.
    """
    crashes = CrashingServers(hosts, "plain")
    sent = NOTHING
    for number in range(16):
        await crashes.settled()
        host = ("h-north", "h-south")[number % 2]
        source = f"127.0.0.{40 + number // 4}"
        await send(host, "/post/a", number, CRASHING, source=source)
        if sent is NOTHING and crashes.crashed >= 3:
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
    raise AssertionError("the request was never refused")


@pytest_twisted.ensureDeferred
async def test_a_blocked_request_is_refused_at_once_and_for_good(hosts, send):
    """A blocked request is refused as not run, and without a Retry-After.

    Its caller must not retry in vain, nor be informed that it may have run,
    since nothing of this attempt did. The log line contains the servers that
    crashed and the host that observed it.
    """
    crashes = CrashingServers(hosts, "plain")
    await block(crashes, send, "/post/a")
    await hosts.until(lambda: blocked_on_all_hosts(hosts))
    sent = crashes.sent
    for host in ("h-north", "h-south"):
        status, headers = await send(host, "/post/a", host, CRASHING)
        assert_that(status, Equals(503))
        assert_that(headers.getRawHeaders(b"retry-after"), Equals(None))
    assert_that(crashes.sent, Equals(sent))
    await hosts.until(lambda: evidence_of(hosts, "rh-south"))
    crashed = {one.name for one in crashes.servers if not one.up}
    assert any(name in evidence_of(hosts, "rh-south") for name in crashed)
    records = read_records(hosts.lines)
    mine = [one for one in records if one.request == "rh-south"]
    assert_that(
        cause_of(mine), Contains("server crashes while it was running")
    )


def processes_of(hosts):
    """Return the entry processes."""
    return hosts.processes.values()


def blocked_on_all_hosts(hosts):
    """Return whether every host has one request blocked."""
    return all(
        any(one.blocked for one in process.crashes.suspects.values())
        for process in processes_of(hosts)
    )


def evidence_of(hosts, identifier):
    """Return the evidence in the line of a refusal, or an empty string."""
    for line in lines_of(hosts, "not_run"):
        if line["request"] == identifier:
            return line["evidence"]
    return ""


@pytest_twisted.ensureDeferred
async def test_a_request_with_a_key_that_ends_servers_is_sent_to_few(
    hosts, send
):
    """A request with a key that crashes servers is blocked.

    The key is forwarded neither to servers nor to hosts of other regions. If
    crashes were recorded under the fingerprint of the request that was sent,
    and looked up under that of the request that was received, no crash would
    ever count against it.
    """
    hosts.store.put_json("op/config", keyed_configuration(2))
    await hosts.until(
        lambda: all(
            process.keeper.version == 2 and process.state.view.is_fresh
            for process in hosts.processes.values()
        )
    )
    plain = CrashingServers(hosts, "plain")
    again = await send_repeatedly(
        plain, send, "/lookup/a", x_api_key="desk-key"
    )
    assert_that(again, LessThan(MOST_RETRIES + 1))
    fingerprints = {
        fingerprint
        for process in hosts.processes.values()
        for fingerprint in process.crashes.suspects
    }
    assert_that(len(fingerprints), Equals(1))


@pytest_twisted.ensureDeferred
async def test_others_are_served_while_a_request_is_blocked(hosts, send):
    """Another path or another body is not refused with the blocked request."""
    crashes = CrashingServers(hosts, "plain")
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
    """Requests of other callers, paths or bodies have other fingerprints.

    One caller's request would otherwise be refused because another's crashes
    servers.
    """
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
    """A caller is not refused for the crashes of another one's request.

    The servers that have started since run the request well.
    """
    crashes = CrashingServers(hosts, "plain")
    await block(crashes, send, "/post/a")
    await hosts.until(lambda: blocked_on_all_hosts(hosts))
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
    """A host blocks a request that crashes servers of another region.

    The route is bound to the south, and callers of the north are served there.
    If only the south recorded the crashes, the north would continue to send
    the request.
    """
    crashes = CrashingServers(hosts, "plain")
    for number in range(12):
        await crashes.settled()
        await send("h-north", "/bound/a", number, CRASHING)
        crashes.restart()
    assert_that(crashes.crashed, LessThan(3 + MOST_RETRIES + 1))
    await hosts.until(lambda: blocked_on_all_hosts(hosts))


@pytest_twisted.ensureDeferred
async def test_a_host_that_starts_alone_reads_what_is_blocked(hosts, send):
    """Blocked requests are read from the store after a failure of all hosts.

    Otherwise the first host that starts again would send them to servers.
    """
    crashes = CrashingServers(hosts, "plain")
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


@pytest_twisted.ensureDeferred
async def test_blocked_requests_are_written_again_after_a_restore(hosts, send):
    """A restore of the store loses blocked requests for hosts that start."""
    copy = hosts.store.copy()
    crashes = CrashingServers(hosts, "plain")
    await block(crashes, send, "/post/a")
    await hosts.until(lambda: stored_as_blocked(hosts.store))
    hosts.store.restore(copy)
    assert_that(stored_as_blocked(hosts.store), Equals(False))
    await hosts.until(lambda: stored_as_blocked(hosts.store))


def stored_as_blocked(store):
    """Return whether the store contains a request that is blocked."""
    return any(
        json.loads(b64decode(item["value"]))["row"][2]
        for key, item in store.items.items()
        if key.startswith(CRASHES_PREFIX)
    )


@pytest_twisted.ensureDeferred
async def test_servers_that_only_break_off_block_nothing(hosts, send):
    """A request is not blocked if its servers keep running."""
    crashes = CrashingServers(hosts, "plain")
    for backend in crashes.servers:
        backend.mood = "reset"
    for number in range(6):
        host = ("h-north", "h-south")[number % 2]
        await send(host, "/post/a", number, b"a draft")
    for process in processes_of(hosts):
        assert_that(process.crashes.suspects, Equals({}))


@pytest_twisted.ensureDeferred
async def test_servers_that_were_to_leave_block_nothing(hosts, send):
    """A request is not blocked for servers that ended as they were released.

    A server announces that it is leaving, completes its requests, and ends.
    """
    crashes = CrashingServers(hosts, "plain")
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
    for process in processes_of(hosts):
        assert_that(process.crashes.suspects, Equals({}))


def entry_of(hosts, backend):
    """Return the registry entry of a server that is leaving."""
    item = hosts.store.items[f"servers/{backend.name}"]
    entry = json.loads(b64decode(item["value"]))
    return {**entry, "state": "draining", "seq": 2}


def is_leaving(registry, name):
    """Return whether a host has recorded that a server is leaving."""
    return registry.servers[name].entry.leaving
