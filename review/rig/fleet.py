"""Entry hosts as processes, with the command of the deploy file."""

import asyncio
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

from .http import Connection

ROOT = pathlib.Path(__file__).resolve().parents[2]
COMMAND = ["python3", "-S", "-m", "hyssopspring.entry.launch"]
PORTS = 8
START_ATTEMPTS = 3
START_SECONDS = 8

SETTINGS = """\
node={name}
role=entry
class=front
serves=front,directory,control
ip={ip}
zone={zone}
region={region}
{zones}
listen.front={ip}:{port}
listen.ready={ip}:{ready}
listen.control={ip}:{control}
listen.directory={ip}:{directory}
port_range={first},{last}
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
    """Return the first of some ports that are free at all addresses."""
    first = 20000 + random.randrange(8000)
    for port in range(first, 32000, count):
        try:
            for ip in ips:
                for one in range(port, port + count):
                    with socket.socket() as probe:
                        probe.bind((ip, one))
        except OSError:
            continue
        return port
    raise OSError("no free ports")


class Host:
    """One entry host.

    Args:
        fleet: The `Fleet`.
        name: Its name.
        zone: Its zone.
        region: Its region.
        ip: Its IP address.
    """

    def __init__(self, fleet, name, zone, region, ip):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.region = region
        self.ip = ip
        self.process = None
        self.ends = []

    @property
    def front(self):
        """Address for clients."""
        return f"{self.ip}:{self.fleet.port}"

    @property
    def directory(self):
        """Address of its directory."""
        return f"{self.ip}:{self.fleet.port + 3}"

    def start(self):
        """Start the process."""
        fleet = self.fleet
        port = fleet.port
        path = fleet.folder / f"{self.name}.conf"
        path.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                region=self.region,
                zones="\n".join(
                    f"zones.{zone}={region}" for zone, region in fleet.zones
                ),
                port=port,
                ready=port + 1,
                control=port + 2,
                directory=port + 3,
                first=port + 4,
                last=port + PORTS - 2,
                seeds=",".join(
                    f"{one.ip}:{port + 2}" for one in fleet.hosts[:3]
                ),
                store=fleet.store.address,
            )
        )
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(fleet.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "HYSSOPSPRING_BOOT": str(path),
            "HYSSOP_METRICS_PORT": str(port + PORTS - 1),
        }
        log = (fleet.folder / f"{self.name}.log").open("ab")
        with log:
            self.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number):
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait(self, seconds):
        """Wait for the end of the process; return its exit status."""
        until = time.monotonic() + seconds
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        return self.process.poll()

    def stop(self):
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        """Return whether the process answers that it is ready."""
        try:
            connection = await Connection.open(
                f"{self.ip}:{self.fleet.port + 1}"
            )
        except OSError:
            return False
        connection.send("GET", "/v1/ready", {"Host": self.ip})
        answer = await connection.receive()
        connection.close()
        return answer is not None and answer.status == 200


class Fleet:
    """Entry hosts before a store.

    Args:
        store: The `Store`.
        zones: Rows of zone and region.
        hosts: Rows of name, zone and IP address.
    """

    def __init__(self, store, zones, hosts):
        self.store = store
        self.zones = zones
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        regions = dict(zones)
        self.hosts = [
            Host(self, name, zone, regions[zone], ip)
            for name, zone, ip in hosts
        ]
        self.port = free_ports([one.ip for one in self.hosts], PORTS)

    async def start(self, record=None):
        """Start all hosts, and wait until they are ready.

        A port may be taken between its choice and its use, so that the start
        is repeated with others.

        Raises:
            TimeoutError: One of them is not ready in time.
        """
        text = ""
        for _ in range(START_ATTEMPTS):
            late = await self.try_start()
            if late is None:
                return
            text = f"{late.name} is not ready, status {late.process.poll()}"
            if record is not None:
                record.note(text)
            self.stop(keep=True)
            self.port = free_ports([one.ip for one in self.hosts], PORTS)
        raise TimeoutError(text)

    async def try_start(self):
        """Start all hosts; return one that is not ready in time, or None."""
        for host in self.hosts:
            host.start()
        until = time.monotonic() + START_SECONDS
        for host in self.hosts:
            while not await host.is_ready():
                if time.monotonic() > until or host.process.poll() is not None:
                    return host
                await asyncio.sleep(0.1)
        return None

    def log(self, host):
        """Return what a host has written."""
        return (self.folder / f"{host.name}.log").read_text(errors="replace")

    def stop(self, *, keep=False):
        """End all hosts and remove their files."""
        for host in self.hosts:
            host.stop()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)
