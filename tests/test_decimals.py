"""Numbers that servers state in the headers of their responses."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals
from twisted.web.http_headers import Headers

from hyssopspring.core.sentinels import INVALID
from hyssopspring.platform.headers import read_head

VALUES = [
    (b"3", 3.0),
    (b"3.3333333333333335", 3.3333333333333335),
    (b" 2.6666666666666665 ", 2.6666666666666665),
    (b"0000000000000000002.5", 2.5),
    (b"2.", 2.0),
    (b".5", 0.5),
    (b"0." + b"0" * 20 + b"1", 1e-21),
    (b"", INVALID),
    (b".", INVALID),
    (b"+3", INVALID),
    (b"-3", INVALID),
    (b"3e0", INVALID),
    (b"3,5", INVALID),
    (b"0x3", INVALID),
    (b"3 5", INVALID),
    (b"1_000", INVALID),
    ("٣".encode(), INVALID),
    (b"nan", INVALID),
    (b"9" * 400, INVALID),
]


def read(limit=b"1", retry_after=b"1", load=b"1,0,8"):
    """Return the `ResponseHead` of a response with these headers."""
    headers = {
        b"server-limit": [limit],
        b"retry-after": [retry_after],
        b"x-server-load": [load],
    }
    return read_head(503, Headers(headers))


@pytest.mark.parametrize(("text", "value"), VALUES)
def test_a_decimal_number_is_read_alike_in_each_header(text, value):
    """Guards against a limit or pause that is dropped for its digits."""
    assert_that(read(limit=text).limit, Equals(value))
    assert_that(read(retry_after=text).retry_after, Equals(value))
    load = read(load=b"1,0,8," + text).load
    if value is INVALID:
        assert_that(load, Equals(INVALID))
    else:
        assert_that(load.slowdown, Equals(value / 100))


@given(st.decimals(0, 1_000_000, allow_nan=False, places=None))
def test_any_decimal_number_is_read_as_its_value(number):
    """Guards against valid numbers of a form that nobody has listed."""
    text = format(number.copy_abs(), "f")
    expected = float(text) if len(text) <= 100 else INVALID
    assert_that(read(limit=text.encode()).limit, Equals(expected))
