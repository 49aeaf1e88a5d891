"""Control messages between hosts over ZeroMQ."""

import zmq
from twisted.internet.interfaces import IReadDescriptor
from twisted.python.failure import Failure
from zope.interface import implementer

from ..core.exceptions import ProtocolError
from ..core.sentinels import NOTHING
from .messages import ENCODER, Signer, decode_message

MAX_QUEUED_MESSAGES = 1000
MAX_MESSAGES_PER_READ = 200
SUMMARY_TOPIC = b"s"


def heartbeat_topic(data_centre):
    """Return the topic of heartbeats within *data_centre*."""
    return b"b:" + data_centre.encode()


@implementer(IReadDescriptor)
class _SocketDescriptor:
    """Let the reactor watch the descriptor of a ZeroMQ socket."""

    def __init__(self, socket, on_readable):
        self.socket = socket
        self.on_readable = on_readable

    def fileno(self):
        """Return the descriptor."""
        return self.socket.fd

    def doRead(self):
        """Read what there is."""
        self.on_readable()

    def connectionLost(self, reason):
        """Do nothing; the bus closes its own sockets."""

    def logPrefix(self):
        """Name the descriptor."""
        return "bus"


class Bus:
    """Publish this host's messages, and hear those of others.

    Messages may be lost, come late or come twice; each stands for
    itself. Queues are bounded, so that a peer that does not read costs
    lost messages and no memory.

    Args:
        reactor: The reactor.
        address: Own address as ``ip:port``.
        secret: Secret that all hosts share.
        received: Called with each message.
        refused: Called with the reason when a message is dropped.
        failed: Called with the failure of a handler that raised.
    """

    def __init__(
        self, reactor, address, secret, *, on_message, on_rejected, on_failure
    ):
        self.reactor = reactor
        self.address = address
        self.signer = Signer(secret)
        self.on_message = on_message
        self.on_rejected = on_rejected
        self.on_failure = on_failure
        self.context = zmq.Context(io_threads=1)
        self.publisher = self.make_socket(zmq.PUB)
        self.subscriber = self.make_socket(zmq.SUB)
        self.descriptor = NOTHING
        self.peers = {}
        self.scheduled_read = NOTHING
        self.bytes_sent = 0
        self.messages_sent = 0
        self.bytes_received = 0

    def make_socket(self, kind):
        """Return a socket with bounded queues."""
        socket = self.context.socket(kind)
        socket.linger = 0
        socket.sndhwm = MAX_QUEUED_MESSAGES
        socket.rcvhwm = MAX_QUEUED_MESSAGES
        return socket

    def start(self):
        """Listen, and let the reactor wait for messages."""
        self.publisher.bind(f"tcp://{self.address}")
        self.descriptor = _SocketDescriptor(
            self.subscriber, self.read_messages
        )
        self.reactor.addReader(self.descriptor)

    def stop(self):
        """Close all sockets."""
        if self.descriptor is not NOTHING:
            self.reactor.removeReader(self.descriptor)
        if self.scheduled_read is not NOTHING and self.scheduled_read.active():
            self.scheduled_read.cancel()
        self.publisher.close()
        self.subscriber.close()
        self.context.term()

    def subscribe(self, topic):
        """Hear messages of *topic* from the connected peers."""
        self.subscriber.subscribe(topic)

    def connect(self, peers):
        """Connect to *peers*, and to no others.

        Args:
            peers: Set of control addresses as ``ip:port``.
        """
        for address in set(self.peers) - peers:
            self.subscriber.disconnect(f"tcp://{address}")
            del self.peers[address]
        for address in peers - set(self.peers) - {self.address}:
            self.subscriber.connect(f"tcp://{address}")
            self.peers[address] = True
        self.schedule_read()

    def publish(self, topic, message):
        """Send *message* to all who subscribed to *topic*."""
        payload = ENCODER.encode(message)
        frames = [topic, payload, self.signer.sign(topic, payload)]
        self.publisher.send_multipart(frames, zmq.NOBLOCK)
        self.messages_sent += 1
        self.bytes_sent += sum(len(frame) for frame in frames)
        return len(payload)

    def read_messages(self):
        """Read messages until there are none.

        The descriptor only signals the step from no message to some, so
        a reader that stops early, also at a message that breaks its
        handler, would never be woken for the rest. A
        flood is read in slices, so that requests are served between.
        """
        for _ in range(MAX_MESSAGES_PER_READ):
            try:
                frames = self.subscriber.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            try:
                self.handle_frames(frames)
            except Exception:  # noqa: BLE001 - reported, and read on
                self.on_failure(Failure())
        self.schedule_read()

    def schedule_read(self):
        """Read once more soon."""
        if self.scheduled_read is not NOTHING and self.scheduled_read.active():
            return
        self.scheduled_read = self.reactor.callLater(0, self.read_messages)

    def handle_frames(self, frames):
        """Check one message and hand it over."""
        self.bytes_received += sum(len(frame) for frame in frames)
        if len(frames) != 3:
            self.on_rejected("not three frames")
            return
        topic, payload, signature = frames
        if not self.signer.verify(signature, topic, payload):
            self.on_rejected("bad signature")
            return
        try:
            message = decode_message(payload)
        except ProtocolError as error:
            self.on_rejected(str(error))
            return
        self.on_message(message)
