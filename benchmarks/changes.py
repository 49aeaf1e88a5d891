"""Measure the time until a configuration change is in force on all hosts.

Runs the three-region example as separate processes. Writes changes one after
the other, then measures the call rate of the key-value store, both idle and
under non-repeatable requests with idempotency keys.
Usage: ``python benchmarks/changes.py [COUNT]``.
"""

import concurrent.futures
import pathlib
import statistics
import sys
import tempfile
import time

import yaml

ROOT = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "examples"))

from processes import Processes  # noqa: E402

IDLE_SECONDS = 5.0
"""Time for which the idle fleet is measured."""

KEYED_RATES = (100, 400)
"""Requests with idempotency keys per second, one measurement each."""

KEYED_SECONDS = 4.0
"""Time for which requests are sent at each rate."""


def main():
    """Run all measurements and print their results."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 100
    topology = yaml.safe_load(
        (ROOT / "examples" / "kilimanjaro.yaml").read_text()
    )
    with tempfile.TemporaryDirectory() as directory:
        processes = Processes(topology, directory)
        try:
            processes.start()
            time.sleep(3)
            report_changes(processes, count)
            report_idle(processes)
            for number in KEYED_RATES:
                report_keyed(processes, number)
        finally:
            processes.stop()


def report_changes(processes, count):
    """Write *count* plain changes and five restrictions; print the times."""
    plain = []
    for number in range(count):
        text = f"workspaces: {{brokers: {{deadline_ms: {20000 + number}}}}}\n"
        plain.append(put_file(processes, text))
    print_times(f"{count} plain changes", plain)
    strict = []
    for number in range(5):
        limit = 100 - number
        text = (
            f"workspaces: {{brokers: {{limits: {{concurrent: {limit}}}}}}}\n"
        )
        strict.append(put_file(processes, text))
    print_times("5 restrictions", strict)
    _, response = processes.call_admin("GET", "/v1/status")
    stalls = [host["stall_ms"] for host in response["hosts"]]
    print(f"longest event loop stall of a gateway: {max(stalls)} ms")


def put_file(processes, text):
    """Write a file; return the seconds until it is in force on all hosts.

    Raises:
        SystemExit: It is refused, or not in force on some host.
    """
    status, report = processes.call_admin("PUT", "/v1/files/20-x.yaml", text)
    if status != 200 or report["not_in_force"]:
        raise SystemExit(f"change is not in force on all hosts: {report}")
    return report["seconds"]


def print_times(title, times):
    """Print the median and maximum of *times*."""
    median = statistics.median(times)
    print(f"{title}: median {median:.3f} s, max {max(times):.3f} s")


def store_call_counts(processes):
    """Return the reads and writes of the key-value store so far."""
    _, response = processes.fetch("GET", f"http://{processes.platform}/counts")
    return response["reads"], response["writes"]


def report_idle(processes):
    """Print the calls per second of an idle fleet."""
    reads, writes = store_call_counts(processes)
    time.sleep(IDLE_SECONDS)
    more_reads, more_writes = store_call_counts(processes)
    print(
        f"idle: {(more_reads - reads) / IDLE_SECONDS:.1f} reads/s, "
        f"{(more_writes - writes) / IDLE_SECONDS:.1f} writes/s"
    )


def report_keyed(processes, number):
    """Print the calls per second under *number* keyed requests per second."""
    addresses = [row["address"] for row in processes.gateways()]
    times = []

    def send_keyed_request(index):
        started_at = time.perf_counter()
        status, _ = processes.fetch(
            "POST",
            f"http://{addresses[index % len(addresses)]}/services/rating/pay",
            b"1",
            {
                "Authorization": "Bearer reviews-key",
                "Idempotency-Key": f"{number}-{index}",
            },
        )
        times.append(time.perf_counter() - started_at)
        return status

    reads, writes = store_call_counts(processes)
    started_at = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(32) as pool:
        work = []
        for index in range(int(number * KEYED_SECONDS)):
            due = started_at + index / number
            time.sleep(max(0.0, due - time.monotonic()))
            work.append(pool.submit(send_keyed_request, index))
        statuses = [job.result() for job in work]
    elapsed = time.monotonic() - started_at
    more_reads, more_writes = store_call_counts(processes)
    done = statuses.count(200)
    print(
        f"{number} keyed requests per second: "
        f"{done} of {len(statuses)} answered, "
        f"{(more_reads - reads) / elapsed:.0f} reads/s, "
        f"{(more_writes - writes) / elapsed:.0f} writes/s, "
        f"median {statistics.median(times) * 1000:.0f} ms, "
        f"max {max(times) * 1000:.0f} ms"
    )


if __name__ == "__main__":
    main()
