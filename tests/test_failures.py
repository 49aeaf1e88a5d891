"""Responses to callers when servers, links, callers or the platform fail."""

import msgspec
import pytest
import pytest_twisted
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, LessThan
from twisted.internet import defer
from twisted.web.client import ResponseFailed

from hyssopspring.config.validation import FolderValidator, RawFile
from hyssopspring.core.trust import MAX_CONTACT_AGE_SECONDS
from hyssopspring.net.forwarding import FORWARD_PATH
from hyssopspring_fakes.fleet import Shape


@pytest.fixture
def shape():
    """Return a fleet with one engine in each region."""
    return Shape(engines=1)


def set_faults(fleet, prefix, **faults):
    """Set fault switches on the engines of a region."""
    for name, engine in fleet.engines.items():
        if name.startswith(prefix):
            for fault, value in faults.items():
                setattr(engine.faults, fault, value)


def list_runs(fleet, prefix=""):
    """Return the identifiers of the requests that the engines ran."""
    return [
        identifier
        for name, engine in fleet.engines.items()
        if name.startswith(prefix)
        for identifier in engine.ran
    ]


def outcome_of(headers):
    """Return the outcome that a response states."""
    return headers.getRawHeaders(b"hyssop-outcome", [b""])[0]


@pytest_twisted.ensureDeferred
@pytest.mark.parametrize("fault", ["garbage", "swap"])
async def test_wrong_answer_never_reaches_the_caller(fleet, caller, fault):
    """A response that is not JSON, or another request's, is not passed on.

    Guards against a user receiving the response to another user's
    request: the engine swaps two responses, and the gateway passes on
    whatever arrives on the connection.
    """
    set_faults(fleet, "dar", **{fault: True})
    status, _, body = await caller.complete("dar-0", max_tokens=2)
    assert_that(status, Equals(200))
    answer = msgspec.json.decode(body)
    assert_that(
        list_runs(fleet, "arusha"),
        Contains(answer["id"].rsplit("-", 1)[0] + "-0"),
    )


@pytest_twisted.ensureDeferred
async def test_wrong_answer_of_a_single_run_is_unknown(fleet, caller):
    """A request that must not be repeated is not retried elsewhere."""
    set_faults(fleet, "dar", garbage=True)
    status, headers, _ = await caller.complete(
        "dar-0", headers={"hyssop_repeatable": "no"}
    )
    assert_that(status, Equals(502))
    assert_that(outcome_of(headers), Equals(b"unknown"))
    assert_that(list_runs(fleet), HasLength(1))


@pytest_twisted.ensureDeferred
async def test_cut_stream_is_resumed_without_loss_or_repetition(fleet, caller):
    """A stream whose connection is aborted is resumed at the same engine.

    Guards against repeated or missing text: the connection is aborted
    in the middle of a stream, which then restarts from the beginning or
    at a wrong event.
    """
    set_faults(fleet, "dar", drop_after=3)
    status, _, body = await caller.complete("dar-0", max_tokens=8, stream=True)
    assert_that(status, Equals(200))
    numbers = [
        int(line[4:]) for line in body.split(b"\n") if line.startswith(b"id: ")
    ]
    assert_that(numbers, Equals(list(range(8))))
    assert_that(list_runs(fleet), HasLength(1))


@pytest_twisted.ensureDeferred
async def test_stream_without_its_end_mark_is_cut_visibly(fleet, caller):
    """A truncated response never ends like a complete one.

    Guards against a user taking a part of a response for the whole: the
    engine ends the stream early but properly, and the gateway ends its
    own response properly too.
    """
    set_faults(fleet, "dar", truncate_after=2)
    for engine in fleet.engines.values():
        engine.resume = lambda request: request.loseConnection()
    with pytest.raises(ResponseFailed):
        await caller.complete("dar-0", max_tokens=8, stream=True)
    assert_that(list_runs(fleet), HasLength(1))


@pytest_twisted.ensureDeferred
async def test_silent_engine_is_unknown_at_the_deadline(fleet, caller):
    """A request that may have run is not reported as not run."""
    set_faults(fleet, "", hang=True)
    status, headers, _ = await caller.complete(
        "dar-0", headers={"hyssop_deadline_ms": "300"}
    )
    assert_that(status, Equals(504))
    assert_that(outcome_of(headers), Equals(b"unknown"))
    job = next(iter(fleet.engines["dar-engine-0"].jobs.values()))
    await fleet.until(lambda: job.cancelled)


@pytest_twisted.ensureDeferred
async def test_refused_everywhere_is_not_run_and_says_when(fleet, caller):
    """A refused request gets an immediate response with Retry-After."""
    set_faults(fleet, "", refuse=True)
    status, headers, _ = await caller.complete("dar-0")
    assert_that(status, Equals(503))
    assert_that(outcome_of(headers), Equals(b"not-run"))
    assert headers.hasHeader(b"retry-after")
    assert_that(list_runs(fleet), HasLength(0))


@pytest_twisted.ensureDeferred
async def test_residency_holds_when_home_cannot_serve(fleet, caller):
    """A request restricted to its region is refused, not forwarded.

    Guards against a user's data leaving the region whenever the home
    region is full, because the only region with capacity is chosen.
    """
    set_faults(fleet, "dar", refuse=True)
    status, headers, _ = await caller.complete(
        "dar-0", headers={"hyssop_residency": "dar"}
    )
    assert_that(status, Equals(503))
    assert_that(outcome_of(headers), Equals(b"not-run"))
    assert_that(list_runs(fleet), HasLength(0))


@pytest_twisted.ensureDeferred
async def test_receiver_refuses_what_its_own_configuration_excludes(
    fleet, caller
):
    """The receiving region checks residency by its own configuration.

    Guards against a user's data being processed in another region while
    one host is out of date: the sender has not received the restriction;
    the receiver has, but relies on the sender's check.
    """
    sender = fleet.gateways["dar-0"]
    stale = sender.state.keeper.accepted
    text = "workspaces: {quotes: {residency: [dar]}}\n"
    status, report = await fleet.put("20-team.yaml", text)
    assert status == 200, report
    sender.state.keeper.accepted = stale
    sender.state.keeper.enforced = stale.enforced()
    sender.state.keeper.offer = lambda accepted: False
    set_faults(fleet, "dar", refuse=True)
    status, headers, _ = await caller.complete("dar-0")
    assert_that(status, Equals(503))
    assert_that(list_runs(fleet), HasLength(0))


@pytest_twisted.ensureDeferred
async def test_retry_goes_by_the_configuration_of_its_own_time(fleet, caller):
    """A retry does not use a permission revoked while the request ran.

    Guards against a user's data being processed in another region: a
    restriction comes into force while the request is in progress, the
    first attempt fails, and the next one is planned by the configuration
    with which the request started.
    """
    set_faults(fleet, "dar", garbage=True)
    sender = fleet.gateways["dar-0"].state.keeper
    receiver = fleet.gateways["arusha-0"].state.keeper
    receiver.offer = lambda accepted: False
    work = defer.ensureDeferred(caller.complete("dar-0", max_tokens=300))
    engine = fleet.engines["dar-engine-0"]
    await fleet.until(lambda: engine.running)
    text = "workspaces: {quotes: {residency: [dar]}}\n"
    accepted = sender.accepted
    folder = {
        name: RawFile(state.content, state.revision)
        for name, state in accepted.files.items()
    }
    revision = accepted.folder_revision + 1
    folder["20-team.yaml"] = RawFile(text, revision)
    judged = FolderValidator(accepted).validate(folder, revision)
    assert sender.offer(judged.accepted)
    status, headers, _ = await work
    assert_that(status, Equals(502))
    assert_that(list_runs(fleet, "arusha"), HasLength(0))


@pytest_twisted.ensureDeferred
async def test_forged_forward_is_refused(fleet, caller):
    """A request cannot be forwarded without the hosts' shared secret."""
    address = fleet.gateways["dar-0"].settings.forward
    response = await caller.request(
        address,
        FORWARD_PATH,
        b"{}",
        b"POST",
        {"hyssop_head": "gA==", "hyssop_signature": "AAAA"},
    )
    assert_that(response.code, Equals(403))
    assert_that(list_runs(fleet), HasLength(0))


@pytest_twisted.ensureDeferred
async def test_lost_answer_of_a_single_run_is_not_run_again(fleet, caller):
    """A call that must run once is unknown when its response is lost.

    Guards against running a payment twice: the service runs the call and
    loses the connection, and the gateway sends the call to the next
    server.
    """
    for service in fleet.services.values():
        service.drop = True
    status, headers, _ = await caller.send(
        "dar-0", "/services/rating/pay", b"1", hyssop_repeatable="no"
    )
    assert_that(status, Equals(502))
    assert_that(outcome_of(headers), Equals(b"unknown"))
    calls = [call for one in fleet.services.values() for call in one.ran]
    assert_that(calls, HasLength(1))


@pytest_twisted.ensureDeferred
async def test_key_runs_once_over_all_hosts(fleet, caller):
    """Ten callers with one idempotency key at two hosts cause one run.

    Guards against running a payment twice: the first request hangs, its
    callers retry at another host, and that host has no record of the
    key.
    """
    headers = {"hyssop_repeatable": "no", "idempotency_key": "pay-1"}
    answers = await defer.gatherResults(
        [
            defer.ensureDeferred(
                caller.send(host, "/services/rating/pay", b"1", **headers)
            )
            for host in ["dar-0", "arusha-0"] * 5
        ]
    )
    statuses = sorted(status for status, _, _ in answers)
    assert_that(statuses, Equals([200] + [409] * 9))
    calls = [call for one in fleet.services.values() for call in one.ran]
    assert_that(calls, HasLength(1))
    log = fleet.gateways["dar-0"].claims
    await fleet.until(lambda: not any(p.pending for p in log.logs.values()))
    await fleet.pause(0.2)
    status, again, _ = await caller.send(
        "arusha-0", "/services/rating/pay", b"1", **headers
    )
    assert_that(status, Equals(409))
    assert_that(
        again.getRawHeaders(b"hyssop-reason"), Equals([b"key_already_run"])
    )


@pytest_twisted.ensureDeferred
async def test_outage_refuses_keys_at_once_and_serves_the_rest(fleet, caller):
    """While the platform is down, only keyed calls that must run once fail.

    They are refused at once with Retry-After; other requests are served.
    """
    fleet.platform.set_fault("down", True)
    headers = {"hyssop_repeatable": "no", "idempotency_key": "pay-2"}
    for _ in range(2):
        began = fleet.reactor.seconds()
        status, answered, _ = await caller.send(
            "dar-0", "/services/rating/pay", b"1", **headers
        )
        assert_that(status, Equals(503))
        assert_that(outcome_of(answered), Equals(b"not-run"))
        assert answered.hasHeader(b"retry-after")
    assert fleet.reactor.seconds() - began < 0.4
    status, _, _ = await caller.complete("dar-0")
    assert_that(status, Equals(200))
    fleet.platform.set_fault("down", False)


@pytest_twisted.ensureDeferred
async def test_leaving_server_gets_nothing_new(fleet, caller):
    """A draining server gets no new requests after three seconds.

    Guards against requests that are aborted when the server stops: the
    host list still shows it as live, and some hosts continue to send
    requests to it.
    """
    set_faults(fleet, "dar", leaving=True)
    gateway = fleet.gateways["dar-0"]
    server = gateway.state.table.servers["dar-engine-0"]
    await fleet.until(lambda: server.leaving, seconds=3)
    before = len(list_runs(fleet, "dar"))
    status, _, _ = await caller.complete("dar-0")
    assert_that(status, Equals(200))
    assert_that(list_runs(fleet, "dar"), HasLength(before))


@pytest_twisted.ensureDeferred
async def test_planned_stop_cuts_nothing(fleet, caller):
    """Requests in progress when a shutdown begins are completed.

    Guards against responses that are aborted at each release because the
    host closes its connections as soon as it is asked to stop.
    """
    host = "dar-0"
    working = [
        defer.ensureDeferred(
            caller.complete(host, max_tokens=300, stream=number % 2 == 0)
        )
        for number in range(6)
    ]
    gateway = fleet.gateways[host]
    await fleet.until(lambda: gateway.drain.active == 6)
    stopped = defer.ensureDeferred(gateway.stop())
    await fleet.until(lambda: gateway.drain.refusing)
    status, headers, _ = await caller.complete(host)
    assert_that(status, Equals(503))
    assert_that(outcome_of(headers), Equals(b"not-run"))
    answers = await defer.gatherResults(working)
    for number, (status, _, body) in enumerate(answers):
        assert_that(status, Equals(200))
        if number % 2 == 0:
            assert body.endswith(b"data: [DONE]\n\n")
            assert_that(body.count(b"id: "), Equals(300))
    await stopped
    gateway.ports.clear()
    assert_that(fleet.platform.directory, HasLength(1))


@pytest_twisted.ensureDeferred
async def test_abandoned_request_is_cancelled_at_the_engine(fleet, caller):
    """An engine stops working for a caller that has disconnected."""
    address = fleet.gateways["dar-0"].settings.listen
    body = msgspec.json.encode(
        {"model": "quick-draft", "prompt": "x", "max_tokens": 5000}
    )
    work = caller.request(address, "/v1/completions", body, b"POST", {})
    engine = fleet.engines["dar-engine-0"]
    await fleet.until(lambda: engine.running)
    work.addErrback(lambda _: None)
    work.cancel()
    await fleet.until(lambda: not engine.running)


@pytest_twisted.ensureDeferred
async def test_isolated_region_serves_its_own(fleet, caller):
    """A region isolated from the platform and all others serves its callers.

    Guards against refusing the callers of an isolated region because
    each request waits for a platform or a region that is unreachable.
    """
    fleet.platform.set_fault("down", True)
    other = fleet.gateways["arusha-0"]
    await other.close()
    other.ports.clear()
    trust = fleet.gateways["dar-0"].state.trust
    await fleet.until(
        lambda: (
            fleet.reactor.seconds() - trust.last_contact_at
            > MAX_CONTACT_AGE_SECONDS
        )
    )
    status, _, _ = await caller.complete("dar-0")
    assert_that(status, Equals(200))
    fleet.platform.set_fault("down", False)


CRASHING_BODY = b"call that no server survives"
MAX_CRASHES = 6
"""Servers that one call may crash: three until it is detected, and three more
by attempts that are permitted after the hosts have been notified."""


@pytest.mark.parametrize("shape", [Shape(services=6)])
@pytest_twisted.ensureDeferred
async def test_a_call_that_ends_servers_is_sent_to_few(fleet, caller):
    """A call that crashes servers does not crash all servers of a service.

    A server crashes as soon as it begins to run the call. The gateway
    retries the call at other servers, and its caller retries at other
    gateways. Without a shared record of which calls crash servers, each
    gateway starts over: 12 of 12 servers crashed.
    """
    for service in fleet.services.values():
        service.ended_by = CRASHING_BODY
    for number in range(8):
        host = ("dar-0", "arusha-0")[number % 2]
        await caller.send(host, "/services/rating/a", CRASHING_BODY)
    ended = sum(service.ended for service in fleet.services.values())
    assert_that(ended, LessThan(MAX_CRASHES + 1))


@pytest.mark.parametrize("shape", [Shape(engines=6)])
@pytest_twisted.ensureDeferred
async def test_a_prompt_start_that_ends_engines_is_sent_to_few(fleet, caller):
    """Calls with the same start of their prompts do not crash all engines.

    No two of the calls are alike, so that none is known from before.
    """
    start = "Instructions that no engine survives. " * 8
    for engine in fleet.engines.values():
        engine.ended_by = start
    for number in range(12):
        host = ("dar-0", "arusha-0")[number % 2]
        await caller.complete(host, prompt=f"{start}{number}")
    ended = sum(engine.ended for engine in fleet.engines.values())
    assert_that(ended, LessThan(MAX_CRASHES + 1))
    status, _, _ = await caller.complete("dar-0")
    assert_that(status, Equals(200))
