"""Replication of the records of requests that crash servers.

The tests use the simulated network of `networks`: three regions, latencies
of 0.2 ms within and 80 ms between them, and a loss of three datagrams in a
thousand.
"""

import pytest
from networks import Network
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from hyssopspring.entry.messages import (
    ServerCrashRow,
    SuspectRow,
    SuspectsMessage,
)
from hyssopspring.entry.requestorigins import request_origin
from hyssopspring.traffic.crashes import MAX_SUSPECTS, Verdict

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
