"""Run the processes of an example topology on the loopback interface.

Usage: ``python examples/processes.py examples/kilimanjaro.yaml``.
"""

import contextlib
import hashlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

import yaml

from hyssopspring_fakes.ports import free_address

PEER_SECRET = "secret of the example fleet"
OPERATOR_TOKEN = "operator-token"
START_TIMEOUT_SECONDS = 30.0
"""Time in which a process has to respond after its start."""

OUTPUT_CHARACTERS = 2000
"""Characters of the output of a process that an error message shows."""

STOP_TIMEOUT_SECONDS = 20.0
"""Time in which all processes have to exit before they are killed."""


class Processes:
    """The processes of one topology.

    Args:
        topology: Decoded mapping of an example file.
        directory: Directory for settings files and logs.

    Attributes:
        platform: Address of the fake platform.
        admin: Address of the admin server.
        rows: Rows of the host list.
        running: Started processes, by name.
    """

    def __init__(self, topology, directory):
        self.topology = topology
        self.directory = pathlib.Path(directory)
        self.directory.mkdir(parents=True, exist_ok=True)
        self.platform = free_address()
        self.admin = free_address()
        self.rows = []
        self.running = {}
        for region, region_shape in topology["regions"].items():
            self.add_region_rows(region, region_shape)

    def add_region_rows(self, region, region_shape):
        """Add the host-list rows of one region."""
        for kind, count, prefix in (
            ("entry", region_shape["gateways"], "gateway"),
            ("engine", region_shape["engines"], "engine"),
            ("service", region_shape["services"], "service"),
        ):
            for number in range(count):
                self.rows.append(
                    self.make_row(region, kind, f"{region}-{prefix}-{number}")
                )

    def make_row(self, region, kind, name):
        """Return one host-list row."""
        row = {
            "name": name,
            "kind": kind,
            "region": region,
            "data_centre": f"{region}-a",
            "address": free_address(),
        }
        if kind == "entry":
            row |= {"forward": free_address(), "control": free_address()}
        if kind == "engine":
            row["models"] = self.topology["models"]
        if kind == "service":
            row["services"] = self.topology["services"]
        return row

    def start(self):
        """Start all processes and upload the initial configuration.

        Returns after all gateways are ready.

        Raises:
            SystemExit: The configuration was refused.
            RuntimeError: A process has exited.
            TimeoutError: A process did not respond in time.
        """
        hosts = self.write("hosts.yaml", {"hosts": self.rows})
        self.run(
            "platform",
            "hyssop-fake-platform",
            "--listen",
            self.platform,
            "--hosts",
            hosts,
        )
        self.wait_for("platform", self.platform, "/hosts")
        for row in self.rows:
            self.start_row(row)
        self.run("admin", "hyssop-admin", "--settings", self.admin_settings())
        self.wait_for("admin", self.admin, "/healthz")
        text = yaml.safe_dump(self.configuration())
        status, report = self.call_admin("PUT", "/v1/files/10-base.yaml", text)
        if status != 200:
            raise SystemExit(f"initial configuration was refused: {report}")
        for row in self.gateways():
            self.wait_for(row["name"], row["address"], "/readyz")

    def start_row(self, row):
        """Start the process of one host-list row."""
        name, address = row["name"], row["address"]
        if row["kind"] == "entry":
            path = self.write(f"{name}.yaml", self.gateway_settings(row))
            self.run(name, "hyssop-gateway", "--settings", path)
            return
        program = f"hyssop-fake-{row['kind']}"
        self.run(name, program, "--listen", address, "--name", name)

    def gateways(self):
        """Return the host-list rows of the gateways."""
        return [row for row in self.rows if row["kind"] == "entry"]

    def common_settings(self, name, region):
        """Return the settings that all processes share."""
        return {
            "host": name,
            "region": region,
            "data_centre": f"{region}-a",
            "regions": list(self.topology["regions"]),
            "platform": f"etcd+http://{self.platform}",
            "host_list": f"http://{self.platform}",
            "peer_secret": PEER_SECRET,
        }

    def gateway_settings(self, row):
        """Return the settings of one gateway."""
        peers = [
            {
                key: other[key]
                for key in ("region", "data_centre", "forward", "control")
            }
            | {"host": other["name"]}
            for other in self.gateways()
            if other is not row
        ]
        return self.common_settings(row["name"], row["region"]) | {
            "listen": row["address"],
            "forward": row["forward"],
            "control": row["control"],
            "peers": peers,
            "drain_seconds": 1.0,
        }

    def admin_settings(self):
        """Write the settings of the admin server and of its command line.

        Returns:
            Path of the settings of the admin server.
        """
        region = next(iter(self.topology["regions"]))
        settings = self.common_settings("admin-0", region) | {
            "listen": self.admin,
            "tokens": {"operators": OPERATOR_TOKEN},
        }
        self.write(
            "hyssopctl.yaml",
            {"admin": f"http://{self.admin}", "token": OPERATOR_TOKEN},
        )
        return self.write("admin.yaml", settings)

    def configuration(self):
        """Return the content of the initial configuration file."""
        regions = list(self.topology["regions"])
        round_trip_ms = self.topology["round_trip_ms"]
        workspaces = {}
        for name, values in self.topology["workspaces"].items():
            permissions = dict(values)
            key = permissions.pop("key")
            digest = hashlib.sha256(key.encode()).hexdigest()
            workspaces[name] = permissions | {"keys": {"example": digest}}
        return {
            "regions": {
                region: {
                    "round_trip_ms": {
                        other: float(round_trip_ms)
                        for other in regions
                        if other != region
                    }
                }
                for region in regions
            },
            "workspaces": workspaces,
            "models": {name: {} for name in self.topology["models"]},
            "services": {name: {} for name in self.topology["services"]},
        }

    def write(self, name, value):
        """Write *value* to a YAML file and return its path."""
        path = self.directory / name
        path.write_text(yaml.safe_dump(value, sort_keys=False))
        return str(path)

    def run(self, name, program, *arguments):
        """Start one process, with its output redirected to a log file."""
        log = open(self.directory / f"{name}.log", "ab")  # noqa: SIM115
        path = pathlib.Path(sys.executable).parent / program
        self.running[name] = subprocess.Popen(
            [str(path), *arguments], stdout=log, stderr=log
        )
        log.close()

    def wait_for(self, name, address, path):
        """Wait until a process answers a request for *path* with status 200.

        Raises:
            RuntimeError: The process has exited.
            TimeoutError: It does not within `START_TIMEOUT_SECONDS`.
        """
        last = "no response"
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            code = self.running[name].poll()
            if code is not None:
                raise RuntimeError(
                    f"{name} exited with {code}: {self.last_output(name)}"
                )
            try:
                status, _ = self.fetch("GET", f"http://{address}{path}")
                if status == 200:
                    return
                last = f"status {status}"
            except OSError as problem:
                last = str(problem)
            time.sleep(0.05)
        raise TimeoutError(
            f"{name} at {address}{path}: {last}; "
            f"output: {self.last_output(name)}"
        )

    def last_output(self, name):
        """Return the end of what a process has written to its log file."""
        text = (self.directory / f"{name}.log").read_text(errors="replace")
        return text[-OUTPUT_CHARACTERS:]

    def call_admin(self, method, path, text=None):
        """Call the admin server; return status and decoded JSON body."""
        return self.fetch(
            method,
            f"http://{self.admin}{path}",
            text.encode() if text is not None else None,
            {"Authorization": f"Bearer {OPERATOR_TOKEN}"},
        )

    def fetch(self, method, url, body=None, headers=None, timeout=20):
        """Send one request; return status and decoded JSON body."""
        request = urllib.request.Request(
            url, body, headers or {}, method=method
        )
        try:
            with urllib.request.urlopen(request, timeout=timeout) as response:
                return response.status, json.loads(response.read() or b"null")
        except urllib.error.HTTPError as error:
            return error.code, json.loads(error.read() or b"null")

    def signal(self, name, number):
        """Send the signal *number* to one process."""
        os.kill(self.running[name].pid, number)

    def stop(self):
        """Stop all processes; kill those that do not exit in time."""
        for process in self.running.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
        for process in self.running.values():
            remaining_seconds = max(0.1, deadline - time.monotonic())
            try:
                process.wait(remaining_seconds)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def main():
    """Start an example and keep it running until interrupted."""
    if len(sys.argv) != 2:
        raise SystemExit(__doc__)
    topology = yaml.safe_load(pathlib.Path(sys.argv[1]).read_text())
    processes = Processes(topology, "out/" + pathlib.Path(sys.argv[1]).stem)
    try:
        processes.start()
        for row in processes.gateways():
            print(f"{row['name']}: http://{row['address']}")
        print(f"hyssopctl --settings {processes.directory}/hyssopctl.yaml")
        print("press Ctrl-C to stop", flush=True)
        signal.pause()
    except KeyboardInterrupt:
        pass
    finally:
        processes.stop()


if __name__ == "__main__":
    main()
