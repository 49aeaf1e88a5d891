"""Message types exchanged between hosts, and their signatures."""

import hashlib
import hmac

import msgspec

from ..core.exceptions import ProtocolError
from ..entry.messages import SuspectRow

FORMAT_VERSION = 1
"""Version of the message format; messages of other versions are rejected."""

MAC_BYTES = 16
"""Size of a signature."""


class ServerLoad(msgspec.Struct, frozen=True, array_like=True):
    """A load report that one host polled and passes on.

    Server name and incarnation are `short_id` hashes; in full they would
    make up two thirds of the heartbeat.

    Attributes:
        server: Hash of the server's name.
        incarnation: Hash of the server's incarnation.
        sequence: Number of the report within the incarnation.
        running: Requests in progress.
        waiting: Requests in the server's queue.
        slots: Requests that the server runs at the same time.
        leaving: Whether the server is draining.
    """

    server: int
    incarnation: int
    sequence: int
    running: int
    waiting: int
    slots: int
    leaving: bool


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """Capacity and load of one target in a data centre.

    Attributes:
        kind: Kind of the target.
        name: Name of the target.
        slots: Slots of all servers of the target.
        load: Load of these servers.
        wait: Shortest expected wait in seconds.
    """

    kind: str
    name: str
    slots: int
    load: float
    wait: float


class Heartbeat(
    msgspec.Struct, frozen=True, tag="beat", kw_only=True, omit_defaults=True
):
    """Periodic message of a host to the other hosts of its data centre.

    Attributes:
        version: Version of the message format.
        host: Name of the sender.
        data_centre: Data centre of the sender.
        incarnation: Identifier that changes with each start of the
            sender's process.
        sequence: Number that increases with each message of one
            incarnation.
        millis: Wall-clock part of the hybrid logical time.
        counter: Logical part of the hybrid logical time.
        generation: Configuration generation in force on the sender.
        leaving: Whether the sender is shutting down and is to receive no
            new work.
        contact: Whether the sender has just read the platform.
        servers: Load of the backend servers that the sender polls.
        departing: Backend servers that the sender has found to be
            draining.
    """

    version: int = FORMAT_VERSION
    host: str
    data_centre: str
    incarnation: str
    sequence: int
    millis: int
    counter: int
    generation: int
    leaving: bool = False
    contact: bool = False
    servers: list[ServerLoad] = []
    departing: list[str] = []


class DataCentreSummaryMessage(
    msgspec.Struct, frozen=True, tag="sum", kw_only=True, omit_defaults=True
):
    """Summary of a data centre for the other data centres.

    Attributes:
        version: Version of the message format.
        host: Name of the sender.
        region: Region of the sender.
        data_centre: Data centre of the sender.
        incarnation: Identifier that changes with each start of the
            sender's process.
        sequence: Number that increases with each message of one
            incarnation.
        millis: Wall-clock part of the hybrid logical time.
        counter: Logical part of the hybrid logical time.
        generation: Configuration generation in force on the sender.
        every: Seconds until the next summary.
        listeners: Number of hosts in other data centres that receive the
            summary and share the spare capacity.
        gateways: Addresses for forwarded requests.
        targets: `TargetLoad` of each target.
    """

    version: int = FORMAT_VERSION
    host: str
    region: str
    data_centre: str
    incarnation: str
    sequence: int
    millis: int
    counter: int
    generation: int
    every: float = 1.0
    listeners: int = 1
    gateways: list[str] = []
    targets: list[TargetLoad] = []


class CrashSuspectsMessage(
    msgspec.Struct, frozen=True, tag="crash", kw_only=True, omit_defaults=True
):
    """Requests that a host suspects of crashing backend servers.

    Attributes:
        version: Version of the message format.
        host: Name of the sender.
        rows: `SuspectRow` of each request.
        parts: `SuspectRow` of each start of prompts. Earlier releases ignore
            it.
    """

    version: int = FORMAT_VERSION
    host: str
    rows: list[SuspectRow]
    parts: list[SuspectRow] = []


class ForwardedRequestHead(msgspec.Struct, frozen=True, kw_only=True):
    """Metadata that is sent with a forwarded request.

    Attributes:
        id: Identifier of the request.
        attempt: Number of the attempt.
        path: Hosts that have forwarded the request.
        workspace: Workspace of the caller.
        kind: Kind of the target.
        target: Name of the target.
        residency: Regions in which the request may be served.
        home: Home region of the workspace.
        remaining: Seconds until the deadline.
        priority: Priority of the request.
        repeatable: Whether the request may run twice.
        key: Idempotency key or an empty string.
        prefix: Hash of the start of the prompt.
        stream: Whether the response is to be streamed.
        generation: Configuration generation that the sender applied.
        method: HTTP method for the backend server.
        resource: URL path for the backend server.
    """

    id: str
    attempt: int
    path: list[str]
    workspace: str
    kind: str
    target: str
    residency: list[str]
    home: str
    remaining: float
    priority: int
    repeatable: bool
    key: str
    prefix: int
    stream: bool
    generation: int
    method: str
    resource: str


MESSAGE_DECODER = msgspec.msgpack.Decoder(
    Heartbeat | DataCentreSummaryMessage | CrashSuspectsMessage
)
HEAD_DECODER = msgspec.msgpack.Decoder(ForwardedRequestHead)
ENCODER = msgspec.msgpack.Encoder()


class Signer:
    """Sign and verify the messages between hosts.

    Args:
        secret: Text of the secret that all hosts share.
    """

    def __init__(self, secret):
        self.key = hashlib.blake2b(secret.encode(), digest_size=32).digest()

    def sign(self, *parts):
        """Return the signature over *parts*.

        Each part is preceded by its length, so that the same bytes divided
        differently have another signature.
        """
        digest = hashlib.blake2b(key=self.key, digest_size=MAC_BYTES)
        for part in parts:
            digest.update(len(part).to_bytes(8, "big"))
            digest.update(part)
        return digest.digest()

    def verify(self, signature, *parts):
        """Whether *signature* is valid for *parts* and the shared secret."""
        return hmac.compare_digest(signature, self.sign(*parts))


def decode_message(data):
    """Return the message encoded in *data*.

    Raises:
        ProtocolError: The data is not a valid message, or the message is
            of another version.
    """
    return _checked(MESSAGE_DECODER, data)


def decode_head(data):
    """Return the `ForwardedRequestHead` encoded in *data*.

    Raises:
        ProtocolError: The data is not a valid head.
    """
    try:
        return HEAD_DECODER.decode(data)
    except msgspec.DecodeError as error:
        raise ProtocolError(
            f"invalid head of a forwarded request: {error}"
        ) from None


def _checked(decoder, data):
    """Decode a message and check its version."""
    try:
        message = decoder.decode(data)
    except msgspec.DecodeError as error:
        raise ProtocolError(f"invalid message: {error}") from None
    if message.version != FORMAT_VERSION:
        raise ProtocolError(f"unsupported message version {message.version}")
    return message
