"""Client of the platform's host list and client directory."""

import msgspec

from ..core.exceptions import NoAnswerError, PlatformError, ProtocolError
from ..core.records import dataclass
from ..core.requests import Target, TargetKind
from ..core.servers import ServerEntry
from ..net.clients import fetch_json

REQUEST_TIMEOUT_SECONDS = 1.0
"""Timeout of one request."""

FAILURES = (NoAnswerError, ProtocolError)
"""Errors of a request or of decoding its response."""


class HostRow(msgspec.Struct, frozen=True, kw_only=True):
    """One row of the host list.

    Attributes:
        name: Name of the host.
        kind: ``entry``, ``engine`` or ``service``.
        region: Its region.
        data_centre: Its data centre.
        address: Address for callers or gateways, as ``ip:port``.
        leaving: Whether it is about to shut down.
        models: Models that an engine serves.
        services: Services that a service server provides.
        forward: Address of an entry host for forwarded requests.
        control: Address of an entry host for control messages.
    """

    name: str
    kind: str
    region: str
    data_centre: str
    address: str
    leaving: bool = False
    models: list[str] = []
    services: list[str] = []
    forward: str = ""
    control: str = ""

    def server_entry(self):
        """Return the `ServerEntry` of a backend server."""
        models = {Target(TargetKind.MODEL, name) for name in self.models}
        services = {Target(TargetKind.SERVICE, name) for name in self.services}
        return ServerEntry(
            name=self.name,
            address=self.address,
            region=self.region,
            data_centre=self.data_centre,
            targets=frozenset(models | services),
            leaving=self.leaving,
        )


@dataclass(frozen=True, slots=True)
class HostList:
    """The rows of the host list, grouped by kind.

    Attributes:
        servers: `ServerEntry` of each backend server.
        gateways: `HostRow` of each entry host.
    """

    servers: tuple
    gateways: tuple


class HostListClient:
    """Reads the host list and publishes this host's directory entry.

    Args:
        url: Base address.
        agent: The agent to use.
        clock: The runtime's clock.
    """

    def __init__(self, url, agent, clock):
        self.url = url
        self.agent = agent
        self.clock = clock

    async def read(self):
        """Return the `HostList`.

        Raises:
            PlatformError: The platform sent no valid response.
        """
        response = await self.call(b"GET", "/hosts")
        try:
            rows = msgspec.convert(response["hosts"], list[HostRow])
        except (msgspec.ValidationError, KeyError, TypeError) as error:
            raise PlatformError(f"invalid host list: {error}") from None
        return HostList(
            tuple(row.server_entry() for row in rows if row.kind != "entry"),
            tuple(row for row in rows if row.kind == "entry"),
        )

    async def publish(self, host, entry):
        """Store this host's entry in the directory."""
        await self.call(b"PUT", f"/directory/{host}", entry)

    async def withdraw(self, host):
        """Remove this host's entry from the directory."""
        await self.call(b"DELETE", f"/directory/{host}")

    async def call(self, method, path, *body):
        """Send one request and return the decoded response.

        Raises:
            PlatformError: The platform did not respond, or with another
                status than 200.
        """
        try:
            status, response = await fetch_json(
                self.agent,
                method,
                self.url + path,
                *body,
                clock=self.clock,
                timeout=REQUEST_TIMEOUT_SECONDS,
            )
        except FAILURES as failure:
            raise PlatformError(repr(failure)) from failure
        if status != 200:
            raise PlatformError(f"{path} returned status {status}")
        return response
