"""Typed messages between hosts, and their signatures."""

import hashlib
import hmac

import msgspec

from ..core.exceptions import ProtocolError
from ..entry.messages import SuspectRow

FORMAT_VERSION = 1
MAC_BYTES = 16


class ServerLoad(msgspec.Struct, frozen=True, array_like=True):
    """A load report that one host took and passes on.

    Name and incarnation are `short_id` hashes: in full they would be two
    thirds of the heartbeat.
    """

    server: int
    incarnation: int
    sequence: int
    running: int
    waiting: int
    slots: int
    leaving: bool


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """Slots, load and shortest wait in seconds of one target."""

    kind: str
    name: str
    slots: int
    load: float
    wait: float


class Heartbeat(
    msgspec.Struct, frozen=True, tag="beat", kw_only=True, omit_defaults=True
):
    """What a host tells the others of its data centre.

    Attributes:
        version: Version of the message format.
        host: Name of the sender.
        data_centre: Its data centre.
        incarnation: Changes each time that the process starts.
        sequence: Grows with each message of one incarnation.
        millis: Hybrid logical time, wall-clock part.
        counter: Hybrid logical time, other part.
        generation: Configuration in force there.
        leaving: Whether the host takes no new work.
        contact: Whether the host has just read the platform.
        servers: Load of the backend servers that it polls.
        departing: Backend servers that it has evidence of leaving.
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
    """What a data centre tells the others.

    Attributes:
        version: Version of the message format.
        host: Name of the sender.
        region: Its region.
        data_centre: Its data centre.
        incarnation: Changes each time that the sender starts.
        sequence: Grows with each message of one incarnation.
        millis: Hybrid logical time, wall-clock part.
        counter: Hybrid logical time, other part.
        generation: Configuration in force there.
        every: Seconds until the next summary.
        listeners: Hosts that share what is spare.
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
    """What a host knows of calls under which backend servers ended.

    Attributes:
        version: Version of the message format.
        host: Name of the sender.
        rows: `SuspectRow` of each call.
    """

    version: int = FORMAT_VERSION
    host: str
    rows: list[SuspectRow]


class ForwardedRequestHead(msgspec.Struct, frozen=True, kw_only=True):
    """What goes with a forwarded request.

    Attributes:
        id: Identifier of the request.
        attempt: Number of the attempt.
        path: Hosts that it passed.
        workspace: Workspace of the caller.
        kind: Kind of the target.
        target: Name of the target.
        residency: Regions in which it may be served.
        home: Home region.
        remaining: Seconds until the deadline.
        priority: Urgency.
        repeatable: Whether it may run twice.
        key: Idempotency key or an empty string.
        prefix: Hash of the prompt's start.
        stream: Whether the answer is wanted in parts.
        generation: Configuration by which the sender decided.
        method: HTTP method for the backend server.
        resource: Path for the backend server.
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
    """Sign and check what hosts send each other.

    Args:
        secret: Secret that all hosts share, as text.
    """

    def __init__(self, secret):
        self.key = hashlib.blake2b(secret.encode(), digest_size=32).digest()

    def sign(self, *parts):
        """Return the signature over *parts*."""
        digest = hashlib.blake2b(key=self.key, digest_size=MAC_BYTES)
        for part in parts:
            digest.update(len(part).to_bytes(8, "big"))
            digest.update(part)
        return digest.digest()

    def verify(self, signature, *parts):
        """Whether *signature* was made over *parts* with our secret."""
        return hmac.compare_digest(signature, self.sign(*parts))


def decode_message(data):
    """Return the message that *data* stands for.

    Raises:
        ProtocolError: It is none, or of another version.
    """
    return _checked(MESSAGE_DECODER, data)


def decode_head(data):
    """Return the `ForwardedRequestHead` that *data* stands for.

    Raises:
        ProtocolError: It is none.
    """
    try:
        return HEAD_DECODER.decode(data)
    except msgspec.DecodeError as error:
        raise ProtocolError(
            f"bad head of a forwarded request: {error}"
        ) from None


def _checked(decoder, data):
    """Decode and check the version."""
    try:
        message = decoder.decode(data)
    except msgspec.DecodeError as error:
        raise ProtocolError(f"bad message: {error}") from None
    if message.version != FORMAT_VERSION:
        raise ProtocolError(f"message of version {message.version}")
    return message
