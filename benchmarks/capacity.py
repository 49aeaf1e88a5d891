"""Measure how the cost of each role grows, and extrapolate to full size.

Usage: ``python benchmarks/capacity.py``. Each cost is measured for at least
three sizes and fitted by a line. The last table evaluates these lines at the
size of the planned deployment, which the constants below give.
"""

import gc
import random
import sys
import time
import tracemalloc

from twisted.internet import defer, reactor, task

from hyssopspring.config.validation import FolderValidator, RawFile
from hyssopspring.core.accepted import (
    Accepted,
    decode_accepted,
    encode_accepted,
)
from hyssopspring.core.claims import (
    SHARD_COUNT,
    ClaimIndex,
    ClaimState,
    Record,
    Segment,
    encode_segment,
)
from hyssopspring.core.placement import CentreTable
from hyssopspring.core.requests import Target, TargetKind
from hyssopspring.core.servers import LoadReport, ServerEntry, ServerTable
from hyssopspring.net.membership import centre_summary, target_loads
from hyssopspring.net.messages import (
    ENCODER,
    DataCentreSummaryMessage,
    Heartbeat,
    ServerLoad,
    Signer,
    decode_message,
)
from hyssopspring_fakes.fleet import (
    Fleet,
    Shape,
    configuration_text,
    key_digest,
)

GATEWAYS = 330
DATA_CENTRES = 51
SERVERS = 2300
MODELS = 34
WORKSPACES = 330
CHANGES_PER_DAY = 1300
KEYED_REQUESTS_PER_SECOND = 120
SECONDS_PER_DAY = 86_400
RETENTION_HOURS = 3
MEASURE_SECONDS = 5.0
"""Time for which an idle fleet is measured."""

SIGNER = Signer("capacity")


def time_call(call, times):
    """Return the mean processor time of one call in microseconds."""
    began = time.process_time()
    for _ in range(times):
        call()
    return (time.process_time() - began) / times * 1e6


def slope(points):
    """Return intercept and slope of the least-squares line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    rise = sum((x - mean_x) * (y - mean_y) for x, y in points)
    run = sum((x - mean_x) ** 2 for x, _ in points)
    return mean_y - rise / run * mean_x, rise / run


def print_series(title, unit, points):
    """Print a series of measurements and its fit; return the fitted line."""
    line = slope(points)
    shown = ", ".join(f"{x:g}: {y:.1f}" for x, y in points)
    print(f"{title}: {shown}  -> {line[0]:.1f} + {line[1]:.4f} each, {unit}")
    return line


def make_servers(count):
    """Return a server table with a load report of each of *count* servers."""
    table = ServerTable("c")
    models = [Target(TargetKind.MODEL, f"model-{n}") for n in range(MODELS)]
    table.replace(
        ServerEntry(
            name=f"centre-engine-{number:04d}",
            address="127.0.0.1:1",
            region="r",
            data_centre="c",
            targets=frozenset({models[number % MODELS]}),
        )
        for number in range(count)
    )
    for name in table.servers:
        table.apply_report(name, report(1))
    return table


def report(sequence):
    """Return a load report with the given sequence number."""
    return LoadReport(
        incarnation=1,
        sequence=sequence,
        running=3,
        waiting=1,
        slots=8,
        leaving=False,
        at=0.0,
    )


def heartbeat(servers):
    """Return a heartbeat with the load of *servers* backend servers."""
    loads = [
        ServerLoad(2**31 + n, 2**31 + n, 99999, 3, 1, 8, False)
        for n in range(servers)
    ]
    return Heartbeat(
        host="region-gateway-0",
        data_centre="region-a",
        incarnation="0123456789ab",
        sequence=10**6,
        millis=10**12,
        counter=1,
        generation=10**5,
        contact=True,
        servers=loads,
    )


def measure_heartbeats():
    """Measure the size and processor time of heartbeats."""
    sizes, sending, receiving = [], [], []
    for servers in (1, 7, 45, 450):
        message = heartbeat(servers)
        data = ENCODER.encode(message)
        signature = SIGNER.sign(b"b:c", data)
        sizes.append((servers, len(data) + len(signature) + 10))
        sending.append((servers, time_call(lambda m=message: send(m), 300)))
        receiving.append(
            (
                servers,
                time_call(lambda d=data, s=signature: receive(d, s), 300),
            )
        )
    return (
        print_series("heartbeat by loads in it", "bytes", sizes),
        print_series("  send", "us", sending),
        print_series("  receive", "us", receiving),
    )


def send(message):
    """Encode and sign a message, as the message bus does."""
    data = ENCODER.encode(message)
    return SIGNER.sign(b"b:c", data)


def receive(data, signature):
    """Verify and decode a message, as the message bus does."""
    assert SIGNER.verify(signature, b"b:c", data)
    return decode_message(data)


def measure_summaries():
    """Measure the size and processor time of data centre summaries."""
    sizes, receiving = [], []
    for models in (4, 34, 340):
        table = ServerTable("c")
        table.replace(
            ServerEntry(
                name=f"e{number}",
                address="127.0.0.1:1",
                region="r",
                data_centre="c",
                targets=frozenset(
                    {Target(TargetKind.MODEL, f"model-{number}")}
                ),
            )
            for number in range(models)
        )
        message = DataCentreSummaryMessage(
            host="region-gateway-0",
            region="region",
            data_centre="region-a",
            incarnation="0123456789ab",
            sequence=10**6,
            millis=10**12,
            counter=1,
            generation=10**5,
            gateways=[f"10.0.0.{n}:8200" for n in range(7)],
            targets=target_loads(table, 0.0),
        )
        data = ENCODER.encode(message)
        signature = SIGNER.sign(b"b:c", data)
        centres = CentreTable("other")
        sizes.append((models, len(data) + 26))
        receiving.append(
            (
                models,
                time_call(
                    lambda d=data, s=signature, c=centres: c.apply_summary(
                        centre_summary(receive(d, s), 0.0)
                    ),
                    200,
                ),
            )
        )
    return (
        print_series("summary by models", "bytes", sizes),
        print_series("  receive", "us", receiving),
    )


def measure_table():
    """Measure the memory of the server table and the cost of a report."""
    taking, memory = [], []
    for servers in (5, 50, 500):
        gc.collect()
        tracemalloc.start()
        table = make_servers(servers)
        memory.append((servers, tracemalloc.get_traced_memory()[0] / 1024))
        tracemalloc.stop()
        names = list(table.servers)
        counter = iter(range(2, 10**9))
        taking.append(
            (
                servers,
                time_call(
                    lambda t=table, n=names, c=counter: t.apply_report(
                        n[0], report(next(c))
                    ),
                    2000,
                ),
            )
        )
    return (
        print_series("server table by servers", "KB", memory),
        print_series("  apply one report", "us", taking),
    )


def make_files(count):
    """Return a folder of *count* files with one workspace each."""
    regions = ", ".join(f"region-{n}: {{}}" for n in range(17))
    files = {
        "00-base.yaml": RawFile(
            f"regions: {{{regions}}}\nmodels: "
            f"{{{', '.join(f'model-{n}: {{}}' for n in range(MODELS))}}}\n",
            1,
        )
    }
    for number in range(count):
        digest = key_digest(f"key {number}")
        text = (
            f"workspaces:\n  workspace-{number}:\n"
            f"    home: region-{number % 17}\n"
            f"    residency: [region-{number % 17}]\n"
            f"    keys: {{main: {digest}}}\n"
            f"    limits: {{requests_per_second: 10.0, concurrent: 20}}\n"
        )
        files[f"{number + 10:05d}-team.yaml"] = RawFile(text, number + 2)
    return files


def measure_configuration():
    """Measure the accepted configuration by its number of files."""
    sizes, validating, decoding, memory = [], [], [], []
    for count in (10, 100, 330, 1000):
        folder = make_files(count)
        accepted = (
            FolderValidator(Accepted()).validate(folder, count + 2).accepted
        )
        data = encode_accepted(accepted)
        sizes.append((count, len(data) / 1024))
        changed = dict(folder)
        name = sorted(folder)[-1]
        changed[name] = RawFile(folder[name].content + "#", count + 9)
        validating.append(
            (
                count,
                time_call(
                    lambda a=accepted, c=changed, n=count: FolderValidator(
                        a
                    ).validate(c, n + 9),
                    3,
                )
                / 1000,
            )
        )
        decoding.append(
            (count, time_call(lambda d=data: decode_accepted(d), 5) / 1000)
        )
        gc.collect()
        tracemalloc.start()
        kept = decode_accepted(data)
        memory.append((count, tracemalloc.get_traced_memory()[0] / 1024))
        tracemalloc.stop()
        del kept
    return (
        print_series("accepted configuration by files", "KB", sizes),
        print_series("  validate one change", "ms", validating),
        print_series("  decode at a gateway", "ms", decoding),
        print_series("  memory at a gateway", "KB", memory),
    )


def measure_claims():
    """Measure the size, memory and processing time of claims."""
    rng = random.Random(1)
    memory, applying, sizes = [], [], []
    for count in (1_000, 10_000, 50_000):
        records = [
            Record(
                rng.randbytes(16), rng.randbytes(8), ClaimState.CLAIMED, 10**9
            )
            for _ in range(count)
        ]
        gc.collect()
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        index = ClaimIndex()
        for record in records:
            index.apply(record)
        memory.append(
            (count, (tracemalloc.get_traced_memory()[0] - before) / 1024)
        )
        tracemalloc.stop()
        fresh = ClaimIndex()
        began = time.process_time()
        for record in records:
            fresh.apply(record)
        applying.append((count, (time.process_time() - began) * 1000))
        sizes.append(
            (count, len(encode_segment(Segment(records=records))) / 1024)
        )
    return (
        print_series(
            "claim index by keys", "KB in addition to the records", memory
        ),
        print_series("  apply", "ms", applying),
        print_series("  stored", "KB", sizes),
    )


async def measure_fleet(gateways, regions):
    """Measure an idle fleet that runs on the reactor of this process.

    Args:
        gateways: Number of gateways in all regions.
        regions: Number of regions.

    Returns:
        Dictionary of processor time, traffic and polls per gateway, and of
        the reads of the key-value store in total.
    """
    names = tuple(f"region{n}" for n in range(regions))
    shape = Shape(
        regions=names,
        gateways=gateways // regions,
        engines=2,
        services=0,
    )
    fleet = Fleet(reactor, shape)
    await fleet.start()
    status, response = await fleet.put(
        "10-base.yaml", configuration_text(names, "key")
    )
    if status != 200:
        raise SystemExit(f"configuration was refused: {response}")
    await task.deferLater(reactor, 2.0)
    buses = [gateway.bus for gateway in fleet.gateways.values()]
    sent = sum(bus.bytes_sent for bus in buses)
    received = sum(bus.bytes_received for bus in buses)
    polls = sum(g.membership.polls for g in fleet.gateways.values())
    reads = fleet.platform.store.reads
    used = time.process_time()
    await task.deferLater(reactor, MEASURE_SECONDS)
    figures = {
        "cpu": (time.process_time() - used) / MEASURE_SECONDS / gateways * 100,
        "sent": (sum(bus.bytes_sent for bus in buses) - sent)
        / MEASURE_SECONDS
        / gateways,
        "heard": (sum(bus.bytes_received for bus in buses) - received)
        / MEASURE_SECONDS
        / gateways,
        "polls": (
            sum(g.membership.polls for g in fleet.gateways.values()) - polls
        )
        / MEASURE_SECONDS
        / gateways,
        "reads": (fleet.platform.store.reads - reads) / MEASURE_SECONDS,
    }
    await fleet.stop()
    return figures


async def measure_fleets():
    """Measure idle fleets of three sizes."""
    found = []
    for gateways, regions in ((2, 2), (8, 2), (32, 4)):
        figures = await measure_fleet(gateways, regions)
        found.append((gateways, figures))
        shown = ", ".join(f"{k} {v:.2f}" for k, v in figures.items())
        print(f"fleet of {gateways} gateways in {regions} regions: {shown}")
    print("  (cpu in % of a core per gateway, fakes and the admin server")
    print("   included; bytes and polls per second and gateway; reads of")
    print("   the key-value store per second in total)")
    return found


async def run():
    """Measure all costs and print the estimate for the planned size."""
    heartbeat_lines = measure_heartbeats()
    summary = measure_summaries()
    table = measure_table()
    configuration = measure_configuration()
    claims = measure_claims()
    await measure_fleets()
    print_estimate(heartbeat_lines, summary, table, configuration, claims)


def value_at(line, size):
    """Evaluate a fitted line at *size*."""
    return line[0] + line[1] * size


def print_estimate(heartbeat_lines, summary, table, configuration, claims):
    """Print the cost of each mechanism at the planned size."""
    hosts = GATEWAYS / DATA_CENTRES
    servers = SERVERS / DATA_CENTRES
    own = servers / hosts
    peers = hosts - 1
    size, send_us, receive_us = (
        value_at(line, own) for line in heartbeat_lines
    )
    print(
        f"--- {GATEWAYS} gateways, {DATA_CENTRES} data centres, "
        f"{SERVERS} backend servers"
    )
    print(
        f"heartbeats: {size * peers:.0f} bytes/s sent and received each, "
        f"{(send_us + peers * receive_us) / 1e4:.4f}% of a core per "
        "gateway"
    )
    reports = servers * value_at(table[1], servers)
    print(f"load reports: {reports / 1e4:.4f}% of a core per gateway")
    print(f"load polls: {own / 2:.1f} per second and gateway if all are idle")
    size = value_at(summary[0], MODELS)
    listeners = GATEWAYS - hosts
    every = max(1.0, size * listeners / 1000)
    print(
        f"summaries: {size:.0f} bytes to {listeners:.0f} listeners, one "
        f"every {every:.0f} s at the rate limit of 1,000 bytes/s; "
        f"{DATA_CENTRES * value_at(summary[1], MODELS) / every / 1e4:.4f}% "
        "of a core to receive all"
    )
    value = value_at(configuration[0], WORKSPACES)
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY
    print(
        f"configuration: size of {value:.0f} KB, "
        f"{value * 1024 * changes:.0f} bytes/s received on average, "
        f"{value_at(configuration[2], WORKSPACES) * changes / 10:.4f}% "
        "of a core, "
        f"{value_at(configuration[3], WORKSPACES):.0f} KB of memory per "
        "gateway; "
        f"validation takes {value_at(configuration[1], WORKSPACES):.0f} ms "
        "per change"
    )
    keys = KEYED_REQUESTS_PER_SECOND * RETENTION_HOURS * 3600
    owned = keys / SHARD_COUNT
    print(
        f"claims at {KEYED_REQUESTS_PER_SECOND} keyed requests per second, "
        f"kept for {RETENTION_HOURS} h: {keys:,} keys, "
        f"{owned * (claims[0][1] + 0.11) / 1024:.1f} MB at each owner of "
        f"one of {SHARD_COUNT} shards, "
        f"{keys * claims[2][1] / 1024:.0f} MB stored"
    )
    print(
        f"watches: {2 * DATA_CENTRES}, "
        f"host list reads: {2 * DATA_CENTRES}/s + "
        f"{(GATEWAYS - 2 * DATA_CENTRES) / 10:.0f}/s"
    )


def main():
    """Run all measurements on the reactor."""
    task.react(lambda _: defer.ensureDeferred(run()))


if __name__ == "__main__":
    sys.exit(main())
