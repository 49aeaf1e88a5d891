"""Decode and encode the HTTP headers of callers and backend servers."""

import re
from typing import Annotated

import msgspec
from twisted.web.http_headers import Headers

from ..core.exceptions import UNDECODABLE
from ..core.hashing import credential_digest
from ..core.sentinels import INVALID, NOTHING
from ..entry.attempts import ResponseHead
from ..entry.coldchecks import ServerHealth
from ..entry.requests import RequestMetadata
from ..net.sinks import first_value
from ..traffic.reportedload import ReportedLoad
from ..traffic.work import Demand

__all__ = [
    "MAX_REPORTED_REQUESTS",
    "REPORT_PATH",
    "StartTime",
    "read_caller",
    "read_head",
    "read_health",
    "read_start_time",
    "server_headers",
]

REQUEST_ID = b"x-request-attempt-id"
DEADLINE = b"x-deadline-ms"
PROMPT_PARTS = b"x-prompt-prefix"
TOKEN_USAGE = b"x-token-usage"
LENGTH_HINT = b"x-length-hint"
EXPECTED_SERVER = b"x-expect-instance"
URGENCY = b"x-request-urgency"
LAST_EVENT = b"last-event-id"
FIRST_ATTEMPT = b"resumes"
COPY_FROM = b"kv-fetch"
CALLER_KEY = b"x-api-key"
WORKSPACE = b"x-tenant"
RESPONSE_STAMP = b"x-response-stamp"
NOT_RUN = b"x-not-executed"
RETRY_AFTER = b"retry-after"
SERVER_LIMIT = b"server-limit"
SERVER_LEAVING = b"server-leaving"
SERVER_LOAD = b"x-server-load"
COLD_LEFT = b"x-cold-ms"
INSTANCE_ID = b"x-instance-id"
REPORT_PATH = b"/v1/report"
MISDIRECTED = 421
SERVICE_UNAVAILABLE = 503

MAX_KEY_BYTES = 200
"""Maximum length of an API key of a caller."""

DECIMAL = re.compile(rb"\d+\.?\d*|\.\d+")
"""Format of decimal numbers in response headers of backend servers."""

MAX_DECIMAL_BYTES = 100
"""Maximum length of a decimal number, so that its value is finite."""

MAX_RATE_LIMIT = 1e6
"""Requests per second above which a rate limit is treated as invalid."""

MAX_REPORTED_REQUESTS = 100_000
"""Running or waiting requests, or slots, above which a reported load is
treated as invalid."""

MAX_COLD_SECONDS = 3600.0
"""Seconds above which the cold phase that a server states is treated as
invalid."""

MAX_START_TIME = 253_402_300_799_999
"""Unix time in milliseconds of the end of the year 9999. A start that is later
is treated as invalid."""

MAX_TOKENS = 10**9
"""Tokens above which a token usage header, or the number of tokens of a prompt
part, is treated as invalid."""

INTERNAL_HEADERS = (
    CALLER_KEY,
    WORKSPACE,
    EXPECTED_SERVER,
    URGENCY,
    b"x-expect-version",
    b"x-hold",
    b"x-pin-ms",
    b"x-kv-backup",
    b"kv-from",
    COPY_FROM,
)
"""Headers that are addressed to the gateway, or that only it may set. Those of
a caller are dropped, because a backend server would act on them and must not
receive API keys."""

HOP_BY_HOP_HEADERS = (
    b"connection",
    b"content-length",
    b"expect",
    b"keep-alive",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
)
"""Headers that apply to one connection and are not forwarded."""


def read_caller(headers):
    """Return the `RequestMetadata` of a caller's headers.

    A deadline or demand that cannot be parsed counts as absent: the
    backend server decides about it.
    """
    return RequestMetadata(
        id=first_value(headers, REQUEST_ID),
        deadline=read_number(first_value(headers, DEADLINE), 0.001),
        demand=read_demand(headers),
        last_event=first_value(headers, LAST_EVENT),
        first_attempt=first_value(headers, FIRST_ATTEMPT),
        key_digest=read_key_digest(headers),
        tokens=read_tokens(headers),
    )


def read_key_digest(headers):
    """Return the digest of the caller's API key, or "" without a valid one.

    Two keys do not identify the caller, so both are ignored.
    """
    keys = headers.getRawHeaders(CALLER_KEY, ())
    if len(keys) != 1 or not 0 < len(keys[0]) <= MAX_KEY_BYTES:
        return ""
    return credential_digest(keys[0])


def read_tokens(headers):
    """Return the input and output tokens that a caller declares.

    Returns:
        Their sum, `NOTHING` without the header, or `INVALID`.
    """
    stated = headers.getRawHeaders(TOKEN_USAGE, ())
    if not stated:
        return NOTHING
    numbers = [part.strip() for part in stated[0].split(b",")]
    if len(stated) > 1 or len(numbers) > 2:
        return INVALID
    if not all(number.isdigit() for number in numbers):
        return INVALID
    total = sum(map(int, numbers)) if max(map(len, numbers)) < 12 else 0
    return total if 0 < total <= MAX_TOKENS else INVALID


def read_demand(headers):
    """Return the `Demand` that a caller declares.

    Without a declared number of input tokens, those of the prompt parts
    are added up. The output tokens are the lower of the maximum and the
    length hint.
    """
    parts = []
    for item in first_value(headers, PROMPT_PARTS).split(b","):
        name, _, text = item.strip().partition(b":")
        tokens = read_number(text, 1) if text.isdigit() else NOTHING
        if name and tokens is not NOTHING and tokens <= MAX_TOKENS:
            parts.append((name.decode("latin-1"), int(tokens)))
    tokens_in, _, max_out = first_value(headers, TOKEN_USAGE).partition(b",")
    counted = sum(tokens for _, tokens in parts)
    hint = read_number(first_value(headers, LENGTH_HINT), 1.0)
    out = read_number(max_out.strip(), 1.0)
    if hint is not NOTHING and (out is NOTHING or hint < out):
        out = hint
    given = read_number(tokens_in.strip(), 1.0)
    return Demand(
        parts=tuple(parts),
        tokens_in=counted if given is NOTHING else int(given),
        tokens_out=0 if out is NOTHING else int(out),
    )


def read_number(text, unit):
    """Return a number converted to the gateway's unit, or `NOTHING`.

    Args:
        text: Text of the number.
        unit: Factor that converts it.
    """
    try:
        value = float(text)
    except ValueError:
        return NOTHING
    return value * unit if 0 <= value < 1e12 else NOTHING


def server_headers(
    headers,
    *,
    time_left,
    server_id,
    urgency,
    last_event,
    copy_from="",
    workspace="",
):
    """Return the `Headers` of the request to a backend server.

    Args:
        headers: The caller's `Headers`.
        time_left: Remaining seconds until the caller's deadline, or
            `NOTHING`.
        server_id: Identifier of the only server that may run it.
        urgency: Rank among waiting requests, or `NOTHING`; 0 is first.
        last_event: Event after which a stream is resumed, or b"".
        copy_from: Address of a server that has cached more of the prompt,
            or an empty string.
        workspace: Name of the caller's workspace, or an empty string.
    """
    sent = forwarded_headers(headers)
    sent.setRawHeaders(EXPECTED_SERVER, [server_id.encode()])
    if urgency is not NOTHING:
        sent.setRawHeaders(URGENCY, [b"%d" % urgency])
    if time_left is not NOTHING:
        millis = max(1, int(time_left * 1000))
        sent.setRawHeaders(DEADLINE, [b"%d" % millis])
    if copy_from:
        sent.setRawHeaders(COPY_FROM, [copy_from.encode()])
    if last_event:
        sent.setRawHeaders(LAST_EVENT, [last_event])
    if workspace:
        sent.setRawHeaders(WORKSPACE, [workspace.encode()])
    return sent


def forwarded_headers(headers):
    """Return a copy without hop-by-hop and internal headers."""
    named = first_value(headers, b"connection").lower().split(b",")
    dropped = {name.strip() for name in named}
    dropped.update(HOP_BY_HOP_HEADERS, INTERNAL_HEADERS)
    sent = Headers()
    for name, values in headers.getAllRawHeaders():
        if name.lower() not in dropped:
            sent.setRawHeaders(name, values)
    return sent


def read_head(status, headers):
    """Return the `ResponseHead` of a response of a backend server."""
    echoed_id = first_value(headers, REQUEST_ID)
    return ResponseHead(
        not_run=bool(first_value(headers, NOT_RUN)),
        misdirected=status == MISDIRECTED,
        echoed_id=echoed_id or NOTHING,
        signed=bool(first_value(headers, RESPONSE_STAMP)),
        retry_after=read_decimal(headers, RETRY_AFTER),
        limit=read_limit(headers),
        leaving=read_leaving(headers),
        rejected=status == SERVICE_UNAVAILABLE,
        load=read_load(headers),
    )


def read_health(headers):
    """Return the `ServerHealth` of a health response.

    A cold phase that is no number, or too long, counts as absent.
    """
    seconds = read_number(first_value(headers, COLD_LEFT), 0.001)
    is_valid = seconds is not NOTHING and seconds <= MAX_COLD_SECONDS
    return ServerHealth(
        first_value(headers, INSTANCE_ID).decode("latin-1"),
        seconds if is_valid else 0.0,
    )


StartTime = Annotated[int, msgspec.Meta(ge=0, le=MAX_START_TIME)]
"""Unix time in milliseconds; 0 if it is not known."""


class _Report(msgspec.Struct):
    """The field of a server's report on itself that is used."""

    born: StartTime = 0


_REPORT = msgspec.json.Decoder(_Report)


def read_start_time(body):
    """Return the time of the server's start that its report states.

    Returns:
        Unix time in milliseconds, or 0 if it states none.
    """
    try:
        return _REPORT.decode(body).born
    except UNDECODABLE:
        return 0


def read_load(headers):
    """Return the load that a server reports.

    Returns:
        A `ReportedLoad`, `NOTHING` without the header, or `INVALID`.
    """
    values = headers.getRawHeaders(SERVER_LOAD, ())
    if not values:
        return NOTHING
    numbers = [part.strip() for part in values[0].split(b",")]
    if len(values) > 1 or len(numbers) not in (3, 4):
        return INVALID
    if not all(is_decimal(number) for number in numbers):
        return INVALID
    if not all(number.isdigit() for number in numbers[:3]):
        return INVALID
    running, waiting, slots = map(int, numbers[:3])
    if max(running, waiting, slots) > MAX_REPORTED_REQUESTS:
        return INVALID
    if running > slots or not slots:
        return INVALID
    if len(numbers) == 3:
        return ReportedLoad(running, waiting, slots)
    slowdown = float(numbers[3]) / 100
    if not slowdown:
        return INVALID
    return ReportedLoad(running, waiting, slots, slowdown)


def read_leaving(headers):
    """Return whether a server reports that it is draining, or `INVALID`."""
    raw_values = headers.getRawHeaders(SERVER_LEAVING, ())
    if not raw_values:
        return False
    return True if [one.strip() for one in raw_values] == [b"1"] else INVALID


def read_limit(headers):
    """Return the rate limit that a server reports.

    Returns:
        Requests per second, `NOTHING` without the header, or `INVALID`.
    """
    limit = read_decimal(headers, SERVER_LIMIT)
    if limit in (NOTHING, INVALID) or limit <= MAX_RATE_LIMIT:
        return limit
    return INVALID


def read_decimal(headers, name):
    """Return the decimal number in a header.

    Returns:
        The number, `NOTHING` without the header, or `INVALID`. A repeated
        header is invalid, because it is ambiguous which value applies.
    """
    values = headers.getRawHeaders(name, ())
    if not values:
        return NOTHING
    text = values[0].strip()
    if len(values) > 1 or not is_decimal(text):
        return INVALID
    return float(text)


def is_decimal(text):
    """Return whether *text* is a decimal number without sign or exponent."""
    return len(text) <= MAX_DECIMAL_BYTES and bool(DECIMAL.fullmatch(text))
