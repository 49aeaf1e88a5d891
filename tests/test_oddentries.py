"""Entries that another program has written among those of the servers."""

import json

import pytest
import pytest_twisted
from testtools.assertions import assert_that
from testtools.matchers import Equals

NESTED = "[" * 5_000 + "]" * 5_000
HUGE = "1" + "0" * 400


def write_entry(hosts, name, **changes):
    """Write the entry of a server, with JSON texts in place of fields."""
    entry = hosts.store.get_json("servers/plain-north")
    rows = {key: json.dumps(value) for key, value in entry.items()}
    rows.update(changes)
    text = ", ".join(f'"{key}": {value}' for key, value in rows.items())
    hosts.store.put(f"servers/{name}", f"{{{text}}}".encode())


@pytest.mark.parametrize(
    "changes",
    [
        {"unknown": NESTED},
        {"slots": HUGE},
        {"born": HUGE},
        {"address": '"127.0.0.5:99999"'},
    ],
    ids=["nested", "slots", "born", "port"],
)
@pytest_twisted.ensureDeferred
async def test_an_odd_entry_keeps_no_host_from_its_work(hosts, changes):
    """Guards against an entry that ends hosts or their messages.

    The fixture fails if a host has logged an unexpected error.
    """
    write_entry(hosts, "odd", **changes)
    await hosts.until(lambda: len(hosts.decoded("server_unreadable")) == 2)
    hosts.add_backend("plain-new", "plain", "north")
    hosts.add_host("h-late", "north", 4)
    await hosts.until(hosts.processes["h-late"].is_ready)
    for process in hosts.processes.values():
        await hosts.until(
            lambda process=process: "plain-new" in process.registry.servers
        )
        assert "odd" not in process.registry.servers
    for name in hosts.processes:
        status, _, _ = await hosts.send(name, "/post/a", identifier=name)
        assert_that(status, Equals(200))
