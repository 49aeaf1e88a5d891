"""Time from writing a file until it is in force at the last host.

Separate processes of the three-region example: changes one after the
other, then the calls of the key-value service a second, idle and while
keyed single runs arrive. Usage: ``python benchmarks/changes.py [COUNT]``.
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
KEYED_RATES = (100, 400)
KEYED_SECONDS = 4.0


def main():
    """Print the figures."""
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
    """Write *count* plain changes and ten restrictions."""
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
    print(f"longest loop stall of a gateway: {max(stalls)} ms")


def put_file(processes, text):
    """Write a file; return the seconds until it is in force everywhere."""
    status, report = processes.call_admin("PUT", "/v1/files/20-x.yaml", text)
    if status != 200 or report["not_in_force"]:
        raise SystemExit(f"not in force: {report}")
    return report["seconds"]


def print_times(title, times):
    """Print median and maximum."""
    median = statistics.median(times)
    print(f"{title}: median {median:.3f} s, max {max(times):.3f} s")


def store_call_counts(processes):
    """Return reads and writes so far."""
    _, response = processes.fetch("GET", f"http://{processes.platform}/counts")
    return response["reads"], response["writes"]


def report_idle(processes):
    """Print the calls a second while nothing happens."""
    reads, writes = store_call_counts(processes)
    time.sleep(IDLE_SECONDS)
    more_reads, more_writes = store_call_counts(processes)
    print(
        f"idle: {(more_reads - reads) / IDLE_SECONDS:.1f} reads/s, "
        f"{(more_writes - writes) / IDLE_SECONDS:.1f} writes/s"
    )


def report_keyed(processes, number):
    """Print the calls a second while keyed single runs arrive."""
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
        f"{number} keyed runs a second: {done} of {len(statuses)} answered, "
        f"{(more_reads - reads) / elapsed:.0f} reads/s, "
        f"{(more_writes - writes) / elapsed:.0f} writes/s, "
        f"median {statistics.median(times) * 1000:.0f} ms, "
        f"max {max(times) * 1000:.0f} ms"
    )


if __name__ == "__main__":
    main()
