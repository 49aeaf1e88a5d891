"""Replication of the records of requests that crash servers.

The tests use the simulated network of `networks`: three regions, latencies
of 0.2 ms within and 80 ms between them, and a loss of three datagrams in a
thousand.
"""

import msgspec
import pytest
from networks import Network
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from hyssopspring.core.sentinels import NOTHING
from hyssopspring.entry.crashsharing import suspect_row
from hyssopspring.entry.messages import (
    ServerCrashRow,
    SuspectRow,
    SuspectsMessage,
    decode_message,
    encode_message,
)
from hyssopspring.entry.requestorigins import request_origin
from hyssopspring.traffic.crashes import MAX_SUSPECTS
from hyssopspring.traffic.crashverdicts import Verdict
from hyssopspring.traffic.suspects import Suspect

PROPAGATION_SECONDS = 5.0
"""Seconds after a third crash in which each connected host must have the
record; a host may send it one second late."""

FINGERPRINT = "b" * 32


@pytest.fixture
def network():
    """Return a network of 60 hosts that have run for five seconds."""
    made = Network(20)
    made.run(5.0)
    return made


def origin_of(fingerprint, *parts):
    """Return the `RequestOrigin` of a request of one caller."""
    return request_origin(fingerprint, "c", "", parts)


def verdict_of(host, fingerprint=FINGERPRINT, *parts):
    """Return the verdict of a host on a request."""
    return host.sharing.assess(origin_of(fingerprint, *parts)).verdict


def end_servers(network, names, *, interval=0.1, fingerprint=FINGERPRINT):
    """Crash a server under a request at each host of *names*."""
    for number, name in enumerate(names):
        network.hosts[name].sharing.record_server_crash(
            origin_of(fingerprint), f"server-{name}-{number}"
        )
        network.run(interval)


def verdicts(network, fingerprint=FINGERPRINT):
    """Return the verdicts of all hosts that are up and connected."""
    return {
        verdict_of(host, fingerprint)
        for host in network.hosts.values()
        if host.up and host not in network.cut
    }


def test_all_hosts_learn_of_crashes_in_other_regions(network):
    """Guards against each region losing three servers to one request."""
    end_servers(network, ["north-3", "south-5", "west-19"])
    network.run(1.0)
    assert_that(verdicts(network), Equals({Verdict.BLOCKED}))


def test_first_crashes_are_announced_to_few_hosts(network):
    """Guards against broadcasts to all hosts when one server crashes.

    A server that crashes with 60 requests would fill the links of all hosts.
    """
    before = {
        name: host.datagrams.bytes_sent for name, host in network.hosts.items()
    }
    network.run(1.0)
    idle = sum(
        host.datagrams.bytes_sent - before[name]
        for name, host in network.hosts.items()
    )
    for number in range(60):
        network.hosts["north-3"].sharing.record_server_crash(
            origin_of(f"{number:032}"), "s"
        )
    network.run(1.0)
    spent = sum(
        host.datagrams.bytes_sent - before[name]
        for name, host in network.hosts.items()
    )
    assert_that(spent - 2 * idle, LessThan(60 * 12 * 150))
    assert_that(
        len(network.hosts["north-9"].sharing.crashes.suspects), Equals(0)
    )


def test_a_partitioned_region_catches_up_when_reconnected(network):
    """Guards against crashes in a region that was partitioned.

    The region could not receive the records of the crashes elsewhere.
    """
    west = {host for host in network.hosts.values() if host.region == "west"}
    network.cut |= west
    end_servers(network, ["north-3", "south-5", "north-7"])
    network.run(12.0)
    network.cut -= west
    network.run(PROPAGATION_SECONDS)
    assert_that(verdicts(network), Equals({Verdict.BLOCKED}))


def test_partitioned_regions_learn_through_a_third(network):
    """Guards against a partition of two regions that a third one reaches.

    North and west cannot reach each other, and south reaches both.
    """
    network.cut_pairs.add(frozenset(("north", "west")))
    end_servers(network, ["north-3", "north-5", "north-7"])
    network.run(PROPAGATION_SECONDS)
    assert_that(verdicts(network), Equals({Verdict.BLOCKED}))


def test_a_restarted_host_learns_of_blocked_requests(network):
    """Guards against a restarted host that sends the request to servers."""
    end_servers(network, ["north-3", "south-5", "north-7"])
    network.hosts["north-9"].up = False
    network.run(10.0)
    restarted = network.add("north-9", "north", 9, 2)
    network.introduce(restarted, network.hosts.values())
    network.run(2.0)
    assert_that(verdict_of(restarted), Equals(Verdict.BLOCKED))


def test_a_lost_announcement_is_repeated(network):
    """Guards against a host that admits the request after a lost datagram."""
    isolated = network.hosts["south-11"]
    network.cut.add(isolated)
    end_servers(network, ["south-3", "south-5", "south-7"])
    network.cut.discard(isolated)
    network.run(PROPAGATION_SECONDS)
    assert_that(verdict_of(isolated), Equals(Verdict.BLOCKED))


def test_all_hosts_learn_that_a_request_succeeded(network):
    """Guards against isolating a request for minutes after it succeeded."""
    end_servers(network, ["north-3", "south-5"])
    network.run(1.0)
    assert_that(verdicts(network), Equals({Verdict.ISOLATED}))
    network.hosts["west-8"].sharing.record_completion(FINGERPRINT, "c")
    network.run(PROPAGATION_SECONDS)
    assert_that(verdicts(network), Equals({Verdict.ALLOWED}))


def test_nothing_is_sent_between_hosts_in_sync(network):
    """Guards against hosts that keep sending records that all have."""
    end_servers(network, ["north-3", "south-5", "west-7"])
    network.run(5.0)
    count_since = count_suspects(network)
    network.run(10.0)
    assert_that(count_since(), Equals(0))


def test_more_suspects_than_the_table_holds_are_merged(network):
    """Guards against a failure midway through a long message.

    The rest of the records in the message would be lost.
    """
    host = network.hosts["north-3"]
    for first in range(0, MAX_SUSPECTS + 200, 100):
        rows = [
            SuspectRow(
                f"{first + one:032}", [ServerCrashRow("s", first + one, "h")]
            )
            for one in range(100)
        ]
        host.sharing.merge(SuspectsMessage("north-4", rows))
    assert len(host.sharing.crashes.suspects) <= MAX_SUSPECTS


def test_successful_repeats_are_announced_to_few_hosts(network):
    """Guards against a broadcast for each success after a crash.

    Sixty requests were about to begin on a server that crashed, and each
    succeeds on another server soon after. Three hosts of the region
    aggregate the records and send them to three hosts of each other region,
    each of which sends them to three hosts there.
    """
    for number in range(60):
        network.hosts["north-3"].sharing.record_server_crash(
            origin_of(f"{number:032}"), "s"
        )
    network.run(1.0)
    count_since = count_suspects(network)
    for number in range(60):
        network.hosts["north-3"].sharing.record_completion(
            f"{number:032}", "c"
        )
    network.run(1.0)
    few = 3 + 2 * 3 + 2 * 3 * 3
    assert_that(count_since(), LessThan(60 * (few + 1)))


def count_suspects(network):
    """Return a function that counts suspect datagrams sent from now on."""
    before = sum(host.suspect_datagrams for host in network.hosts.values())

    def count_since():
        now = sum(host.suspect_datagrams for host in network.hosts.values())
        return now - before

    return count_since


def end_servers_under_part(network, names, *parts, interval=0.1):
    """Crash a server under a new request with the parts at each host.

    From the third on, the request runs isolated.
    """
    for number, name in enumerate(names):
        network.hosts[name].sharing.record_server_crash(
            origin_of(f"{number:032}", *parts),
            f"server-{name}-{number}",
            isolated=number >= 2,
        )
        network.run(interval)


def part_verdicts(network, *parts):
    """Return the verdicts of all connected hosts on a new request."""
    return {
        verdict_of(host, "new", *parts)
        for host in network.hosts.values()
        if host.up and host not in network.cut
    }


def test_all_hosts_learn_of_a_part_that_crashes_servers(network):
    """Guards against each region losing three servers to one part."""
    end_servers_under_part(network, ["north-3", "south-5", "west-19"], "bad")
    network.run(1.0)
    assert_that(part_verdicts(network, "bad"), Equals({Verdict.BLOCKED}))
    assert_that(part_verdicts(network, "other"), Equals({Verdict.ALLOWED}))


def test_a_run_that_one_host_knows_counts_on_all(network):
    """Guards against blocking a common part that ran on another host only.

    The hosts at which servers crash have started since.
    """
    network.hosts["west-8"].sharing.record_part_runs(["part:common"], "s")
    network.run(20.0)
    end_servers_under_part(
        network, ["north-3", "south-5", "north-7"], "common", "bad"
    )
    network.run(1.0)
    assert_that(part_verdicts(network, "common"), Equals({Verdict.ALLOWED}))
    assert_that(
        part_verdicts(network, "common", "bad"), Equals({Verdict.BLOCKED})
    )


def test_a_host_that_knows_a_run_answers_each_report_without_it(network):
    """Guards against a report that is not answered, as it brings no news.

    The host has the record of the crash already, and its own run before it.
    """
    host, other = network.hosts["north-3"], network.hosts["north-4"]
    host.sharing.record_part_runs(["part:common"], "s")
    network.run(0.1)
    end_servers_under_part(network, ["north-3"], "common")
    network.run(1.0)
    (crash,) = host.sharing.crashes.suspects["part:common"].crashes.values()
    report = Suspect("part:common", {crash.server: crash})
    now = network.clock.seconds()
    count_since = count_suspects(network)
    host.sharing.merge(
        SuspectsMessage("north-4", [], [suspect_row(report, now)])
    )
    assert_that(count_since(), Equals(1))
    other.sharing.crashes.merge(report, now)
    network.run(0.5)
    found = other.sharing.crashes.suspects["part:common"]
    assert found.cleared_at is not NOTHING


def test_runs_that_all_hosts_know_are_not_announced(network):
    """Guards against a burst of messages when servers crash under load.

    Each host has run the common part, and none has anything to add to the
    reports of crashes, which go to the same hosts as those without parts.
    """
    for host in network.hosts.values():
        host.sharing.record_part_runs(["part:common"], "s")
    names = ["north-3", "south-5", "north-7", "west-2"]
    counts = []
    for request, parts in (("a", ()), ("b", ("common",))):
        count_since = count_suspects(network)
        for name in names:
            network.hosts[name].sharing.record_server_crash(
                origin_of(f"{request}-{name}", *parts), f"{request}-{name}"
            )
            network.run(0.3)
        counts.append(count_since())
    without_parts, with_parts = counts
    assert_that(with_parts, LessThan(without_parts + len(names)))
    assert_that(part_verdicts(network, "common"), Equals({Verdict.ALLOWED}))


def test_a_run_after_the_crashes_clears_a_part_on_all_hosts(network):
    """Guards against isolating a sound part for minutes after it ran."""
    end_servers_under_part(network, ["north-3", "south-5"], "sound")
    network.run(1.0)
    assert_that(part_verdicts(network, "sound"), Equals({Verdict.ISOLATED}))
    network.hosts["west-8"].sharing.record_part_runs(["part:sound"], "s")
    network.run(PROPAGATION_SECONDS)
    assert_that(part_verdicts(network, "sound"), Equals({Verdict.ALLOWED}))


def test_a_partitioned_region_learns_of_a_part_when_reconnected(network):
    """Guards against a region that goes on with a part after a partition."""
    west = {host for host in network.hosts.values() if host.region == "west"}
    network.cut |= west
    end_servers_under_part(network, ["north-3", "south-5", "north-7"], "bad")
    network.run(12.0)
    network.cut -= west
    network.run(PROPAGATION_SECONDS)
    assert_that(part_verdicts(network, "bad"), Equals({Verdict.BLOCKED}))


def test_a_restarted_host_learns_of_blocked_parts(network):
    """Guards against a restarted host that sends a part to servers."""
    end_servers_under_part(network, ["north-3", "south-5", "north-7"], "bad")
    network.hosts["north-9"].up = False
    network.run(10.0)
    restarted = network.add("north-9", "north", 9, 2)
    network.introduce(restarted, network.hosts.values())
    network.run(2.0)
    assert_that(verdict_of(restarted, "new", "bad"), Equals(Verdict.BLOCKED))


def test_parts_are_not_sent_between_hosts_in_sync(network):
    """Guards against hosts that keep sending records that all have.

    Some hosts know a run of one of the parts.
    """
    for name in ("north-1", "west-8"):
        network.hosts[name].sharing.record_part_runs(["part:common"], "s")
    end_servers_under_part(
        network, ["north-3", "south-5", "west-7"], "common", "bad"
    )
    network.run(5.0)
    count_since = count_suspects(network)
    network.run(10.0)
    assert_that(count_since(), Equals(0))


class EarlierCrashRow(msgspec.Struct, array_like=True, frozen=True):
    """The row of a crash as releases without parts know it."""

    server: str
    age_ms: int
    host: str
    caller: str = ""


class EarlierSuspectRow(msgspec.Struct, array_like=True, frozen=True):
    """The row of a request as these releases know it."""

    fingerprint: str
    ends: list[EarlierCrashRow]
    blocked: bool = False
    cleared_age_ms: int = -1


class EarlierSuspectsMessage(
    msgspec.Struct, array_like=True, tag="x", frozen=True
):
    """The message as these releases know it."""

    host: str
    rows: list[EarlierSuspectRow]


def test_an_earlier_release_reads_requests_and_no_parts(network):
    """Guards against a rolling restart in which hosts drop each other's news.

    Rows of parts beside those of requests would be rivals of requests there,
    so that no request would be blocked any more.
    """
    sharing = network.hosts["north-3"].sharing
    end_servers_under_part(network, ["north-3", "south-5", "north-7"], "bad")
    suspects = list(sharing.crashes.suspects.values())
    data = encode_message(sharing.message(suspects, network.clock.seconds()))
    read = msgspec.msgpack.decode(data, type=EarlierSuspectsMessage)
    names = {row.fingerprint for row in read.rows}
    assert_that(
        names, Equals({one.key for one in suspects if not one.is_part})
    )
    assert "bad" not in names


def test_a_message_of_an_earlier_release_is_read(network):
    """Guards against losing reports of hosts that are not updated yet."""
    row = ["f" * 32, [["s1", 5, "h", "c"], ["s2", 5, "h", "c"]], False, -1]
    data = msgspec.msgpack.encode(["x", "north-4", [row]])
    network.hosts["north-3"].sharing.merge(decode_message(data))
    suspect = network.hosts["north-3"].sharing.crashes.suspects["f" * 32]
    assert_that(len(suspect.crashes), Equals(2))
