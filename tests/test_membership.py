"""Messages between hosts, and what each host concludes from them."""

from types import SimpleNamespace

import pytest
import pytest_twisted
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not
from twisted.internet import reactor, task

from hyssopspring.core.membership import PeerEntry, PeerTable
from hyssopspring.core.requests import Target, TargetKind
from hyssopspring.core.servers import LoadReport, ServerEntry, ServerTable
from hyssopspring.net.bus import Bus
from hyssopspring.net.messages import Heartbeat
from hyssopspring_fakes.fleet import Shape, free_address

MODEL = Target(TargetKind.MODEL, "m")


@pytest.fixture
def shape():
    """Return a fleet with two gateways in each data centre."""
    return Shape(gateways=2, engines=1)


def beat(host, sequence):
    """Return a heartbeat."""
    return Heartbeat(
        host=host,
        data_centre="c",
        incarnation="i",
        sequence=sequence,
        millis=0,
        counter=0,
        generation=0,
    )


@pytest_twisted.ensureDeferred
async def test_neighbours_summary_is_not_another_data_centre(fleet):
    """A host never forwards to its own data centre.

    A request would go round among neighbours: the host that speaks for
    the data centre is heard by its neighbours as well, and they take the
    centre for another one with room.
    """
    await fleet.until(fleet.connected)
    await fleet.pause(1.5)
    for gateway in fleet.gateways.values():
        own = gateway.settings.data_centre
        assert_that(gateway.state.centres.summaries, Not(Contains(own)))


@pytest_twisted.ensureDeferred
async def test_message_that_breaks_its_handler_does_not_stop_the_rest():
    """One bad message costs itself and none of those behind it.

    An operator would see a host that misses every change for no visible
    cause: a message breaks its handler, the reader stops, and as the
    descriptor signals only the first message, nothing wakes it again.
    """
    heard, broken = [], []

    def received(message):
        if message.sequence == 1:
            raise KeyError("bad")
        heard.append(message.sequence)

    sender, receiver = (
        Bus(
            reactor,
            free_address(),
            "secret",
            on_message=received,
            on_rejected=broken.append,
            on_failure=broken.append,
        )
        for _ in range(2)
    )
    sender.start()
    receiver.start()
    receiver.subscribe(b"b")
    receiver.connect({sender.address})
    for _ in range(200):
        sender.publish(b"b", beat("h", 0))
        await task.deferLater(reactor, 0.02)
        if heard:
            break
    for number in range(1, 6):
        sender.publish(b"b", beat("h", number))
    for _ in range(200):
        await task.deferLater(reactor, 0.02)
        if 5 in heard:
            break
    sender.stop()
    receiver.stop()
    assert_that(heard[-4:], Equals([2, 3, 4, 5]))
    assert_that(len(broken), Equals(1))


@pytest_twisted.ensureDeferred
async def test_unsigned_message_is_dropped():
    """A message that was signed with another secret is not heard."""
    heard, refused = [], []
    sender = Bus(
        reactor,
        free_address(),
        "wrong",
        on_message=heard.append,
        on_rejected=refused.append,
        on_failure=refused.append,
    )
    receiver = Bus(
        reactor,
        free_address(),
        "right",
        on_message=heard.append,
        on_rejected=refused.append,
        on_failure=refused.append,
    )
    sender.start()
    receiver.start()
    receiver.subscribe(b"b")
    receiver.connect({sender.address})
    for _ in range(200):
        sender.publish(b"b", beat("h", 1))
        await task.deferLater(reactor, 0.02)
        if refused:
            break
    sender.stop()
    receiver.stop()
    assert_that(heard, Equals([]))
    assert_that(refused[0], Equals("bad signature"))


def make_peers(me, hosts):
    """Return the peer table of *me*."""
    peers = PeerTable(me, "c")
    peers.replace(
        PeerEntry(
            host=host,
            region="r",
            data_centre="c",
            address=host,
            forward=host,
            control=host,
        )
        for host in hosts
    )
    return peers


def test_work_of_a_lost_rack_moves_to_those_who_are_left():
    """Servers of lost hosts are polled by others within seconds.

    An operator would see load reports of some servers stop for good: the
    hosts that polled them are gone and nobody takes over.
    """
    hosts = [f"h{number}" for number in range(7)]
    servers = [f"s{number}" for number in range(45)]
    left = hosts[:3]
    tables = {host: make_peers(host, hosts) for host in left}
    for table in tables.values():
        for host in hosts:
            table.hear(beat(host, 1), 0.0)
        for host in left:
            table.hear(beat(host, 2), 4.0)
    owners = {
        server: [h for h in left if tables[h].owns(server, 4.5)]
        for server in servers
    }
    assert all(len(found) == 1 for found in owners.values())
    watchers = [host for host in left if tables[host].watches(4.5)]
    assert_that(len(watchers), Equals(2))


def test_late_message_does_not_bring_a_leaving_host_back():
    """An older message of the same incarnation changes nothing.

    A caller would be sent to a host that is gone: the word that it
    leaves is overtaken by an older heartbeat.
    """
    peers = make_peers("a", ["a", "b"])
    leaving = SimpleNamespace(
        host="b", incarnation="i", sequence=5, generation=0, leaving=True
    )
    assert peers.hear(leaving, 1.0)
    assert not peers.hear(beat("b", 4), 1.1)
    assert not peers.usable("b", 1.2)


def test_server_that_left_is_back_only_with_a_new_incarnation():
    """The host list cannot undo a server's own word that it leaves."""
    table = ServerTable("c")
    entry = ServerEntry(
        name="s",
        address="a",
        region="r",
        data_centre="c",
        targets=frozenset({MODEL}),
    )
    table.replace([entry])

    def take(incarnation, sequence, leaving):
        table.take_report(
            "s",
            LoadReport(
                incarnation=incarnation,
                sequence=sequence,
                running=0,
                waiting=0,
                slots=1,
                leaving=leaving,
                at=0.0,
            ),
        )

    take("one", 1, False)
    take("one", 2, True)
    table.replace([entry])
    take("one", 1, False)
    assert_that(table.serving(MODEL, 0.0), Equals([]))
    take("two", 1, False)
    assert_that(len(table.serving(MODEL, 0.0)), Equals(1))


def test_late_load_report_does_not_replace_a_newer_one():
    """A report that was overtaken brings no load back that has passed.

    Users would wait at a full server while others are idle: an old
    report says that it is idle, and arrives after the one that says full.
    """
    table = ServerTable("c")
    table.replace(
        [
            ServerEntry(
                name="s",
                address="a",
                region="r",
                data_centre="c",
                targets=frozenset({MODEL}),
            )
        ]
    )
    for sequence, running in ((2, 9), (1, 0)):
        table.take_report(
            "s",
            LoadReport(
                incarnation=1,
                sequence=sequence,
                running=running,
                waiting=0,
                slots=4,
                leaving=False,
                at=0.0,
            ),
        )
    assert_that(table.servers["s"].load(0.0), Equals(9.0))
