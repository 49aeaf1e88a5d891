"""Streams that end with their connection before any event."""

import pytest
import pytest_twisted
from entry_hosts import USAGE
from testtools.assertions import assert_that
from testtools.matchers import Equals

from hyssopspring_fakes.streamscripts import Framing, StreamScript


@pytest.mark.parametrize("body", [b"\n", b"\r\n"])
@pytest_twisted.ensureDeferred
async def test_a_close_after_a_blank_line_is_no_end(hosts, body):
    """Guards against an unexpected error for a stream without an event."""
    script = StreamScript(events=(body,), framing=Framing.CLOSE)
    for name in ("engine-north", "engine-south"):
        hosts.backends[name].script = script
    status, _, answer = await hosts.send(
        "h-north", "/review/a", identifier="r1", method=b"POST", **USAGE
    )
    expected = (502, b'{"error":"truncated_answer"}')
    assert_that((status, answer), Equals(expected))
