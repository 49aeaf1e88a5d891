"""Decoding and encoding of the users' platform by its adapter."""

import json

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is
from twisted.web.http_headers import Headers

from hyssopspring.core.exceptions import ProtocolError, SettingsError
from hyssopspring.core.sentinels import NOTHING
from hyssopspring.entry.messages import (
    StoreChange,
    decode_message,
    encode_message,
)
from hyssopspring.platform import headers
from hyssopspring.platform.headers import read_start_time
from hyssopspring.platform.operator import (
    decode_configuration,
    evacuated_data_centre,
)
from hyssopspring.platform.registry import decode_server
from hyssopspring.platform.settings import parse_settings
from hyssopspring.platform.store import _Item, decode_item
from hyssopspring.stores.keyvalues import Entry
from hyssopspring.traffic.routes import RequestKind

SETTINGS = """\
node=front-1
ip=127.0.0.2
zone=north-a
region=north
zones.north-a=north
zones.south-a=south
listen.front=127.0.0.2:8144
port_range=7660,7675
seeds=127.0.0.2:8146,127.0.0.3:8146
platform.address=127.0.0.9:8142
bounds.retry_budget_extra=54
bounds.grace_s=8
limits.cpu_share=0.5
limits.cores=2
something.new=ignored
"""

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "a.example",
            "prefix": "/q/",
            "kind": "streaming",
            "timeout_ms": 15000,
            "target_latency_ms": 600,
            "gap_aim_ms": 300,
            "priority": 0,
            "service": "s1",
            "max_attempts": 2,
            "resumable": True,
            "home_regions": ["north"],
        },
        {
            "name": "r2",
            "host": "a.example",
            "prefix": "/r/",
            "kind": "non_idempotent",
            "timeout_ms": 2500,
            "weighted_services": [
                {"service": "s1", "weight": 90},
                {"service": "s2", "weight": 10},
            ],
        },
    ],
    "services": [
        {
            "name": "s1",
            "cold_s": 3.0,
            "cold_per_s": 2.2,
            "engine": {"slots": 64, "kv_capacity_tokens": 289720},
        },
        {"name": "s2"},
    ],
    "limits": {"max_body_bytes": 1000, "idle_timeout_ms": 15000},
}


def test_settings_are_decoded_into_the_products_units():
    """Unknown names are ignored; milliseconds become seconds."""
    settings = parse_settings("file", SETTINGS)
    assert_that(settings.regions["south-a"], Equals("south"))
    assert_that(settings.ports, Equals((7660, 7675)))
    assert_that(settings.capacity, Equals(1.0))
    assert_that(settings.retry_extra, Equals(54.0))
    assert_that(settings.min_lease_seconds, Equals(1.0))


@pytest.mark.parametrize(
    ("line", "named"),
    [
        ("port_range=7675,7660", "ports"),
        ("port_range=x,y", "x"),
        ("bounds.grace_s=soon", "bounds.grace_s"),
        ("bounds.grace_s=0.5", "stop_seconds"),
        ("limits.cpu_share=0", "capacity"),
    ],
)
def test_wrong_settings_name_the_value(line, named):
    """The error of an invalid value names the setting.

    Guards against a process that starts with an invalid value and fails
    only under traffic.
    """
    with pytest.raises(SettingsError) as raised:
        parse_settings("file", SETTINGS + line)
    assert named in str(raised.value)


def test_a_missing_setting_is_named():
    """The error for a missing setting names it for the operator."""
    text = SETTINGS.replace("region=north\n", "", 1)
    with pytest.raises(SettingsError) as raised:
        parse_settings("file", text)
    assert "region: missing" in str(raised.value)


def test_the_operators_document_is_decoded():
    """Each field is converted to the type and unit of the gateway."""
    value = msgspec.json.encode(CONFIGURATION)
    configuration = decode_configuration(value)
    quote, rate = configuration.routes
    assert_that(quote.kind, Is(RequestKind.STREAM))
    assert_that(quote.objective, Equals(0.6))
    assert_that(quote.gap_objective, Equals(0.3))
    assert_that(quote.homes, Equals(frozenset({"north"})))
    assert quote.repeatable and not rate.repeatable
    assert_that(
        [share.service for share in rate.services], Equals(["s1", "s2"])
    )
    assert_that(configuration.service("s1").engine.slots, Equals(64))
    assert_that(configuration.service("s2").engine, Is(NOTHING))
    assert_that(configuration.limits.idle_seconds, Equals(15.0))


@pytest.mark.parametrize("value", [b"", b"{}", b"[1]", b"\xff", b'{"a"'])
def test_documents_that_are_none_are_refused(value):
    """Invalid values raise `ProtocolError` and no other error.

    Guards against a host that stops following the store because one value
    cannot be decoded.
    """
    with pytest.raises(ProtocolError):
        decode_configuration(value)
    with pytest.raises(ProtocolError):
        decode_server("servers/x", value)


def test_evacuation_keys_are_distinguished_from_other_keys():
    """The key of the configuration is not an evacuation of a data centre."""
    assert_that(evacuated_data_centre("op/evacuate/a"), Equals("a"))
    assert_that(evacuated_data_centre("op/config"), Is(NOTHING))


def test_a_servers_entry_is_decoded():
    """Milliseconds become seconds, and the state becomes a flag."""
    row = {
        "service": "s1",
        "address": "127.0.0.5:80",
        "zone": "north-a",
        "version": "v1",
        "slots": 6,
        "state": "draining",
        "cold_left_ms": 1500,
        "time_left_ms": 2000,
        "seq": 4,
        "born": 1780000000000,
        "unknown": [],
    }
    entry = decode_server("servers/i-1", msgspec.json.encode(row))
    assert_that(entry.id, Equals("i-1"))
    assert entry.leaving
    assert_that((entry.cold_left, entry.terminates_in), Equals((1.5, 2.0)))
    assert_that(entry.born, Equals(1780000000000))
    assert_that(entry.version, Equals("v1"))


GOOD_ROW = {
    "service": "s1",
    "address": "127.0.0.5:80",
    "zone": "north-a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 4,
    "born": 1780000000000,
}


@pytest.mark.parametrize(
    "change",
    [
        *[{name: None} for name in GOOD_ROW if name != "born"],
        {"slots": 0},
        {"slots": "6"},
        {"slots": 6.5},
        {"state": "resting"},
        {"cold_left_ms": -1},
        {"cold_left_ms": "0"},
        {"address": "127.0.0.5"},
        {"address": ["127.0.0.5:80"]},
        {"address": "127.0.0.5:99999"},
        {"address": "127.0.0.5:0"},
        {"address": "127.0.0.5:-1"},
        {"address": "127.0.0.5:8_0"},
        {"address": "127.0.0.5: 80"},
        {"address": "127.0.0.5:" + "9" * 5_000},
        {"address": "127.0.0.999:80"},
        {"address": "server.example:80"},
        {"address": ":80"},
        {"address": "::1%a b:80"},
        {"born": 1.5},
        {"born": "1780000000000"},
        {"seq": True},
        {"slots": 100_001},
        {"slots": 10**15},
        {"born": -1},
        {"born": 10**15},
    ],
    ids=str,
)
def test_an_entry_that_is_no_servers_names_no_server(change):
    """Entries that no server has written are rejected.

    Guards against requests being sent to such an entry: another program
    writes under the same prefix, missing fields get default values, and an
    unknown state counts as ready.
    """
    decode_server("servers/i-1", msgspec.json.encode(GOOD_ROW))
    row = {**GOOD_ROW, **change}
    with pytest.raises(ProtocolError):
        decode_server("servers/i-1", msgspec.json.encode(row))
    lacking = {k: v for k, v in row.items() if v is not None}
    if None in change.values():
        with pytest.raises(ProtocolError):
            decode_server("servers/i-1", msgspec.json.encode(lacking))


def with_field(value):
    """Return the entry of a server with an unknown field of raw bytes."""
    return msgspec.json.encode(GOOD_ROW)[:-1] + b',"unknown":' + value + b"}"


def test_what_is_nested_too_deeply_cannot_be_decoded():
    """Guards against a server that stays in use although its entry is gone.

    The decoder raised `RecursionError`, which nothing expected. The same bytes
    may come in a report of a server or in a datagram.
    """
    nested = b"[" * 5_000 + b"]" * 5_000
    with pytest.raises(ProtocolError):
        decode_server("servers/i-1", with_field(nested))
    assert_that(read_start_time(with_field(nested)), Equals(0))
    change = StoreChange("h-1", "op/", 1, [], [], False, 0)
    fields = [*msgspec.msgpack.decode(encode_message(change)), None]
    longer = msgspec.msgpack.encode(fields)[:-1]
    with pytest.raises(ProtocolError):
        decode_message(longer + b"\x91" * 5_000 + b"\xc0")


@pytest.mark.parametrize("value", [b'"\xff"', b'"\\ud800"'])
def test_an_entry_with_unreadable_text_names_no_server(value):
    """Guards against an entry that is used although it cannot be read."""
    decode_server("servers/i-1", with_field(b'"text"'))
    with pytest.raises(ProtocolError):
        decode_server("servers/i-1", with_field(value))


def with_number(name, value):
    """Return the entry of a server with any integer in a field."""
    return json.dumps({**GOOD_ROW, name: value}).encode()


@pytest.mark.parametrize("name", ["slots", "born"])
def test_a_number_that_no_message_can_carry_names_no_server(name):
    """Guards against an entry of which hosts can send no message."""
    entry = with_number(name, 10**30)
    with pytest.raises(ProtocolError):
        decode_server("servers/i-1", entry)
    assert_that(read_start_time(with_number("born", 10**30)), Equals(0))


def test_headers_that_only_the_system_sets_do_not_pass():
    """Internal and hop-by-hop headers of a caller are not forwarded.

    Guards against a caller that sets the urgency of its own request or
    reserves memory of a server.
    """
    sent = Headers(
        {
            b"X-Hold": [b"1"],
            b"Kv-From": [b"1.2.3.4:5/x"],
            b"Kv-Fetch": [b"6.6.6.6:6"],
            b"X-Request-Urgency": [b"0"],
            b"X-Expect-Instance": [b"other"],
            b"Connection": [b"close, X-Private"],
            b"X-Private": [b"1"],
            b"X-Model": [b"m"],
            b"X-Deadline-Ms": [b"9000"],
            b"Host": [b"a.example"],
        }
    )
    got = headers.server_headers(
        sent,
        time_left=2.5,
        server_id="i-1",
        urgency=4,
        last_event=b"17",
        copy_from="1.2.3.4:6",
    )
    rows = {name.lower(): values[0] for name, values in got.getAllRawHeaders()}
    assert_that(
        rows,
        Equals(
            {
                b"x-model": b"m",
                b"host": b"a.example",
                b"x-deadline-ms": b"2500",
                b"x-expect-instance": b"i-1",
                b"x-request-urgency": b"4",
                b"last-event-id": b"17",
                b"kv-fetch": b"1.2.3.4:6",
            }
        ),
    )


@pytest.mark.parametrize(
    "parts", [b"", b"x", b":", b"a:b", b"a:1,,b:", b"\xff:3", b"a:1:2"]
)
def test_prompts_that_cannot_be_read_do_not_stop_a_request(parts):
    """An invalid header is ignored; the server decides about the request."""
    metadata = headers.read_caller(
        Headers({b"X-Prompt-Prefix": [parts], b"X-Deadline-Ms": [b"soon"]})
    )
    assert_that(metadata.deadline, Is(NOTHING))
    assert metadata.demand.tokens_in >= 0


def test_the_demand_is_read_from_the_prompt_and_the_hint():
    """The length hint of the caller replaces a higher output maximum."""
    metadata = headers.read_caller(
        Headers(
            {
                b"X-Prompt-Prefix": [b"5c1e:800,91bd:410"],
                b"X-Token-Usage": [b"1460,80"],
                b"X-Length-Hint": [b"30"],
                b"X-Deadline-Ms": [b"5000"],
            }
        )
    )
    assert_that(metadata.demand.parts, Equals((("5c1e", 800), ("91bd", 410))))
    assert_that(metadata.demand.tokens_in, Equals(1460))
    assert_that(metadata.demand.tokens_out, Equals(30))
    assert_that(metadata.deadline, Equals(5.0))


def test_a_value_that_is_no_base64_hides_no_other_entry():
    """Guards against a listing that fails on one entry of another writer."""
    entry = decode_item(_Item("servers/x", "YWJ", 4), 0)
    assert_that(entry, Equals(Entry("servers/x", b"", 4)))
