"""From the log lines of a request to the configuration of each host."""

import json

import pytest_twisted
from entry_hosts import configuration
from testtools.assertions import assert_that
from testtools.matchers import Contains, ContainsDict, Equals

from hyssopspring.entry.messages import StoreChange
from hyssopspring.records import cause_of, read_records


def details(hosts, event, **wanted):
    """Return the newest line of an event that has the *wanted* fields."""
    for process in hosts.processes.values():
        process.log_writer.flush()
    rows = [json.loads(line) for line in hosts.lines]
    found = [
        row
        for row in rows
        if row["event"] == event and wanted.items() <= row.items()
    ]
    return found[-1]


@pytest_twisted.ensureDeferred
async def test_the_line_of_a_request_names_the_version_and_its_source(hosts):
    """Guards against log lines that do not explain an outdated version."""
    hosts.store.put_json("op/config", configuration(7))
    north = hosts.processes["h-north"]
    await hosts.until(lambda: north.keeper.version == 7)
    applied = details(hosts, "config_applied", host="h-north")
    assert_that(
        applied,
        ContainsDict(
            {
                "version": Equals("7"),
                "version_by": Equals("watch"),
                "version_from": Equals("store"),
                "watching": Equals("True"),
            }
        ),
    )
    await hosts.send("h-north", "/lookup/a", identifier="r1")
    answered = details(hosts, "answered", request="r1")
    assert_that(
        answered,
        ContainsDict({"version": Equals("7"), "version_by": Equals("watch")}),
    )
    await hosts.send("h-north", "/nowhere/a", identifier="r2")
    refused = details(hosts, "not_run", request="r2")
    assert_that(refused, ContainsDict({"version": Equals("7")}))
    records = [one for one in read_records(hosts.lines) if one.request == "r2"]
    assert_that(cause_of(records), Contains("held version 7 by watch"))


@pytest_twisted.ensureDeferred
async def test_a_relayed_request_logs_the_versions_of_both_hosts(hosts):
    """Guards against a relayed request that is logged with one version only.

    The two regions may have different versions in force.
    """
    answer = await hosts.send("h-north", "/bound/a", identifier="r3")
    assert_that(answer[0], Equals(200))
    relayed = details(hosts, "relayed", request="r3")
    answered = details(hosts, "answered", request="r3")
    assert_that(relayed["version"], Equals(answered["version"]))
    assert_that(relayed["host"], Equals("h-south"))


@pytest_twisted.ensureDeferred
async def test_a_host_that_is_behind_logs_it_once(hosts):
    """Guards against a host that stays behind its neighbours unlogged."""
    hosts.add_host("h-north-2", "north", 5)
    await hosts.settled()
    second = hosts.processes["h-north-2"]
    second.store_sync.stop()
    second.store_sync.choose_watching = lambda now: None
    second.membership.handlers[StoreChange] = lambda message: None
    hosts.store.put_json("op/config", configuration(8))
    await hosts.until(lambda: second.keeper.version == 8)
    behind = details(hosts, "config_behind", host="h-north-2")
    assert_that(behind, ContainsDict({"newer": Equals("8")}))
    applied = details(hosts, "config_applied", host="h-north-2")
    assert_that(applied["version_by"], Equals("copy"))
