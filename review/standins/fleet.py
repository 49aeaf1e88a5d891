"""Entry hosts as separate processes, started as the deploy file does."""

import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import tomllib

__all__ = ["Fleet", "HostProcess", "free_ports"]

ROOT = pathlib.Path(__file__).resolve().parents[2]
PORT_COUNT = 8
PORTS = (20000, 32000)
"""First ports to choose from, below those of outgoing connections."""

SETTINGS = """\
node={name}
role=entry
class=front
serves=front,directory,control
ip={ip}
zone={zone}
region={region}
{zones}
listen.front={ip}:{p[0]}
listen.ready={ip}:{p[1]}
listen.control={ip}:{p[2]}
listen.directory={ip}:{p[3]}
port_range={p[4]},{p[5]}
seeds={seeds}
first_start=true
loss_counts=false
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=directory
heartbeat_interval_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,places,platform
tolerate.machines=1
tolerate.zones=1
tolerate.regions=1
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stable_window_ms=6000
bounds.ack_ms=8000
bounds.catch_up_s=4
bounds.drain_ms=4000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=4000
bounds.downgrade_slack_ms=250
bounds.max_stretch_ms=10000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_extra=54
bounds.cold_over=1.5
bounds.cold_slack=3
bounds.evacuation_ms=5000
bounds.recovery_s=12
bounds.pass_ms=800
bounds.reuse_window_s=10
bounds.ttl_max_s=5
platform.address={store}
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
"""


def free_ports(ips, count):
    """Return a first port from which *count* are free at all addresses."""
    for _ in range(200):
        first = random.randrange(*PORTS)
        if all(
            is_free(ip, first + number)
            for ip in ips
            for number in range(count)
        ):
            return first
    raise RuntimeError("no free ports")


def is_free(ip, port):
    """Return whether a port is free for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as one:
            try:
                one.bind((ip, port))
            except OSError:
                return False
    return True


class HostProcess:
    """One entry host, through the lives of its process."""

    def __init__(self, fleet, name, region, zone, ip):
        self.fleet = fleet
        self.name = name
        self.region = region
        self.zone = zone
        self.ip = ip
        self.process = None

    def address(self, number):
        """Return the address with the port of that number."""
        return f"{self.ip}:{self.fleet.first_port + number}"

    @property
    def directory(self):
        """Address of its directory."""
        return self.address(3)

    def start(self):
        """Start its process with the command of the deploy file."""
        path = self.fleet.folder / f"{self.name}.conf"
        path.write_text(self.fleet.settings(self), encoding="utf-8")
        deploy = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        )
        role = deploy["roles"]["entry"]
        words = role["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment.update(role.get("env", {}))
        environment["HYSSOP_METRICS_PORT"] = str(self.fleet.first_port + 7)
        environment["HYSSOPSPRING_BOOT"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        if words[0] == "python3":
            words[0] = sys.executable
        with open(self.fleet.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.fleet.record(event="host start", host=self.name)

    def send_signal(self, number):
        """Send a signal to its process."""
        self.fleet.record(
            event="host signal",
            host=self.name,
            signal=signal.Signals(number).name,
        )
        self.process.send_signal(number)

    def end(self):
        """End its process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Fleet:
    """All entry hosts.

    Args:
        folder: Folder for settings and logs.
        store: Address of the store.
        zones: Region by data centre.
        counts: Number of hosts by data centre.
        record: Called with the fields of an event.
    """

    def __init__(self, folder, store, zones, counts, record):
        self.folder = pathlib.Path(folder)
        self.store = store
        self.zones = zones
        self.record = record
        net = random.randrange(20, 250)
        self.hosts = []
        for position, (zone, count) in enumerate(counts.items()):
            for number in range(count):
                ip = f"127.{net}.{position + 1}.{number + 1}"
                name = f"front-{zone}-{number + 1}"
                self.hosts.append(
                    HostProcess(self, name, zones[zone], zone, ip)
                )
        ips = [host.ip for host in self.hosts]
        self.first_port = free_ports(ips, PORT_COUNT)

    def settings(self, host):
        """Return the text of the settings file of a host."""
        first_of_zone = {}
        for one in self.hosts:
            first_of_zone.setdefault(one.zone, one)
        seeds = [one.address(2) for one in first_of_zone.values()][:3]
        return SETTINGS.format(
            name=host.name,
            ip=host.ip,
            zone=host.zone,
            region=host.region,
            zones="\n".join(
                f"zones.{zone}={region}" for zone, region in self.zones.items()
            ),
            p=[self.first_port + number for number in range(PORT_COUNT)],
            seeds=",".join(seeds),
            store=self.store,
        )

    def start(self):
        """Start all hosts."""
        for host in self.hosts:
            host.start()

    def wait_ready(self, seconds=15.0):
        """Return whether all hosts listen within *seconds*."""
        until = time.monotonic() + seconds
        for host in self.hosts:
            while time.monotonic() < until:
                try:
                    socket.create_connection(
                        (host.ip, self.first_port), 0.5
                    ).close()
                    break
                except OSError:
                    time.sleep(0.05)
            else:
                return False
        return True

    def end(self):
        """End all processes."""
        for host in self.hosts:
            host.end()
