"""Unexpected errors beside requests that are in progress."""

import pytest_twisted
from test_silentservers import EVENTS, silence, stream
from test_unanswered import error_is_logged, fail
from testtools.assertions import assert_that
from testtools.matchers import Equals
from twisted.internet import defer


@pytest_twisted.ensureDeferred
async def test_an_error_of_a_second_placement_ends_no_attempt(
    hosts, monkeypatch
):
    """Guards against a cut of a sound stream as no second attempt begins."""
    silence(hosts, "engine-north")
    streaming = defer.ensureDeferred(stream(hosts))
    await hosts.until(lambda: hosts.backends["engine-north"].ran == ["r1"])
    coordinator = hosts.processes["h-north"].state.coordinator
    monkeypatch.setattr(coordinator, "place", fail)
    assert_that(await streaming, Equals((200, EVENTS)))
    await error_is_logged(hosts)
