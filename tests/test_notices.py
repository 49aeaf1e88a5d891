"""Notices that servers give in the headers of their responses."""

import pytest
import pytest_twisted
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals
from twisted.web.http_headers import Headers

from hyssopspring.core.sentinels import INVALID, NOTHING
from hyssopspring.platform.headers import read_head
from hyssopspring.records import cause_of, read_records


def head_of(*limits):
    """Return the head of a success with values of the limit header."""
    headers = Headers({b"server-limit": list(limits)})
    return read_head(200, headers)


@pytest.mark.parametrize(
    ("limits", "read"),
    [
        ((), NOTHING),
        ((b"1.5",), 1.5),
        ((b"0",), 0.0),
        ((b" 2 ",), 2.0),
        ((b"",), INVALID),
        ((b"many",), INVALID),
        ((b"-1",), INVALID),
        ((b"nan",), INVALID),
        ((b"inf",), INVALID),
        ((b"1e3",), INVALID),
        ((b"99999999",), INVALID),
        ((b"1", b"2"), INVALID),
        ((b"1, 2",), INVALID),
    ],
)
def test_a_limit_that_is_no_number_is_invalid(limits, read):
    """Guards against a malformed limit that blocks or floods a service."""
    assert_that(head_of(*limits).limit, Equals(read))


@pytest.mark.parametrize(
    ("values", "read"),
    [((), False), ((b"1",), True), ((b"0",), INVALID), ((b"1",) * 2, INVALID)],
)
def test_a_malformed_leaving_header_is_invalid(values, read):
    """Guards against a server that is never used again for a bad header."""
    headers = Headers({b"server-leaving": list(values)})
    assert_that(read_head(200, headers).leaving, Equals(read))


@pytest_twisted.ensureDeferred
async def test_a_log_line_names_the_answer_that_set_a_limit(hosts):
    """Guards against limits that are applied or ignored without a log line."""
    backend = hosts.backends["plain-north"]
    for number, limit in enumerate((b"2000", b"2000", b"x", b"3000", None)):
        backend.told = {b"server-limit": limit} if limit else {}
        await hosts.send("h-north", "/lookup/a", identifier=f"r{number}")
    await hosts.until(
        lambda: sum("server_limited" in line for line in hosts.lines) == 3
    )
    found = [
        (line["event"], line.get("limit", line.get("what")), line["answer_to"])
        for line in hosts.decoded("server_limited", "notice_ignored")
    ]
    assert_that(
        found,
        Equals(
            [
                ("server_limited", "2000.0", "r0"),
                ("notice_ignored", "limit", "r2"),
                ("server_limited", "3000.0", "r3"),
                ("server_limited", "none", "r4"),
            ]
        ),
    )


@pytest_twisted.ensureDeferred
async def test_log_lines_name_the_server_notice_behind_a_refusal(hosts):
    """Guards against a refusal whose log lines omit the leaving servers."""
    for name in ("plain-north", "plain-south"):
        hosts.backends[name].told = {b"server-leaving": b"1"}
    for host in ("h-north", "h-south"):
        await hosts.send(host, "/lookup/a", identifier=f"first-{host}")
    status, headers, _ = await hosts.send(
        "h-north", "/lookup/a", identifier="r1"
    )
    assert_that(status, Equals(503))
    assert_that(headers.hasHeader(b"retry-after"), Equals(True))
    await hosts.until(
        lambda: any('"r1"' in one and "unknown" in one for one in hosts.lines)
    )
    records = read_records(hosts.lines)
    cause = cause_of([one for one in records if one.request == "r1"], records)
    assert_that(cause, Contains("plain-north is draining, announced "))
    assert_that(cause, Contains("h-north in the response to first-h-north"))


@pytest_twisted.ensureDeferred
async def test_log_lines_name_the_limit_behind_a_refusal(hosts):
    """Guards against a refusal whose log lines omit the server's limit."""
    for name in ("plain-north", "plain-south"):
        hosts.backends[name].told = {b"server-limit": b"0.5"}
    statuses = {}
    for number in range(8):
        status, _, _ = await hosts.send(
            "h-north", "/lookup/a", identifier=f"r{number}"
        )
        statuses[status] = f"r{number}"
    refused = statuses[503]
    await hosts.until(
        lambda: any(
            f'"{refused}"' in one and "unknown" in one for one in hosts.lines
        )
    )
    records = read_records(hosts.lines)
    mine = [one for one in records if one.request == refused]
    cause = cause_of(mine, records)
    assert_that(
        cause, Contains("plain-north accepts 0.5 requests/s, announced ")
    )
    assert_that(cause, Contains("ago to h-north in the response to r"))
