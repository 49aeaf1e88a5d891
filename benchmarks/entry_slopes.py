"""Measure how the work of an entry process grows with its environment.

The sizes that vary are those of the messages, of the server registry and of
the region.
"""

import random
import time

from hyssopspring.entry.messages import (
    Heartbeat,
    PlacementRow,
    RegionLoadMessage,
    ServerCapacityRow,
    ServiceLoad,
    decode_message,
    encode_message,
)
from hyssopspring.traffic.decisions import PlacementQuery
from hyssopspring.traffic.members import Member, Members, Subscription
from hyssopspring.traffic.placing import Placer
from hyssopspring.traffic.routes import EngineSpec, Service
from hyssopspring.traffic.servers import Registry, ServerEntry
from hyssopspring.traffic.work import Demand

ROUNDS = 2_000
REPEATS = 5
ENGINE = Service(
    name="engine", engine=EngineSpec(slots=64, memory_tokens=289_720)
)


def min_micros(work, rounds=ROUNDS):
    """Return the processor time of one call in microseconds.

    Args:
        work: Callable without arguments.
        rounds: Calls per repeat.

    Returns:
        The mean time of a call in the fastest of `REPEATS` repeats, which
        other processes of the machine disturb least.
    """
    fastest = float("inf")
    for _ in range(REPEATS):
        started_at = time.process_time()
        for _ in range(rounds):
            work()
        fastest = min(fastest, time.process_time() - started_at)
    return fastest / rounds * 1e6


def heartbeat(placements):
    """Return a heartbeat with *placements* open placements."""
    rows = [
        PlacementRow(n, f"i-{n:010d}", 2890, 9240, 50, 4, True)
        for n in range(placements)
    ]
    return Heartbeat(
        "front-dar-kariakoo-1",
        1_790_000_000_000,
        "dar",
        "dar-kariakoo",
        "10.1.0.35:8144",
        "10.1.0.35:7660",
        "10.1.0.35:7675",
        1.07,
        100.0,
        False,
        0.4,
        7,
        (500, 510),
        Subscription.ROSTERS,
        rows,
    )


def show_messages():
    """Print the size and decoding time of messages."""
    for placements in (0, 10, 50, 200):
        message = heartbeat(placements)
        data = encode_message(message)
        micros = min_micros(lambda data=data: decode_message(data), 500)
        print(
            f"heartbeat, {placements} requests: {len(data)} B, {micros:.1f} us"
        )
    for services in (2, 10, 34):
        loads = {
            f"s{n}": ServiceLoad(
                48, [ServerCapacityRow([100, 150, 200], 50, 9000)] * 4
            )
            for n in range(services)
        }
        data = encode_message(RegionLoadMessage("dar", loads))
        micros = min_micros(lambda data=data: decode_message(data), 500)
        print(f"summary, {services} services: {len(data)} B, {micros:.1f} us")


def make_placer(servers, placements, gap_objective=0.0):
    """Return a placer with *placements* running requests per server."""
    registry = Registry({"a": "north"})
    for n in range(servers):
        registry.put(
            ServerEntry(
                id=f"i-{n}",
                service="engine",
                address="127.0.0.1:1",
                data_centre="a",
            ),
            0.0,
        )
    placer = Placer(
        "north",
        registry,
        lambda name: ENGINE,
        lambda service: 6.0,
        random.Random(1),
        lambda now: {"north"},
    )
    for n in range(servers * placements):
        placer.place(make_query(n, gap_objective), 0.0)
    for key in list(placer.placements):
        placer.record_response_start(*key, 0.1, 0.1)
    return placer


def make_query(number, gap_objective=0.0):
    """Return the placement query of one request."""
    parts = ((f"a{number % 4}", 2520), (f"b{number % 100}", 3780))
    return PlacementQuery(
        host="h",
        number=number,
        service="engine",
        demand=Demand(
            parts=(*parts, (f"c{number}", 2890)), tokens_in=9190, tokens_out=50
        ),
        time_left=60.0,
        patience=60.0,
        gap_objective=gap_objective,
    )


def show_placing():
    """Print the processor time to place one request."""
    for servers in (5, 35, 70, 135):
        for placements, gap in ((0, 0.0), (16, 0.0), (16, 0.3)):
            placer = make_placer(servers, placements, gap)
            query = make_query(1_000_000, gap)

            def work(placer=placer, query=query):
                placer.place(query, 1.0)

            micros = min_micros(work, 200)
            print(
                f"place, {servers} servers with {placements} requests each, "
                f"gap objective {gap} s: {micros:.0f} us"
            )


def show_members():
    """Print the processor time to rank the hosts of a region."""
    for hosts in (3, 20, 90):
        members = Members(make_member(0))
        for n in range(1, hosts):
            members.add(make_member(n))
        for member in members.others.values():
            member.last_heartbeat_at = 1.0
        micros = min_micros(lambda members=members: members.placers(1.1), 200)
        print(f"rank {hosts} hosts: {micros:.0f} us")


def make_member(number):
    """Return the member entry of one host."""
    return Member(
        name=f"h{number}",
        region="north",
        data_centre="a",
        front="",
        control="",
        relay="",
        up_seconds=9.0,
    )


if __name__ == "__main__":
    show_messages()
    show_placing()
    show_members()
