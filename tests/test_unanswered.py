"""Requests that would end without a byte of a response."""

import pytest
import pytest_twisted
from raw_callers import RawCaller
from testtools.assertions import assert_that
from testtools.matchers import StartsWith


async def answer_to(hosts, headers, path="/quote/a"):
    """Return the bytes that answer a request, until the close."""
    caller = RawCaller(hosts.processes["h-north"].settings.front)
    await caller.connect()
    caller.send(path, headers=f"{headers}connection: close\r\n")
    return await caller.receive(4.0)


@pytest.mark.parametrize("digits", [11, 310, 5000])
@pytest_twisted.ensureDeferred
async def test_a_part_of_absurd_size_gets_a_response(hosts, digits):
    """Guards against numbers of a caller that no calculation can take."""
    number = "9" * digits
    answer = await answer_to(
        hosts, f"x-prompt-prefix: ab:{number},cd:40\r\n", "/lookup/a"
    )
    assert_that(answer, StartsWith(b"HTTP/1.1 200"))
    answer = await answer_to(hosts, f"x-prompt-prefix: ab:{number}\r\n")
    assert_that(answer, StartsWith(b"HTTP/1.1 "))
