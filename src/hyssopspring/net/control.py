"""Signed pages that hosts and the administration ask each other for."""

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
CONFIG_PATH = "/config"
STATUS_PATH = "/status"
EVENTS_PATH = "/events"
CLIENT_FAILURES = (*NETWORK_FAILURES, ProtocolError)


class HostStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State of one gateway.

    Attributes:
        host: Its name.
        region: Its region.
        data_centre: Its data centre.
        generation: Configuration that it enforces.
        leaving: Whether it is being stopped.
        active: Requests in progress.
        live: Live hosts of its data centre, as it sees them.
        servers: Load by backend server; -1 for one that is leaving.
        centres: Age in seconds of each other data centre's summary.
        stall_ms: Longest time that its loop stood still lately.
        trust: ``full``, or ``home only`` if it is confined.
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
    """Serve the signed pages of one gateway.

    Args:
        signer: The `Signer`.
        keeper: The `GenerationKeeper`.
        timeline: The `Timeline`.
        status: Called for the `HostStatus`.
    """

    def __init__(self, signer, keeper, timeline, status):
        self.signer = signer
        self.keeper = keeper
        self.timeline = timeline
        self.status = status

    def add_routes(self, router):
        """Add the pages."""
        router.add("GET", CONFIG_PATH, self.show_config)
        router.add("GET", STATUS_PATH, self.show_status)
        router.add("GET", EVENTS_PATH, self.show_events)

    def show_config(self, request):
        """Answer with the accepted configuration."""
        self.respond_signed(
            request, lambda: encode_accepted(self.keeper.accepted)
        )

    def show_status(self, request):
        """Answer with the `HostStatus`."""
        self.respond_signed(
            request, lambda: msgspec.json.encode(self.status())
        )

    def show_events(self, request):
        """Answer with the kept events."""
        request_id = request.args.get(b"request", [b""])[0].decode()
        self.respond_signed(
            request,
            lambda: msgspec.json.encode(
                self.timeline.select(request=request_id)
            ),
        )

    def respond_signed(self, request, make_body):
        """Answer a signed request with a signed body."""
        try:
            signature = b64decode(header(request, SIGNATURE_HEADER))
        except Base64Error:
            signature = b""
        if not self.signer.verify(signature, request.uri):
            respond_error(request, 403, "bad_signature", "bad signature")
            return
        body = make_body()
        signed = b64encode(self.signer.sign(request.uri, body)).decode()
        respond(
            request,
            200,
            body,
            content_type="application/octet-stream",
            headers=[(SIGNATURE_HEADER, signed)],
        )


class ControlClient:
    """Read the signed pages of other hosts.

    Args:
        agent: The agent to use.
        clock: The runtime's clock.
        signer: The `Signer`.
    """

    def __init__(self, agent, clock, signer):
        self.agent = agent
        self.clock = clock
        self.signer = signer

    async def config(self, address):
        """Return the `Accepted` that the host holds, or `NOTHING`."""
        body = await self.fetch(address, CONFIG_PATH)
        return body if body is NOTHING else decode_accepted(body)

    async def status(self, address):
        """Return the `HostStatus` of the host, or `NOTHING`."""
        body = await self.fetch(address, STATUS_PATH)
        if body is NOTHING:
            return NOTHING
        return msgspec.json.decode(body, type=HostStatus)

    async def events(self, address, request=""):
        """Return the events that the host keeps, or `NOTHING`."""
        path = f"{EVENTS_PATH}?request={request}" if request else EVENTS_PATH
        body = await self.fetch(address, path)
        if body is NOTHING:
            return NOTHING
        return msgspec.json.decode(body, type=list[Event])

    async def fetch(self, address, path):
        """Return the body of a page, or `NOTHING` if there is no answer.

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
        """Send one signed request and check the signed answer."""
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
            signed = b64decode(values[0])
        except Base64Error:
            signed = b""
        if response.code != 200:
            raise ProtocolError(f"{address} answered {response.code}")
        if not self.signer.verify(signed, path, body):
            raise ProtocolError(f"bad signature of {address}")
        return body
