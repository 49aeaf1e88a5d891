"""Headers of callers and servers, decoded and encoded."""

import re

from twisted.web.http_headers import Headers

from ..core.hashing import credential_digest
from ..core.sentinels import INVALID, NOTHING
from ..entry.attempts import Head
from ..entry.requests import CallerFacts
from ..net.sinks import first_value
from ..traffic.work import Demand

__all__ = ["read_caller", "read_head", "server_headers"]

REQUEST_ID = b"x-request-attempt-id"
DEADLINE = b"x-deadline-ms"
PROMPT_PARTS = b"x-prompt-prefix"
TOKEN_USAGE = b"x-token-usage"
LENGTH_HINT = b"x-length-hint"
EXPECTED_SERVER = b"x-expect-instance"
URGENCY = b"x-request-urgency"
LAST_EVENT = b"last-event-id"
COPY_FROM = b"kv-fetch"
CALLER_KEY = b"x-api-key"
WORKSPACE = b"x-tenant"
RESPONSE_STAMP = b"x-response-stamp"
NOT_RUN = b"x-not-executed"
RETRY_AFTER = b"retry-after"
SERVER_LIMIT = b"server-limit"
SERVER_LEAVING = b"server-leaving"
MISDIRECTED = 421
SERVICE_UNAVAILABLE = 503

MAX_KEY_BYTES = 200
"""Bytes of the longest key of a caller."""

DECIMAL = re.compile(rb"\d{1,9}(\.\d{1,9})?")
"""A decimal number as servers write it."""

MAX_RATE_LIMIT = 1e6
"""Requests a second above which a limit is taken for nonsense."""

MAX_TOKENS = 10**9
"""Tokens above which a statement of them is taken for nonsense."""

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
"""Headers that are for the system, or that only it sets. A caller's own are
dropped: a server would act on them, and must not learn keys."""

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


def read_caller(headers):
    """Return the `CallerFacts` of a caller's headers.

    What cannot be read counts as absent: the server judges it.
    """
    return CallerFacts(
        id=first_value(headers, REQUEST_ID),
        deadline=read_number(first_value(headers, DEADLINE), 0.001),
        demand=read_demand(headers),
        last_event=first_value(headers, LAST_EVENT),
        key_digest=read_key_digest(headers),
        tokens=read_tokens(headers),
    )


def read_key_digest(headers):
    """Return the digest of the caller's key, or "" if there is not one.

    Of two keys it is open which one asks, so neither does.
    """
    keys = headers.getRawHeaders(CALLER_KEY, ())
    if len(keys) != 1 or not 0 < len(keys[0]) <= MAX_KEY_BYTES:
        return ""
    return credential_digest(keys[0])


def read_tokens(headers):
    """Return the tokens that a caller states, in and out together.

    Returns:
        Their number, `NOTHING` if none are stated, or `INVALID`.
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
    """Return the `Demand` that a caller states."""
    parts = []
    for item in first_value(headers, PROMPT_PARTS).split(b","):
        name, _, tokens = item.strip().partition(b":")
        if name and tokens.isdigit():
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
    """Return a number in the product's unit, or `NOTHING`."""
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
    """Return the `Headers` that a server gets.

    Args:
        headers: The caller's `Headers`.
        time_left: Seconds that the caller will still wait, or `NOTHING`.
        server_id: The server that is to run it, and no other.
        urgency: Rank among waiting requests; 0 goes first.
        last_event: Event after which a stream goes on, or b"".
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
    """Return a copy without what concerns one connection or the system."""
    named = first_value(headers, b"connection").lower().split(b",")
    dropped = {name.strip() for name in named}
    dropped.update(HOP_BY_HOP_HEADERS, INTERNAL_HEADERS)
    sent = Headers()
    for name, values in headers.getAllRawHeaders():
        if name.lower() not in dropped:
            sent.setRawHeaders(name, values)
    return sent


def read_head(status, headers):
    """Return the `Head` of a server's answer."""
    echo = first_value(headers, REQUEST_ID)
    return Head(
        not_run=bool(first_value(headers, NOT_RUN)),
        misdirected=status == MISDIRECTED,
        echo=echo or NOTHING,
        stamped=bool(first_value(headers, RESPONSE_STAMP)),
        retry_after=read_decimal(headers, RETRY_AFTER),
        limit=read_limit(headers),
        leaving=read_leaving(headers),
        turned_away=status == SERVICE_UNAVAILABLE,
    )


def read_leaving(headers):
    """Return whether a server says that it leaves, or `INVALID`."""
    raw_values = headers.getRawHeaders(SERVER_LEAVING, ())
    if not raw_values:
        return False
    return True if [one.strip() for one in raw_values] == [b"1"] else INVALID


def read_limit(headers):
    """Return the requests a second that a server says it takes.

    Returns:
        Their number, `NOTHING` if it names none, or `INVALID`.
    """
    limit = read_decimal(headers, SERVER_LIMIT)
    if limit in (NOTHING, INVALID) or limit <= MAX_RATE_LIMIT:
        return limit
    return INVALID


def read_decimal(headers, name):
    """Return the decimal number of a header.

    Returns:
        The number, `NOTHING` if there is none, or `INVALID`. Of two it is
        open which one holds.
    """
    values = headers.getRawHeaders(name, ())
    if not values:
        return NOTHING
    text = values[0].strip()
    if len(values) > 1 or not DECIMAL.fullmatch(text):
        return INVALID
    return float(text)
