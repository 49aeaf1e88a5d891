"""Gateway beside a bare pass-through, in one run.

Each is asked by the same closed-loop callers in turn, whole and
streamed, several rounds; the table gives medians and their ratios.
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

from processes import Processes, free_address  # noqa: E402

CALLERS = 16
SECONDS = 4.0
ROUNDS = 3
WHOLE = b'{"model":"quick-draft","prompt":"two lorries","max_tokens":1}'
STREAM = (
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


class Caller(threading.Thread):
    """One closed-loop caller."""

    def __init__(self, address, body, until):
        super().__init__()
        self.connection = http.client.HTTPConnection(address, timeout=10)
        self.body = body
        self.until = until
        self.times = []
        self.events = 0

    def run(self):
        """Ask until the time is over."""
        headers = {
            "Authorization": "Bearer brokers-key",
            "X-Request-Id": "bench",
        }
        while time.monotonic() < self.until:
            began = time.perf_counter()
            self.connection.request(
                "POST", "/v1/completions", self.body, headers
            )
            answer = self.connection.getresponse()
            body = answer.read()
            if answer.status != 200:
                raise SystemExit(f"status {answer.status}: {body[:200]!r}")
            self.times.append(time.perf_counter() - began)
            self.events += body.count(b"data: {")


def processor_seconds(pid):
    """Return the processor time that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")


def measure(address, pid, body):
    """Measure one place.

    Returns:
        Requests a second, requests and events per second of processor
        time of the process, p50 and p99 in milliseconds.
    """
    used = processor_seconds(pid)
    until = time.monotonic() + SECONDS
    callers = [Caller(address, body, until) for _ in range(CALLERS)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    times = sorted(t for caller in callers for t in caller.times)
    events = sum(caller.events for caller in callers)
    return (
        len(times) / SECONDS,
        len(times) / (processor_seconds(pid) - used),
        events / (processor_seconds(pid) - used),
        times[len(times) // 2] * 1000,
        times[int(len(times) * 0.99)] * 1000,
    )


def resident(pid):
    """Return the resident memory of a process in MB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def main():
    """Print the table."""
    with tempfile.TemporaryDirectory() as directory:
        processes = Processes(TOPOLOGY, directory)
        bare = None
        try:
            processes.start()
            bare_address = free_address()
            engine = next(
                row for row in processes.rows if row["kind"] == "engine"
            )
            bare = subprocess.Popen(
                [
                    sys.executable,
                    str(ROOT / "benchmarks" / "passthrough.py"),
                    bare_address,
                    engine["address"],
                ]
            )
            time.sleep(1.5)
            report(processes, bare_address, bare.pid, engine)
        finally:
            if bare:
                bare.terminate()
                bare.wait()
            processes.stop()


def report(processes, bare, bare_pid, engine):
    """Measure all in turn and print."""
    gateway = processes.gateways()[0]
    pid = processes.running[gateway["name"]].pid
    idle = resident(pid)
    places = {
        "gateway": (gateway["address"], pid),
        "pass-through": (bare, bare_pid),
        "direct": (engine["address"], processes.running[engine["name"]].pid),
    }
    for name, body in (("whole", WHOLE), ("stream of 64", STREAM)):
        rows = {place: [] for place in places}
        for _ in range(ROUNDS):
            for place, (address, number) in places.items():
                rows[place].append(measure(address, number, body))
        print(f"{name}: medians of {ROUNDS} rounds, {CALLERS} callers")
        print("  requests/s, requests and events per processor second,")
        print("  p50 ms, p99 ms")
        medians = {}
        for place, found in rows.items():
            medians[place] = [
                statistics.median(column)
                for column in zip(*found, strict=True)
            ]
            numbers = "  ".join(f"{value:9.1f}" for value in medians[place])
            print(f"  {place:12s} {numbers}")
        ratio = medians["gateway"][1] / medians["pass-through"][1]
        print(f"  gateway / pass-through, by processor time: {ratio:.2f}")
    print(f"resident MB: idle {idle:.1f}, after load {resident(pid):.1f}")


if __name__ == "__main__":
    main()
