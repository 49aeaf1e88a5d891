"""Requests at a gateway that is told to stop."""

import gc
import subprocess
import sys

import msgspec
import pytest
import pytest_twisted
from conftest import KEY
from raw_callers import RawCaller, pause
from test_failures import list_runs, outcome_of, set_faults
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    Equals,
    GreaterThan,
    HasLength,
    LessThan,
    MatchesAll,
    Not,
)
from twisted.internet import defer, reactor
from twisted.internet.tcp import Server
from twisted.web.client import ResponseFailed

from hyssopspring.core.accepted import FILES_PREFIX
from hyssopspring.core.addresses import split_address
from hyssopspring.core.configuration import Limits
from hyssopspring.core.sentinels import NOTHING
from hyssopspring_fakes.fleet import Shape
from hyssopspring_fakes.service import FakeService

STOP_SECONDS = 2.5
HEADERS = f"authorization: Bearer {KEY}\r\n"
FILE_KEY = FILES_PREFIX + "20-more.yaml"
ONCE = {"hyssop_repeatable": "no", "idempotency_key": "k1"}


@pytest.fixture
def shape():
    """Return a fleet whose gateways end soon after a stop signal."""
    return Shape(engines=1, stop_seconds=STOP_SECONDS)


def begin_stop(fleet, name):
    """Tell a gateway or the admin to stop; return it and its end."""
    gateway = fleet.gateways.get(name, fleet.admin)
    stopped = defer.ensureDeferred(gateway.stop())
    # A gateway that does not end fails its test, and holds up no other.
    stopped.addTimeout(STOP_SECONDS + 2.0, reactor)
    stopped.addCallback(lambda _: end_process(gateway))
    return gateway, stopped


def end_process(gateway):
    """Reset connections and let no write begin, as the end of a process."""
    gateway.store.get = gateway.store.swap = lambda *_: defer.Deferred()
    settings = gateway.settings
    addresses = {
        settings.listen,
        getattr(settings, "forward", settings.listen),
    }
    ports = {split_address(address)[1] for address in addresses}
    for one in {*reactor.getReaders(), *reactor.getWriters()}:
        if isinstance(one, Server) and one.getHost().port in ports:
            one.abortConnection()


def events(gateway, name):
    """Return the details of the events of a gateway by name."""
    recent = gateway.timeline.recent_events
    return [event.details for event in recent if event.name == name]


async def remove_engine(fleet, region):
    """Remove the engine of a region from the host list."""
    name = f"{region}-engine-0"
    del fleet.platform.hosts[name]
    await fleet.until(
        lambda: (
            not any(
                name in gateway.state.table.servers
                for gateway in fleet.gateways.values()
            )
        )
    )


async def hold_at_server(fleet):
    """Let servers never answer."""
    for engine in fleet.engines.values():
        engine.faults.hang = True


async def hold_at_other_host(fleet):
    """Let a server of another region never answer."""
    await hold_at_server(fleet)
    await remove_engine(fleet, "dar")


async def hold_at_check(fleet):
    """Let no check of a server that gave no valid answer end."""
    set_faults(fleet, "dar", garbage=True)
    detector = fleet.gateways["dar-0"].state.crash_detector
    # Without a reference to it, the waiting coroutine may be collected.
    endless = defer.Deferred()
    detector.check_attempt = lambda *_: endless


async def hold_at_limit(fleet):
    """Let an update of a limit end with the deferred that is returned."""
    limiter = fleet.gateways["dar-0"].limits
    limiter.limits = lambda workspace: Limits(concurrent=1)
    admitted = defer.Deferred()
    limiter.admit = lambda *_: admitted
    return admitted


async def hold_at_claim(fleet):
    """Let the claim of a key never end."""
    claims = fleet.gateways["dar-0"].claims
    claims.owner = lambda shard: NOTHING
    endless = defer.Deferred()
    claims.submit = lambda record, within: endless


HOLDERS = {
    "server": (b"unknown", hold_at_server),
    "other_host": (b"unknown", hold_at_other_host),
    "crash_check": (b"unknown", hold_at_check),
    "limit": (b"not-run", hold_at_limit),
    "claim": (b"not-run", hold_at_claim),
}


@pytest.mark.parametrize("wait", HOLDERS)
@pytest_twisted.ensureDeferred
async def test_a_request_is_answered_before_its_gateway_ends(
    fleet, caller, wait
):
    """Guards against a request that waits without a bound as a host ends."""
    outcome, hold = HOLDERS[wait]
    held = await hold(fleet)
    asked = defer.ensureDeferred(caller.complete("dar-0", headers=ONCE))
    await pause(0.3)
    gc.collect()
    gateway, stopped = begin_stop(fleet, "dar-0")
    await stopped
    _, headers, body = await asked
    assert_that(outcome_of(headers), Equals(outcome))
    is_advised = b"use another host" in body
    assert_that(is_advised, Equals(outcome == b"not-run"))
    reason = headers.getRawHeaders(b"hyssop-reason")
    assert_that(reason, Equals([b"host_leaving"]))
    assert_that(list_runs(fleet), HasLength(int(outcome == b"unknown")))
    (ended,) = events(gateway, "ended_by_stop")
    assert_that(ended["waits_for"], Equals(wait))
    assert_that(int(ended["waited_ms"]), GreaterThan(300))
    (end,) = events(gateway, "stopped")
    assert_that(
        (end["active"], end["unanswered"], end["unsent_bytes"]),
        Equals(("1", "0", "0")),
    )
    if held:
        held.callback(NOTHING)
        assert_that(gateway.claims.pending, HasLength(0))


@pytest_twisted.ensureDeferred
async def test_a_forwarded_request_ends_with_the_host_that_runs_it(
    fleet, caller
):
    """Guards against a sender that is told nothing, or of a run as not run."""
    set_faults(fleet, "arusha", hang=True)
    await remove_engine(fleet, "dar")
    asked = defer.ensureDeferred(caller.complete("dar-0", headers=ONCE))
    await pause(0.3)
    _, stopped = begin_stop(fleet, "arusha-0")
    await stopped
    _, headers, _ = await asked
    assert_that(outcome_of(headers), Equals(b"unknown"))


@pytest.mark.parametrize(
    "shape",
    [Shape(gateways=2, engines=1, stop_seconds=STOP_SECONDS)],
)
@pytest_twisted.ensureDeferred
async def test_a_forward_that_a_stopping_host_refuses_goes_to_another(
    fleet, caller
):
    """Guards against a refusal while a host next to it could serve."""
    sender = fleet.gateways["dar-0"]
    await remove_engine(fleet, "dar")
    set_faults(fleet, "arusha", slow=100.0)
    busy = defer.ensureDeferred(caller.complete("arusha-0", max_tokens=8))
    await pause(0.1)
    first = fleet.gateways["arusha-0"].settings.forward
    sender.membership.handle_message = lambda message: None
    sender.state.rng.choice = lambda rows: first if first in rows else rows[0]
    gateway, stopped = begin_stop(fleet, "arusha-0")
    await fleet.until(lambda: gateway.drain.refusing)
    status, _, _ = await caller.complete("dar-0", max_tokens=1)
    assert_that(status, Equals(200))
    assert_that(events(sender, "server_paused"), Equals([]))
    await stopped
    await busy


@pytest_twisted.ensureDeferred
async def test_the_outcome_of_a_key_is_written_before_its_gateway_ends(
    fleet, caller
):
    """Guards against a key that stays claimed by a request that has ended."""
    gateway = fleet.gateways["dar-0"]
    gateway.claims.owner = lambda shard: NOTHING
    fleet.platform.set_fault("slow", 0.3)
    await caller.complete("dar-0", headers=ONCE)
    _, stopped = begin_stop(fleet, "dar-0")
    await stopped
    committed = len(events(gateway, "claim_committed"))
    assert_that(committed, Equals(2))


@pytest_twisted.ensureDeferred
async def test_a_key_is_free_after_its_request_was_not_run(fleet, caller):
    """Guards against a claim that outlives a request ended by a stop."""
    claims = fleet.gateways["dar-0"].claims
    claims.owner = lambda shard: NOTHING
    submit = claims.submit

    async def submit_late(record, within):
        claims.submit = submit
        verdict = await submit(record, within)
        await pause(2.0)
        return verdict

    claims.submit = submit_late
    asked = defer.ensureDeferred(caller.complete("dar-0", headers=ONCE))
    await pause(0.3)
    _, stopped = begin_stop(fleet, "dar-0")
    await stopped
    _, headers, _ = await asked
    assert_that(outcome_of(headers), Equals(b"not-run"))
    status, _, _ = await caller.complete("arusha-0", headers=ONCE)
    assert_that(status, Equals(200))


@pytest_twisted.ensureDeferred
async def test_a_stream_that_is_ended_looks_incomplete(fleet, caller):
    """Guards against a part of a stream that is taken for the whole."""
    set_faults(fleet, "dar", slow=100.0)
    work = caller.complete("dar-0", stream=True, max_tokens=300)
    asked = defer.ensureDeferred(work)
    await pause(1.0)
    _, stopped = begin_stop(fleet, "dar-0")
    await stopped
    with pytest.raises(ResponseFailed):
        await asked


async def connect(gateway):
    """Return a connected `RawCaller` of a gateway."""
    caller = RawCaller(gateway.settings.listen)
    await caller.connect()
    return caller


@pytest.mark.parametrize(
    "part",
    [
        b"POST /serv",
        b"POST /services/rating/a HTTP/1.1\r\n",
        b"POST /services/rating/a HTTP/1.1\r\ncontent-length: 9\r\n\r\n123",
    ],
)
@pytest_twisted.ensureDeferred
async def test_a_request_that_is_still_arriving_is_refused(fleet, part):
    """Guards against a close whose caller cannot tell that nothing ran."""
    gateway, stopped = begin_stop(fleet, "dar-0")
    caller = await connect(gateway)
    caller.socket.send(part)
    received = await caller.receive(3.0)
    assert_that(received, Contains(b"HTTP/1.1 503"))
    assert_that(received.lower(), Contains(b"hyssop-outcome: not-run"))
    await stopped


@pytest_twisted.ensureDeferred
async def test_requests_behind_one_in_progress_are_answered(fleet):
    """Guards against a close that drops requests which were read already."""
    gateway, stopped = begin_stop(fleet, "dar-0")
    caller = await connect(gateway)
    for path in ("/services/rating/a", "/services/rating/b"):
        caller.send(path, headers=HEADERS)
    received = await caller.receive(1.5)
    assert_that(received.count(b"HTTP/1.1 200"), Equals(2))
    assert_that(received.lower().count(b"connection: close"), Equals(1))
    await stopped


@pytest_twisted.ensureDeferred
async def test_the_first_request_of_a_new_connection_is_answered(fleet):
    """Guards against a port that closes under a caller that connects."""
    gateway, stopped = begin_stop(fleet, "dar-0")
    await pause(0.19)
    caller = await connect(gateway)
    await pause(0.1)
    caller.send("/services/rating/a", headers=HEADERS)
    assert_that(await caller.receive(0.5), Contains(b"HTTP/1.1 "))
    await stopped


@pytest_twisted.ensureDeferred
async def test_a_response_is_delivered_to_a_slow_reader(fleet, monkeypatch):
    """Guards against a response whose rest is lost as its host ends."""
    body = msgspec.json.encode({"filler": "~" * 12_000_000})

    def answer(self, request, identifier):
        request.setHeader(b"x-request-id", identifier.encode())
        request.write(body)
        request.finish()

    monkeypatch.setattr(FakeService, "answer", answer)
    gateway, stopped = begin_stop(fleet, "dar-0")
    caller = await connect(gateway)
    caller.send("/services/rating/a", headers=HEADERS)
    received = await caller.receive(0.5, most=1000)
    await pause(1.0)
    received += await caller.receive(1.0)
    assert_that(received.count(b"~"), Equals(12_000_000))
    await stopped


@pytest_twisted.ensureDeferred
async def test_a_gateway_without_requests_ends_at_once(fleet):
    """Guards against a rolling restart that waits for nothing."""
    began_at = reactor.seconds()
    _, stopped = begin_stop(fleet, "dar-0")
    await stopped
    assert_that(reactor.seconds() - began_at, LessThan(1.5))


@pytest.mark.parametrize(("is_held", "status"), [(False, 200), (True, 502)])
@pytest_twisted.ensureDeferred
async def test_a_change_is_answered_before_its_admin_ends(
    fleet, is_held, status
):
    """Guards against a write whose operator cannot tell whether it counts."""
    endless = defer.Deferred()
    if is_held:
        fleet.admin.api.wait_verdict = lambda *_: endless
    text = "models:\n  small-draft: {}\n"
    asked = defer.ensureDeferred(fleet.put("20-more.yaml", text))
    await fleet.until(lambda: fleet.platform.store.current(FILE_KEY))
    _, stopped = begin_stop(fleet, "admin")
    await stopped
    answered, report = await asked
    assert_that(answered, Equals(status))
    if is_held:
        assert_that(report["error"]["type"], Equals("unknown"))


PROGRAM = """
import os, signal
from hyssopspring import admin, gateway, settings
from hyssopspring_fakes.ports import free_address

def start_and_signal(self):
    start(self)
    os.kill(os.getpid(), signal.SIGTERM)
    os.kill(os.getpid(), signal.SIGINT)

start = {part}.start
{part}.start = start_and_signal
{module}.run(settings.{part_settings}(
    host="dar-0", region="dar", data_centre="dar-a", regions=["dar"],
    platform="etcd+http://127.0.0.1:1", host_list="http://127.0.0.1:1",
    peer_secret="s", listen=free_address(), {more}))
"""
GATEWAY = "forward=free_address(), control=free_address(), drain_seconds=0.1"


@pytest.mark.parametrize(
    ("module", "name", "more"),
    [("gateway", "Gateway", GATEWAY), ("admin", "Admin", "tokens={}")],
)
def test_signals_right_after_a_start_end_a_process_in_order(
    module, name, more
):
    """Guards against an early or further signal that ends a process."""
    program = PROGRAM.format(
        module=module,
        part=f"{module}.{name}",
        part_settings=f"{name}Settings",
        more=more,
    )
    ended = subprocess.run(
        [sys.executable, "-c", program],
        capture_output=True,
        text=True,
        timeout=30,
    )
    lines = ended.stdout + ended.stderr
    assert_that(ended.returncode, Equals(0))
    assert_that(lines, MatchesAll(Contains("E108"), Contains("E102")))
    assert_that(lines, Not(Contains("Traceback")))
