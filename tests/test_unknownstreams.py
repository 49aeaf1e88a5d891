"""Streams that no host knows, of services with one version or several."""

from types import SimpleNamespace

import pytest
from networks import Network
from test_streamrestarts import groups, kill
from testtools.assertions import assert_that
from testtools.matchers import Equals
from twisted.internet import defer

from hyssopspring.core.sentinels import NOTHING
from hyssopspring.entry.streamversion import StreamVersion
from hyssopspring.traffic.servers import ServerEntry
from hyssopspring.traffic.streamrecords import StreamRecord, stream_of

TIMEOUT = 15.0
ATTEMPT = b"attempt"


@pytest.fixture
def network():
    """Return nine hosts that have listed a server of v1 for some time."""
    made = Network(3)
    made.run(5.0)
    list_servers(made.hosts.values(), 5.0, "v1")
    made.run(TIMEOUT + 1.0)
    return made


def list_servers(hosts, now, *versions):
    """Let hosts receive the entries of a server of each version."""
    for host in hosts:
        for version in versions:
            entry = ServerEntry(
                id=f"server-{version}",
                service="s",
                address="h:1",
                data_centre="north-a",
                version=version,
            )
            host.registry.put(entry, now)


def restart(network, names, *versions):
    """Kill some hosts; let them list servers after they are back."""
    kill(network, names)
    hosts = [network.hosts[name] for name in names]
    list_servers(hosts, network.clock.seconds(), *versions)


def resume(network, name):
    """Return the version at which a host lets an unknown stream go on."""
    host = network.hosts[name]
    shares = [SimpleNamespace(service="s")]
    version = StreamVersion(
        host.stream_origins,
        host.registry,
        SimpleNamespace(services=shares, timeout=TIMEOUT, stream=True),
        SimpleNamespace(first_attempt=ATTEMPT, last_event=b"3"),
    )
    results = []
    defer.ensureDeferred(version.resolve()).addCallback(results.append)
    network.run(1.0)
    assert_that(len(results), Equals(1))
    return version.required if results[0] is NOTHING else NOTHING


def test_the_listed_version_is_not_taken_for_the_only_one(network):
    """Guards against a guess by hosts of which some have started again."""
    first, others = groups(network)
    restart(network, first, "v1")
    network.run(4.0)
    restart(network, others, "v1")
    assert_that(resume(network, first[0]), Equals(NOTHING))


def test_a_version_from_before_the_start_is_not_ruled_out(network):
    """Guards against a guess by hosts that list what is left only."""
    first, others = groups(network)
    now = network.clock.seconds()
    list_servers(network.hosts.values(), now, "v2")
    for host in network.hosts.values():
        host.registry.remove("server-v2", now + 1.0, outage=False)
    network.run(2.0)
    restart(network, first, "v1")
    network.run(4.0)
    restart(network, others, "v1")
    assert_that(resume(network, first[0]), Equals(NOTHING))


def test_hosts_that_started_together_know_no_history(network):
    """Guards against a guess after a start of all hosts."""
    names = sorted(network.hosts)
    restart(network, names, "v1")
    for _ in range(3):
        network.run(TIMEOUT)
        assert_that(resume(network, names[0]), Equals(NOTHING))


def test_contradicting_records_are_not_overruled(network):
    """Guards against a version that hosts have stated differently."""
    records = network.hosts["north-0"].stream_origins.records
    for origin in (1, 2):
        record = StreamRecord(origin, network.clock.seconds())
        records.add(stream_of(ATTEMPT), record)
    assert_that(resume(network, "north-0"), Equals(NOTHING))


def test_a_stream_of_an_unlisted_start_has_no_version(network):
    """Guards against a stream that goes on at the version of a former start.

    Its server had started again, with a version that no list shows.
    """
    began_at = network.hosts["south-0"].stream_origins
    began_at.record(ATTEMPT, "s", "")
    network.run(1.0)
    for name in ("south-0", "north-0"):
        assert_that(resume(network, name), Equals(NOTHING))
