"""End-to-end requests over real sockets on one reactor."""

import msgspec
import pytest_twisted
from testtools import ExpectedException
from testtools.assertions import assert_that
from testtools.matchers import Contains, EndsWith, Equals, HasLength

from hyssopspring.core.exceptions import InvariantError, ensure


@pytest_twisted.ensureDeferred
async def test_whole_answer_is_served_at_home(fleet, caller):
    """A server of the home region returns a complete response."""
    status, _, body = await caller.complete("dar-0", max_tokens=3)
    assert_that(status, Equals(200))
    response = msgspec.json.decode(body)
    assert_that(response["usage"]["completion_tokens"], Equals(3))
    ran = sum(len(engine.ran) for engine in fleet.engines.values())
    assert_that(ran, Equals(1))


@pytest_twisted.ensureDeferred
async def test_streamed_answer_ends_with_its_mark(caller):
    """A streamed response contains all events and the end marker."""
    status, _, body = await caller.complete(
        "arusha-0", max_tokens=5, stream=True
    )
    assert_that(status, Equals(200))
    assert_that(body.count(b"data: {"), Equals(5))
    assert_that(body, EndsWith(b"data: [DONE]\n\n"))


@pytest_twisted.ensureDeferred
async def test_plain_service_is_called_once(fleet, caller):
    """A call of a plain service runs once, with its method, path and body."""
    status, _, body = await caller.send(
        "dar-0", "/services/rating/quote?x=1", b"lorry", b"PUT"
    )
    assert_that(status, Equals(200))
    response = msgspec.json.decode(body)
    assert_that(response["method"], Equals("PUT"))
    assert_that(response["path"], Equals("/quote?x=1"))
    assert_that(response["body"], Equals("lorry"))
    assert_that(fleet.services["dar-service-0"].ran, HasLength(1))


@pytest_twisted.ensureDeferred
async def test_wrong_requests_get_typed_errors(caller):
    """Each kind of invalid request has its own error, and is not run."""
    cases = [
        (b"{", 400, "bad_request", {}),
        (b'{"model":"x"}', 404, "unknown_model", {}),
        (
            b'{"model":"quick-draft"}',
            400,
            "bad_deadline",
            {"hyssop_deadline_ms": "-5"},
        ),
        (
            b'{"model":"quick-draft"}',
            403,
            "residency_excludes_all",
            {"hyssop_residency": "mars"},
        ),
        (
            b'{"model":"quick-draft"}',
            401,
            "unknown_workspace",
            {"authorization": "Bearer wrong"},
        ),
        (b" " * (5 * 1024 * 1024), 413, "body_too_large", {}),
    ]
    for sent, status, code, headers in cases:
        got, answered, body = await caller.send(
            "dar-0", "/v1/completions", sent, **headers
        )
        assert_that(got, Equals(status))
        error = msgspec.json.decode(body)["error"]
        assert_that(error["code"], Equals(code))
        outcome = answered.getRawHeaders(b"hyssop-outcome")
        assert_that(outcome, Equals([b"not-run"]))
    got, _, _ = await caller.send("dar-0", "/v1/completions", b"", b"GET")
    assert_that(got, Equals(405))
    got, _, _ = await caller.complete("dar-0")
    assert_that(got, Equals(200))


@pytest_twisted.ensureDeferred
async def test_refused_file_points_to_its_line(fleet):
    """An invalid file is refused, and the response contains its line."""
    text = "workspaces:\n  quotes:\n    residency: [atlantis]\n"
    status, report = await fleet.put("20-bad.yaml", text)
    assert_that(status, Equals(409))
    assert_that(report["line"], Equals(3))
    assert_that(report["reason"], Contains("atlantis"))


def test_invariants_hold_in_optimised_runs():
    """A broken invariant raises regardless of interpreter options."""
    with ExpectedException(InvariantError):
        ensure(False, "never")
