"""Compare the throughput of the gateway with that of a minimal proxy.

Closed-loop callers send buffered and streamed requests to each of them and
directly to an engine, one after the other in several rounds. The tables give
the medians and the ratio of gateway and proxy.
Usage: ``python benchmarks/throughput.py``.
"""

import http.client
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "examples"))

from processes import Processes  # noqa: E402

from hyssopspring_fakes.ports import free_address  # noqa: E402

CALLERS = 16
MEASURE_SECONDS = 4.0
ROUNDS = 3
BUFFERED_BODY = (
    b'{"model":"quick-draft","prompt":"two lorries","max_tokens":1}'
)
STREAM_BODY = (
    b'{"model":"quick-draft","prompt":"two lorries","max_tokens":64,'
    b'"stream":true}'
)
TOPOLOGY = {
    "round_trip_ms": 60,
    "models": ["quick-draft"],
    "services": ["rating"],
    "regions": {"dar": {"gateways": 1, "engines": 2, "services": 1}},
    "workspaces": {"brokers": {"home": "dar", "key": "brokers-key"}},
}


class ClosedLoopCaller(threading.Thread):
    """Closed-loop caller, which sends a request after each response.

    Args:
        address: Address of the server.
        body: Body of each request.
        until: Monotonic time at which it stops.

    Attributes:
        times: Seconds of each request.
        events: Number of stream events received.
    """

    def __init__(self, address, body, until):
        super().__init__()
        self.connection = http.client.HTTPConnection(address, timeout=10)
        self.body = body
        self.until = until
        self.times = []
        self.events = 0

    def run(self):
        """Send requests until the end time."""
        headers = {
            "Authorization": "Bearer brokers-key",
            "X-Request-Id": "bench",
        }
        while time.monotonic() < self.until:
            started_at = time.perf_counter()
            self.connection.request(
                "POST", "/v1/completions", self.body, headers
            )
            response = self.connection.getresponse()
            body = response.read()
            if response.status != 200:
                raise SystemExit(
                    f"request failed with status {response.status}: "
                    f"{body[:200]!r}"
                )
            self.times.append(time.perf_counter() - started_at)
            self.events += body.count(b"data: {")


def processor_seconds(pid):
    """Return the processor time of a process in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")


def measure(address, pid, body):
    """Measure one server.

    Args:
        address: Address of the server.
        pid: Process ID of the server.
        body: Body of each request.

    Returns:
        Requests per second, requests and events per second of processor
        time of the server, p50 and p99 in milliseconds.
    """
    used = processor_seconds(pid)
    until = time.monotonic() + MEASURE_SECONDS
    callers = [ClosedLoopCaller(address, body, until) for _ in range(CALLERS)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    times = sorted(t for caller in callers for t in caller.times)
    events = sum(caller.events for caller in callers)
    return (
        len(times) / MEASURE_SECONDS,
        len(times) / (processor_seconds(pid) - used),
        events / (processor_seconds(pid) - used),
        times[len(times) // 2] * 1000,
        times[int(len(times) * 0.99)] * 1000,
    )


def resident_megabytes(pid):
    """Return the resident set size of a process in MB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def main():
    """Start the processes, measure and print the tables."""
    with tempfile.TemporaryDirectory() as directory:
        processes = Processes(TOPOLOGY, directory)
        pass_through = None
        try:
            processes.start()
            pass_through_address = free_address()
            engine = next(
                row for row in processes.rows if row["kind"] == "engine"
            )
            pass_through = subprocess.Popen(
                [
                    sys.executable,
                    str(ROOT / "benchmarks" / "passthrough.py"),
                    pass_through_address,
                    engine["address"],
                ]
            )
            time.sleep(1.5)
            report(processes, pass_through_address, pass_through.pid, engine)
        finally:
            if pass_through:
                pass_through.terminate()
                pass_through.wait()
            processes.stop()


def report(processes, pass_through, pass_through_pid, engine):
    """Measure all servers in turn and print the tables."""
    gateway = processes.gateways()[0]
    pid = processes.running[gateway["name"]].pid
    idle = resident_megabytes(pid)
    targets = {
        "gateway": (gateway["address"], pid),
        "pass-through": (pass_through, pass_through_pid),
        "direct": (engine["address"], processes.running[engine["name"]].pid),
    }
    for name, body in (
        ("whole", BUFFERED_BODY),
        ("stream of 64", STREAM_BODY),
    ):
        rows = {target: [] for target in targets}
        for _ in range(ROUNDS):
            for target, (address, number) in targets.items():
                rows[target].append(measure(address, number, body))
        print(f"{name}: medians of {ROUNDS} rounds, {CALLERS} callers")
        print("  requests/s, requests and events per processor second,")
        print("  p50 ms, p99 ms")
        medians = {}
        for target, found in rows.items():
            medians[target] = [
                statistics.median(column)
                for column in zip(*found, strict=True)
            ]
            numbers = "  ".join(f"{value:9.1f}" for value in medians[target])
            print(f"  {target:12s} {numbers}")
        ratio = medians["gateway"][1] / medians["pass-through"][1]
        print(f"  gateway / pass-through, by processor time: {ratio:.2f}")
    print(
        f"resident MB: idle {idle:.1f}, "
        f"after load {resident_megabytes(pid):.1f}"
    )


if __name__ == "__main__":
    main()
