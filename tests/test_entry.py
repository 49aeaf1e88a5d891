"""Entry hosts, servers and a store on loopback, as callers see them."""

import json
from base64 import b64decode

import pytest
import pytest_twisted
from entry_hosts import configuration
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, LessThan, Not
from twisted.internet import defer, protocol, reactor, task
from twisted.web.http_headers import Headers

from hyssopspring.entry.messages import StoreChange, StoredItem
from hyssopspring.entry.relaying import (
    RELAY_HEADER,
    RelayParameters,
    encode_parameters,
)
from hyssopspring.entry.stopping import DRAIN_ACCEPT_SECONDS

USAGE = {"x_token_usage": "100,20", "x_prompt_prefix": "ab:60,cd:40"}
EVENTS = b"".join(b"id: %d\ndata: event %d\n\n" % (n, n) for n in range(4))


@pytest_twisted.ensureDeferred
async def test_a_request_is_served_whole(hosts):
    """The server's status, body and signature arrive unchanged."""
    status, headers, body = await hosts.send(
        "h-north", "/lookup/a?b=1", identifier="r1"
    )
    assert_that((status, body), Equals((200, b"whole /lookup/a?b=1")))
    assert_that(
        headers.getRawHeaders(b"x-response-stamp"),
        Equals([b"stamp-plain-north"]),
    )


@pytest_twisted.ensureDeferred
async def test_a_stream_is_served_whole(hosts):
    """Events arrive in their order, and the stream ends."""
    status, _, body = await hosts.send(
        "h-north", "/quote/a", identifier="r1", method=b"POST", **USAGE
    )
    assert_that((status, body), Equals((200, EVENTS)))


@pytest_twisted.ensureDeferred
async def test_a_stream_that_breaks_goes_on_at_another_server(hosts):
    """A stream whose server fails midway is resumed at another server.

    The first server aborts the response in the middle of an event. A server of
    the other region resumes it after the last complete event, and the caller
    receives one stream without a gap or a repeated event.
    """
    hosts.backends["engine-north"].mood = "cut"
    status, _, body = await hosts.send(
        "h-north", "/quote/a", identifier="r1", method=b"POST", **USAGE
    )
    assert_that((status, body), Equals((200, EVENTS)))
    went_on = hosts.backends["engine-south"].seen[-1]
    assert_that(went_on[b"last-event-id"], Equals(b"1"))


@pytest_twisted.ensureDeferred
async def test_a_review_that_breaks_runs_once_and_shows_its_end(hosts):
    """A request that must not be repeated runs once if its stream breaks.

    The caller must also be able to see that the response is truncated.
    """
    hosts.backends["engine-north"].mood = "cut"
    with pytest.raises(Exception) as raised:
        await hosts.send(
            "h-north", "/review/a", identifier="r1", method=b"POST", **USAGE
        )
    assert "ResponseFailed" in repr(raised.value)
    assert_that(hosts.backends["engine-north"].ran, Equals(["r1"]))
    assert_that(hosts.backends["engine-south"].ran, Equals([]))


@pytest.mark.parametrize("mood", ["error", "reset", "foreign"])
@pytest_twisted.ensureDeferred
async def test_a_lookup_is_repeated_at_another_server(hosts, mood):
    """A repeatable request is retried if another server can respond."""
    hosts.backends["plain-north"].mood = mood
    status, _, body = await hosts.send("h-north", "/lookup/a", identifier="r1")
    assert_that((status, body), Equals((200, b"whole /lookup/a")))
    assert_that(hosts.backends["plain-south"].ran, Equals(["r1"]))


@pytest.mark.parametrize("mood", ["reset", "foreign"])
@pytest_twisted.ensureDeferred
async def test_a_posting_that_may_have_run_is_not_repeated(hosts, mood):
    """A request that may have run, such as a payment, is not retried.

    The server runs the request and its response is lost. The caller must not
    be informed that the request did not run.
    """
    hosts.backends["plain-north"].mood = mood
    status, _, _ = await hosts.send(
        "h-north", "/post/a", identifier="r1", method=b"POST", body=b"x"
    )
    assert_that(status, Equals(502))
    assert_that(hosts.backends["plain-south"].ran, Equals([]))


@pytest_twisted.ensureDeferred
async def test_a_posting_that_was_refused_goes_elsewhere(hosts):
    """A request that a full server refuses runs at a server with room."""
    hosts.backends["plain-north"].mood = "full"
    status, _, _ = await hosts.send(
        "h-north", "/post/a", identifier="r1", method=b"POST", body=b"x"
    )
    assert_that(status, Equals(200))
    assert_that(hosts.backends["plain-south"].ran, Equals(["r1"]))


@pytest_twisted.ensureDeferred
async def test_refused_everywhere_means_not_run(hosts):
    """The caller is informed at once that nothing ran, with a Retry-After."""
    for name in ("plain-north", "plain-south"):
        hosts.backends[name].mood = "full"
    status, headers, _ = await hosts.send(
        "h-north", "/post/a", identifier="r1", method=b"POST", body=b"x"
    )
    assert_that(status, Equals(503))
    wait = float(headers.getRawHeaders(b"retry-after")[0])
    assert 0.0 < wait < 5.0
    ran = [one for b in hosts.backends.values() for one in b.ran]
    assert_that(ran, Equals([]))


@pytest_twisted.ensureDeferred
async def test_another_server_at_the_address_runs_nothing(hosts):
    """A server of another service does not run a misdirected request.

    The address of a server that is gone may be assigned to a new one. Each
    request names the server for which it is intended.
    """
    backend = hosts.backends["plain-north"]
    backend.name = "newcomer"
    status, _, _ = await hosts.send("h-north", "/lookup/a", identifier="r1")
    assert_that(status, Equals(200))
    assert_that(backend.ran, Equals([]))


@pytest_twisted.ensureDeferred
async def test_a_bound_request_is_served_in_its_home_only(hosts):
    """Data stay in their home region even if its servers are full."""
    status, _, _ = await hosts.send("h-north", "/bound/a", identifier="r1")
    assert_that(status, Equals(200))
    hosts.backends["plain-south"].mood = "full"
    status, _, _ = await hosts.send("h-north", "/bound/a", identifier="r2")
    assert_that(status, Equals(503))
    assert_that(hosts.backends["plain-south"].ran, Equals(["r1"]))
    assert_that(hosts.backends["plain-north"].ran, Equals([]))


@pytest_twisted.ensureDeferred
async def test_the_timeout_is_answered_at_its_moment(hosts):
    """A caller receives a response when the timeout of the route is over."""
    for name in ("plain-north", "plain-south"):
        hosts.backends[name].mood = "silent"
    began = reactor.seconds()
    status, _, _ = await hosts.send(
        "h-north", "/post/a", identifier="r1", method=b"POST", body=b"x"
    )
    assert_that(status, Equals(504))
    assert 1.4 < reactor.seconds() - began < 1.9


@pytest_twisted.ensureDeferred
async def test_work_for_a_caller_that_left_is_stopped(hosts):
    """A server stops work for a caller that has disconnected.

    The caller closes its connection while the stream runs in the other region.
    The close has to reach the server there.
    """
    engine = hosts.backends["engine-south"]
    engine.gap, engine.events = 0.2, 50
    hosts.backends["engine-north"].mood = "full"
    response = await hosts.begin(
        "h-north", "/quote/a", "r1", b"POST", b"", USAGE
    )
    reader = protocol.Protocol()
    response.deliverBody(reader)
    reader.transport.loseConnection()
    await hosts.until(lambda: engine.stopped == ["r1"])


@pytest_twisted.ensureDeferred
async def test_work_is_stopped_before_it_has_answered(hosts):
    """A server stops if the caller disconnects before the first byte."""
    server = hosts.backends["plain-south"]
    server.mood = "silent"
    waiting = hosts.begin("h-north", "/bound/a", "r1", b"GET", b"", {})
    await hosts.until(lambda: server.ran == ["r1"])
    waiting.addErrback(lambda reason: None)
    waiting.cancel()
    await hosts.until(lambda: server.stopped == ["r1"], within=0.5)


@pytest_twisted.ensureDeferred
async def test_a_change_is_in_force_soon_and_stays(hosts):
    """A new route is served, and an older document changes nothing."""
    moved = configuration(5, lookup={"prefix": "/moved/"})
    hosts.store.put_json("op/config", moved)
    north = hosts.processes["h-north"]
    await hosts.until(lambda: north.keeper.version == 5)
    status, _, _ = await hosts.send("h-north", "/moved/a", identifier="r1")
    assert_that(status, Equals(200))
    status, _, _ = await hosts.send("h-north", "/lookup/a", identifier="r2")
    assert_that(status, Equals(404))
    hosts.store.put_json("op/config", configuration(3))
    await task.deferLater(reactor, 0.2)
    assert_that(north.keeper.version, Equals(5))


@pytest_twisted.ensureDeferred
async def test_leaving_and_evacuated_servers_get_nothing(hosts):
    """A server that is leaving gets no new work, which it would abort."""
    address = hosts.backends["plain-north"].port.getHost()
    hosts.register(
        "plain-north",
        "plain",
        f"127.0.0.5:{address.port}",
        "north",
        state="draining",
    )
    north = hosts.processes["h-north"]
    await hosts.until(
        lambda: (
            not north.registry.candidates("plain", "north", reactor.seconds())
        )
    )
    status, _, _ = await hosts.send("h-north", "/lookup/a", identifier="r1")
    assert_that(status, Equals(200))
    assert_that(hosts.backends["plain-north"].ran, Equals([]))
    hosts.store.put_json("op/evacuate/south-a", {})
    await hosts.until(lambda: north.registry.evacuated == {"south-a"})
    status, _, _ = await hosts.send("h-north", "/lookup/a", identifier="r2")
    assert_that(status, Equals(503))


@pytest_twisted.ensureDeferred
async def test_hosts_serve_on_while_the_store_is_away(hosts):
    """Requests are served while the store does not respond."""
    hosts.store.down = True
    north = hosts.processes["h-north"]
    await hosts.until(lambda: north.state.contact.unavailable)
    status, _, _ = await hosts.send("h-north", "/lookup/a", identifier="r1")
    assert_that(status, Equals(200))


@pytest_twisted.ensureDeferred
async def test_a_host_that_the_store_refuses_gets_changes_from_its_region(
    hosts,
):
    """A host that the store refuses receives a new configuration.

    The store refuses the requests of this host only, and serves another host
    of the region. The host would otherwise serve a removed route for as long
    as the store refuses it.
    """
    hosts.add_host("h-north-2", "north", 5)
    await hosts.settled()
    hosts.store.refuse("127.0.0.25")
    second = hosts.processes["h-north-2"]
    second.membership.handlers[StoreChange] = lambda message: None
    moved = configuration(9, lookup={"prefix": "/moved/"})
    hosts.store.put_json("op/config", moved)
    await hosts.until(lambda: second.keeper.version == 9)


@pytest_twisted.ensureDeferred
async def test_the_directory_names_hosts_of_the_callers_region(hosts):
    """The directory returns hosts of the caller's own region.

    The body of a request bound to its home region would otherwise be sent to
    another region.
    """
    query = "/v1/resolve?name=a.example&region=north&zone=north-a"
    status, body = await hosts.page("h-south", query)
    front = hosts.processes["h-north"].settings.front
    assert_that(status, Equals(200))
    assert_that(json.loads(body)["addresses"], Equals([front]))


def note_time(result, times):
    """Append the current time to *times* and return *result*."""
    times.append(reactor.seconds())
    return result


@pytest_twisted.ensureDeferred
async def test_a_planned_stop_cuts_nothing(hosts):
    """A rolling restart does not abort the streams of callers.

    The host is asked to stop while a stream runs. It reports that it is not
    ready, the directory of the other host no longer lists it, the stream is
    completed, and new requests of callers that still use its address are
    refused as not run. The process does not end before the last bytes of the
    stream have been sent.
    """
    hosts.add_host("h-north-2", "north", 5)
    await hosts.settled()
    engine = hosts.backends["engine-north"]
    engine.gap, engine.events = 0.25, 9
    streaming = defer.ensureDeferred(
        hosts.send(
            "h-north", "/quote/a", identifier="r1", method=b"POST", **USAGE
        )
    )
    await hosts.until(lambda: engine.ran)
    north = hosts.processes["h-north"]
    stopped = defer.ensureDeferred(north.stop())
    status, _ = await hosts.page("h-north", "/v1/ready")
    assert_that(status, Equals(503))
    south = hosts.processes["h-south"]
    await hosts.until(
        lambda: (
            "h-north"
            not in [m.name for m in south.members.live(reactor.seconds())]
        )
    )
    await task.deferLater(reactor, DRAIN_ACCEPT_SECONDS)
    status, _, _ = await hosts.send(
        "h-north", "/review/a", identifier="r2", method=b"POST", **USAGE
    )
    assert_that(status, Equals(503))
    ran = [one for b in hosts.backends.values() for one in b.ran]
    assert_that(ran, Equals(["r1"]))
    ended_at = []
    streaming.addCallback(note_time, ended_at)
    await stopped
    assert streaming.called
    assert reactor.seconds() - ended_at[0] > 0.2
    status, _, body = await streaming
    assert_that((status, body.count(b"data: ")), Equals((200, 9)))


@pytest_twisted.ensureDeferred
async def test_a_request_that_comes_as_a_host_ends_is_answered(hosts):
    """Guards against a request that ends with the process that accepted it.

    The host has nothing left to do and is about to end. Then the only other
    host of its region stops as well, so it serves requests again.
    """
    hosts.add_host("h-north-2", "north", 5)
    await hosts.settled()
    engine = hosts.backends["engine-north"]
    engine.gap, engine.events = 0.1, 6
    north = hosts.processes["h-north"]
    stopped = defer.ensureDeferred(north.stop())
    await task.deferLater(reactor, DRAIN_ACCEPT_SECONDS + 0.05)
    hosts.processes["h-north-2"].members.own.leaving = True
    hosts.processes["h-north-2"].membership.send_heartbeats()
    await hosts.until(north.state.stopping.is_last_host)
    assert not stopped.called
    answer = defer.ensureDeferred(
        hosts.send(
            "h-north", "/quote/a", identifier="r1", method=b"POST", **USAGE
        )
    )
    await hosts.until(lambda: engine.ran)
    await stopped
    assert answer.called
    status, _, _ = await answer
    assert_that(status, Equals(200))


@pytest_twisted.ensureDeferred
async def test_log_lines_show_each_step_of_a_request(hosts):
    """The log shows why a request was served from another region."""
    hosts.backends["plain-north"].mood = "full"
    await hosts.send("h-north", "/lookup/a", identifier="r1")
    for process in hosts.processes.values():
        process.log_writer.flush()
    rows = [json.loads(line) for line in hosts.lines]
    logged_events = [
        row["event"] for row in rows if row.get("request") == "r1"
    ]
    for event in ("placed", "attempt_ended", "sent_away", "relayed"):
        assert_that(logged_events, Contains(event))
    assert_that(logged_events[-1:], Not(Equals([])))
    ended = next(row for row in rows if row["event"] == "attempt_ended")
    assert_that(ended["reason"], Equals("refused_by_server"))


@pytest_twisted.ensureDeferred
@pytest.mark.parametrize("away", [False, True])
async def test_log_lines_show_the_gaps_of_a_stream(hosts, away):
    """Guards against a gap objective that is lost on its way to a placement.

    It goes from the configuration to the host that places the stream, which
    may be in another region.
    """
    if away:
        hosts.backends["engine-north"].mood = "full"
    await hosts.send(
        "h-north", "/quote/a", identifier="r1", method=b"POST", **USAGE
    )
    for process in hosts.processes.values():
        process.log_writer.flush()
    rows = [json.loads(line) for line in hosts.lines]
    rows = [row for row in rows if row.get("request") == "r1"]
    placed = [row for row in rows if row["event"] == "placed"]
    assert_that(len(placed), Equals(1 + away))
    for row in placed:
        assert int(row["pause_ms"]) > 0
    ended = next(row for row in rows if row["event"] == "answered")
    assert_that(int(ended["gap_objective_ms"]), Equals(300))


@pytest_twisted.ensureDeferred
async def test_changes_reach_hosts_that_do_not_watch(hosts):
    """Calls to the store do not grow with hosts times servers.

    Two hosts of a region watch the store; the third receives changes from
    them. It also receives a change whose datagram was lost, with the next one.
    """
    north, resting = await hosts.with_resting_host()
    calls = resting.store_sync.store.calls
    hosts.store.put_json("op/config", configuration(5))
    await hosts.until(lambda: resting.keeper.version == 5)
    take = resting.store_sync.replication.apply_change
    resting.membership.handlers[StoreChange] = lambda message: None
    hosts.store.put_json("op/config", configuration(6))
    await task.deferLater(reactor, 0.3)
    resting.membership.handlers[StoreChange] = take
    hosts.store.put_json("op/evacuate/south-a", {})
    await hosts.until(lambda: resting.keeper.version == 6)
    await hosts.until(lambda: resting.registry.evacuated == {"south-a"})
    assert resting.store_sync.store.calls - calls <= 3


@pytest_twisted.ensureDeferred
async def test_another_host_watches_when_one_loses_the_store(hosts):
    """A region receives changes if its watching hosts lose the store."""
    north, resting = await hosts.with_resting_host()
    for process in north:
        if process is not resting:
            hosts.store.refuse(process.settings.address)
    await hosts.until(lambda: resting.store_sync.watchers, within=4.0)
    hosts.store.put_json("op/config", configuration(5))
    await hosts.until(lambda: all(p.keeper.version == 5 for p in north))


@pytest_twisted.ensureDeferred
async def test_unknown_hosts_change_nothing(hosts):
    """Requests and messages from outside the system are refused.

    A sender that is no host of the system reaches the ports between hosts. A
    request must not bypass the checks there, nor a change be accepted.
    """
    north = hosts.processes["h-north"]
    relay = north.members.own.relay
    parameters = encode_parameters(
        RelayParameters(
            "x", "plain", False, True, 5.0, 1.0, 5.0, 0, [], "", False
        )
    )
    response = await hosts.agent.request(
        b"POST",
        f"http://{relay}/lookup/a".encode(),
        Headers(
            {RELAY_HEADER: [parameters], b"x-request-attempt-id": [b"r9"]}
        ),
    )
    assert_that(response.code, Equals(403))
    outcome = response.headers.getRawHeaders("hyssop-outcome")
    assert_that(outcome, Equals(["not-run"]))
    change = StoreChange("h-south", "op/", 0, [], [], False)
    before = north.metrics.events["peer_refused"]
    north.membership.receive(change, "127.0.0.77")
    assert_that(north.metrics.events["peer_refused"], Equals(before + 1))
    ran = [one for b in hosts.backends.values() for one in b.ran]
    assert_that(ran, Equals([]))


@pytest_twisted.ensureDeferred
async def test_a_lost_change_is_not_hidden_by_a_later_one(hosts):
    """A lost datagram does not leave a host with an old configuration.

    The datagram with the new configuration is lost. A newer change of a server
    arrives from another watch, which had not received the configuration
    either. All hosts then report the same newest revision, and a third of them
    would keep the old configuration permanently.
    """
    hosts.add_host("h-north-2", "north", 5)
    await hosts.settled()
    second = hosts.processes["h-north-2"]
    second.store_sync.stop()
    second.store_sync.choose_watching = lambda now: None
    take = second.store_sync.replication.apply_change
    second.membership.handlers[StoreChange] = lambda message: None
    hosts.store.put_json("op/config", configuration(5))
    north = hosts.processes["h-north"]
    await hosts.until(lambda: north.keeper.version == 5)
    server = hosts.store.items["servers/plain-north"]
    known = second.store_sync.servers.newest_revision
    later = StoredItem(
        server["key"], b64decode(server["value"]), hosts.store.revision + 9
    )
    take(StoreChange("h-north", "servers/", known, [later], [], False))
    await hosts.until(lambda: second.keeper.version == 5, within=4.0)


@pytest_twisted.ensureDeferred
async def test_a_large_configuration_reaches_hosts_that_do_not_watch(hosts):
    """A change that exceeds the size of a datagram reaches all hosts.

    The operator adds five hundred routes.
    """
    hosts.add_host("h-north-2", "north", 5)
    await hosts.settled()
    second = hosts.processes["h-north-2"]
    second.store_sync.stop()
    second.store_sync.choose_watching = lambda now: None
    large = configuration(5)
    first = large["routes"][0]
    large["routes"] += [
        {**first, "name": f"r{n}", "prefix": f"/r{n}/"} for n in range(500)
    ]
    hosts.store.put_json("op/config", large)
    await hosts.until(lambda: second.keeper.version == 5, within=4.0)


@pytest_twisted.ensureDeferred
async def test_a_refusal_of_the_placing_host_comes_at_once(hosts):
    """A refusal by the placing host reaches the caller of another host.

    One of two hosts of a region places requests for both. The servers of the
    region are paused, so it refuses what the other host asks for. The refusal
    must not be treated as a silent placing host: requests would be sent to
    full engines, or their callers wait 160 ms for the refusal.
    """
    hosts.add_host("h-north-2", "north", 2)
    names = ("h-north", "h-north-2")
    first = hosts.processes["h-north"]
    second = hosts.processes["h-north-2"]
    await hosts.until(
        lambda: (
            second.is_ready()
            and second.members.others.keys() >= {"h-north", "h-south"}
            and first.members.others.keys() >= {"h-north-2"}
        )
    )
    now = reactor.seconds()
    placer = second.members.placers(now)[0].name
    other = names[1 - names.index(placer)]
    for process in hosts.processes.values():
        for name in ("plain-north", "plain-south"):
            process.placer.health_of(name).paused_until = now + 30
    status, _, _ = await hosts.send(other, "/lookup/a", identifier="r1")
    assert_that(status, Equals(503))
    ends = []

    def ended():
        lines = [json.loads(line) for line in hosts.lines]
        ends[:] = [
            line
            for line in lines
            if line["host"] == other and "took_ms" in line
        ]
        return bool(ends)

    await hosts.until(ended)
    assert_that(int(ends[0]["took_ms"]), LessThan(80))


@pytest_twisted.ensureDeferred
async def test_a_server_that_hangs_is_found_by_the_callers_that_leave(hosts):
    """A caller that disconnects from a silent server is evidence against it.

    The requests must not be repeated, so no second server is tried, and each
    caller disconnects after seconds. Unless that counts against the engine
    that hangs, it gets the next request as well.
    """
    backend = hosts.backends["engine-north"]
    backend.mood = "silent"
    begun = hosts.begin("h-north", "/review/a", "r1", b"POST", b"", USAGE)
    begun.addErrback(lambda _: None)
    await hosts.until(lambda: backend.arrived)
    await task.deferLater(reactor, 1.2, begun.cancel)
    health = hosts.processes["h-north"].placer.health_of("engine-north")
    await hosts.until(lambda: not health.is_available(reactor.seconds()))
    status, _, body = await hosts.send(
        "h-north", "/review/b", identifier="r2", method=b"POST", **USAGE
    )
    assert_that((status, body), Equals((200, EVENTS)))
    assert_that(hosts.backends["engine-south"].ran, Equals(["r2"]))


@pytest_twisted.ensureDeferred
async def test_what_was_refused_at_its_deadline_runs_nowhere(hosts):
    """A request that was refused at its deadline as not run does not run.

    Its deadline passes while a connection to the server is being opened.
    """
    connections = hosts.processes["h-north"].state.connections
    opened = connections.open

    def open_late(endpoint, *, reuse):
        return task.deferLater(reactor, 0.6, opened, endpoint, reuse=reuse)

    connections.open = open_late
    status, _, _ = await hosts.send(
        "h-north", "/lookup/a", identifier="r1", x_deadline_ms="300"
    )
    await task.deferLater(reactor, 0.8)
    assert_that(status, Equals(503))
    assert_that(hosts.backends["plain-north"].ran, Equals([]))
