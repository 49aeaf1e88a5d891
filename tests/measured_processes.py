"""Processes of the system whose memory and descriptors a test measures."""

import contextlib
import itertools
import os
import pathlib
import socket
import subprocess
import sys
import tempfile

from entry_hosts import configuration
from twisted.internet import reactor, task

from hyssopspring.core.addresses import split_address
from hyssopspring_fakes.backends import FakeBackend
from hyssopspring_fakes.metadata import FakeMetadata
from hyssopspring_fakes.ports import free_ports
from hyssopspring_fakes.soakfleet import SETTINGS

MEGABYTE = 1024 * 1024
SAMPLE_SECONDS = 0.02
IDENTIFIER = "identifier-0000"
"""Placeholder of the identifier of a request."""
IP = "127.0.0.30"
PORTS = 6


NUMBERS = itertools.count()


class Usage:
    """Most that a process was seen to hold.

    The content of temporary files counts as memory: the folder of such files
    has no disk below it.

    Args:
        pid: Identifier of the process.
    """

    def __init__(self, pid):
        self.folder = pathlib.Path(f"/proc/{pid}")
        self.descriptors = 0
        self.bytes = 0
        self.sampling = task.LoopingCall(self.sample)

    def sample(self):
        """Measure the process."""
        status = (self.folder / "status").read_text()
        resident = int(status.partition("VmRSS:")[2].split()[0]) * 1024
        opened, stored = 0, 0
        for entry in os.scandir(self.folder / "fd"):
            with contextlib.suppress(OSError):
                opened += 1
                if os.readlink(entry.path).startswith(tempfile.gettempdir()):
                    stored += os.stat(entry.path).st_blocks * 512
        self.descriptors = max(self.descriptors, opened)
        self.bytes = max(self.bytes, resident + stored)


class MeasuredHost:
    """One entry host as a process, before stand-ins in this process.

    Args:
        folder: Folder of its settings and log.
        body_bytes: Largest body that the configuration allows.
        idle_ms: Idle timeout of the configuration in milliseconds.
        limits: Settings of the machine's limits, by name.
    """

    def __init__(self, folder, *, body_bytes, idle_ms=15000, **limits):
        self.log = folder / "host.log"
        self.path = folder / "host.conf"
        self.store = FakeMetadata(reactor, "127.0.0.9")
        self.backends = []
        document = configuration()
        document["limits"] = {
            "max_body_bytes": body_bytes,
            "idle_timeout_ms": idle_ms,
        }
        for route in document["routes"]:
            route["timeout_ms"] = 10_000
            if route["name"] == "post":
                route["service"] = "other"
        document["services"].append({"name": "other"})
        store = self.store.start()
        self.store.put_json("op/config", document)
        self.backend = self.add_server("plain")
        self.add_server("other")
        port = free_ports([IP], PORTS)
        self.front = f"{IP}:{port}"
        self.pages = f"{IP}:{port + 1}"
        self.control = f"{IP}:{port + 2}"
        text = SETTINGS.format(
            name="h-north",
            ip=IP,
            region="north",
            port=port,
            ready=port + 1,
            control=port + 2,
            first=port + 3,
            last=port + PORTS - 1,
            seeds=self.control,
            stop=5,
            store=store,
        )
        lines = [f"limits.{name}={value}\n" for name, value in limits.items()]
        self.path.write_text(text + "".join(lines))
        self.process = None
        self.usage = None

    def add_server(self, service):
        """Start the server of a service and register it; return it."""
        backend = FakeBackend(reactor, service, "127.0.0.5")
        self.backends.append(backend)
        entry = {"service": service, "zone": "north-a", "version": "v1"}
        entry |= {"slots": 256, "state": "ready", "cold_left_ms": 0, "seq": 1}
        entry["address"] = backend.start()
        self.store.put_json(f"servers/{service}", entry)
        return backend

    async def start(self):
        """Start the process and wait until it serves."""
        words = ["-m", "hyssopspring.entry.launch", "--settings", self.path]
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, *words], stdout=log, stderr=log
            )
        self.usage = Usage(self.process.pid)
        assert await self.answers(), self.log.read_text()[-2000:]
        self.usage.sampling.start(SAMPLE_SECONDS)

    async def answers(self):
        """Return whether an ordinary caller is answered."""
        return await answers(self.front, "/post/a")

    def is_alive(self):
        """Return whether the process has not ended."""
        return self.process.poll() is None

    async def stop(self):
        """End the process and the stand-ins."""
        if self.usage.sampling.running:
            self.usage.sampling.stop()
        self.process.kill()
        self.process.wait()
        for backend in self.backends:
            await backend.stop()
        await self.store.stop()


class Client:
    """One connection, of which a test sends and reads the bytes.

    Args:
        address: ``ip:port`` to connect to.
        window: Bytes that the system receives ahead of the test.

    Attributes:
        unsent: What the other side has not taken yet.
        received: What was read so far.
        closed: Whether the other side has closed the connection.
    """

    def __init__(self, address, window=4096):
        self.unsent = b""
        self.received = b""
        self.closed = False
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        self.socket.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            self.socket.connect(split_address(address))

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.socket.close()

    @property
    def status(self):
        """Status of the last response, or 0 without one."""
        head = self.received.rpartition(b"HTTP/1.1 ")[2]
        return int(head[:3]) if head[:3].isdigit() else 0

    def send(self, data):
        """Send data, now or with the next call of `advance`."""
        self.unsent += with_identifiers(data)
        self.advance()

    def advance(self):
        """Send what the other side takes; return whether all is sent."""
        try:
            sent = self.socket.send(self.unsent) if self.unsent else 0
            self.unsent = self.unsent[sent:]
        except BlockingIOError:
            pass
        except OSError:
            self.closed, self.unsent = True, b""
        return not self.unsent

    def read(self, most=65536):
        """Read what has arrived, *most* bytes at most."""
        try:
            data = self.socket.recv(most)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        self.closed = self.closed or not data
        self.received += data

    async def receive_head(self, seconds=15.0):
        """Read until a response begins, the close, or *seconds* later."""
        end = reactor.seconds() + seconds
        while not (self.status or self.closed) and reactor.seconds() < end:
            self.advance()
            self.read()
            await task.deferLater(reactor, 0.01)


async def answers(address, path, seconds=20.0):
    """Return whether an ordinary caller, which retries, is answered."""
    end = reactor.seconds() + seconds
    while reactor.seconds() < end:
        with Client(address) as client:
            client.send(request("GET", path))
            await client.receive_head()
            if client.status == 200:
                return True
        await task.deferLater(reactor, 0.5)
    return False


class Crowd:
    """Clients that send the same.

    Args:
        address: Address to connect to.
        count: Number of clients.
        data: What each of them sends.
        options: Further arguments of each `Client`.
    """

    def __init__(self, address, count, data, **options):
        self.clients = [Client(address, **options) for _ in range(count)]
        for client in self.clients:
            client.unsent = with_identifiers(data)

    async def send(self, *, seconds=10.0):
        """Send all of it, or until the other side takes no more."""
        await self.until(lambda one: one.advance() or one.closed, seconds)

    async def until(self, condition, seconds=20.0):
        """Wait until *condition* holds for each client; return if it does."""
        end = reactor.seconds() + seconds
        while False in [bool(condition(client)) for client in self.clients]:
            if reactor.seconds() > end:
                return False
            await task.deferLater(reactor, SAMPLE_SECONDS)
        return True

    def close(self):
        """Close all connections."""
        for client in self.clients:
            client.socket.close()


def with_identifiers(data):
    """Return requests of which each has an identifier of its own."""
    parts = data.split(IDENTIFIER.encode())
    head, *rest = parts
    return b"".join([head, *(b"r%d" % next(NUMBERS) + one for one in rest)])


def request(method, path, body=b"", *, announced=None, lines=""):
    """Return the bytes of a request.

    Args:
        method: HTTP method.
        path: Path and query.
        body: The body, or the part of it that is sent.
        announced: Length that its head announces, if not that of the body.
        lines: Further header lines.
    """
    length = len(body) if announced is None else announced
    if length and "chunked" not in lines:
        lines += f"content-length: {length}\r\n"
    head = f"{method} {path} HTTP/1.1\r\nhost: a.example\r\n"
    head += f"x-request-attempt-id: {IDENTIFIER}\r\n{lines}\r\n"
    return head.encode() + body
