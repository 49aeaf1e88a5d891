"""Signed control endpoints of gateways, and their client."""

from base64 import b64decode, b64encode
from binascii import Error as Base64Error

import msgspec
from twisted.internet import defer
from twisted.web.http_headers import Headers

from ..core.accepted import decode_accepted, encode_accepted
from ..core.events import Event
from ..core.exceptions import ProtocolError
from ..core.sentinels import NOTHING
from .clients import NETWORK_FAILURES, read_body
from .serving import header, respond, respond_error

SIGNATURE_HEADER = "hyssop-signature"

REQUEST_TIMEOUT_SECONDS = 1.0
"""Time limit of one request to a control endpoint."""

CONFIG_PATH = "/config"
STATUS_PATH = "/status"
EVENTS_PATH = "/events"
CLIENT_FAILURES = (*NETWORK_FAILURES, ProtocolError)
"""Errors after which a host counts as not responding."""


class HostStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State of one gateway.

    Attributes:
        host: Name of the gateway.
        region: Region of the gateway.
        data_centre: Data centre of the gateway.
        generation: Configuration generation that it enforces.
        leaving: Whether it is shutting down.
        active: Requests in progress.
        live: Hosts of its data centre that it considers live.
        servers: Load by backend server; -1 for one that is draining.
        centres: Age of the latest summary in seconds, by data centre.
        stall_ms: Longest recent stall of its event loop in milliseconds.
        trust: ``full``, or ``home only`` if it serves only the
            workspaces whose home is its region.
    """

    host: str
    region: str
    data_centre: str
    generation: int
    leaving: bool
    active: int
    live: list[str]
    servers: dict[str, float]
    centres: dict[str, float]
    stall_ms: float
    trust: str


class ControlApi:
    """Serve the signed control endpoints of one gateway.

    Args:
        signer: `Signer` of requests and responses.
        keeper: `GenerationKeeper` that has the configuration.
        timeline: `Timeline`, the event log.
        status: Callable that returns the `HostStatus`.
    """

    def __init__(self, signer, keeper, timeline, status):
        self.signer = signer
        self.keeper = keeper
        self.timeline = timeline
        self.status = status

    def add_routes(self, router):
        """Register the routes of the endpoints with *router*."""
        router.add("GET", CONFIG_PATH, self.show_config)
        router.add("GET", STATUS_PATH, self.show_status)
        router.add("GET", EVENTS_PATH, self.show_events)

    def show_config(self, request):
        """Respond with the accepted configuration."""
        self.respond_signed(
            request, lambda: encode_accepted(self.keeper.accepted)
        )

    def show_status(self, request):
        """Respond with the `HostStatus`."""
        self.respond_signed(
            request, lambda: msgspec.json.encode(self.status())
        )

    def show_events(self, request):
        """Respond with the stored events, optionally of one request."""
        request_id = request.args.get(b"request", [b""])[0].decode()
        self.respond_signed(
            request,
            lambda: msgspec.json.encode(
                self.timeline.select(request=request_id)
            ),
        )

    def respond_signed(self, request, make_body):
        """Respond to a signed request with a signed body.

        A request without a valid signature is rejected.

        Args:
            request: The HTTP request.
            make_body: Callable that returns the body.
        """
        try:
            signature = b64decode(header(request, SIGNATURE_HEADER))
        except Base64Error:
            signature = b""
        if not self.signer.verify(signature, request.uri):
            respond_error(request, 403, "bad_signature", "invalid signature")
            return
        body = make_body()
        body_signature = b64encode(
            self.signer.sign(request.uri, body)
        ).decode()
        respond(
            request,
            200,
            body,
            content_type="application/octet-stream",
            headers=[(SIGNATURE_HEADER, body_signature)],
        )


class ControlClient:
    """Query the signed control endpoints of other hosts.

    Args:
        agent: HTTP agent to use.
        clock: Clock of the event loop.
        signer: `Signer` of requests and responses.
    """

    def __init__(self, agent, clock, signer):
        self.agent = agent
        self.clock = clock
        self.signer = signer

    async def config(self, address):
        """Return the `Accepted` of a host, or `NOTHING`."""
        body = await self.fetch(address, CONFIG_PATH)
        return body if body is NOTHING else decode_accepted(body)

    async def status(self, address):
        """Return the `HostStatus` of a host, or `NOTHING`."""
        body = await self.fetch(address, STATUS_PATH)
        if body is NOTHING:
            return NOTHING
        return msgspec.json.decode(body, type=HostStatus)

    async def events(self, address, request=""):
        """Return the events that a host has stored, or `NOTHING`.

        Args:
            address: Address of the host for forwarded requests.
            request: Identifier of a request to which the events are
                limited, or an empty string for all.
        """
        path = f"{EVENTS_PATH}?request={request}" if request else EVENTS_PATH
        body = await self.fetch(address, path)
        if body is NOTHING:
            return NOTHING
        return msgspec.json.decode(body, type=list[Event])

    async def fetch(self, address, path):
        """Return the body of a response, or `NOTHING` if there is none.

        Args:
            address: Address of the host for forwarded requests.
            path: Path and query of the URL.
        """
        work = defer.ensureDeferred(self.send_request(address, path.encode()))
        work.addTimeout(REQUEST_TIMEOUT_SECONDS, self.clock)
        try:
            return await work
        except CLIENT_FAILURES:
            return NOTHING

    async def send_request(self, address, path):
        """Send one signed request and verify the signed response.

        Args:
            address: Address of the host for forwarded requests.
            path: Encoded path and query of the URL.

        Returns:
            The body of the response.

        Raises:
            ProtocolError: The status is not 200, or the signature is
                invalid.
        """
        signature = b64encode(self.signer.sign(path))
        response = await self.agent.request(
            b"GET",
            f"http://{address}".encode() + path,
            Headers({SIGNATURE_HEADER.encode(): [signature]}),
        )
        body = await read_body(response)
        values = response.headers.getRawHeaders(
            SIGNATURE_HEADER.encode(), [b""]
        )
        try:
            body_signature = b64decode(values[0])
        except Base64Error:
            body_signature = b""
        if response.code != 200:
            raise ProtocolError(
                f"{address} responded with status {response.code}"
            )
        if not self.signer.verify(body_signature, path, body):
            raise ProtocolError(
                f"response of {address} has an invalid signature"
            )
        return body
