"""Publish-subscribe transport of control messages over ZeroMQ."""

import zmq
from twisted.internet.interfaces import IReadDescriptor
from twisted.python.failure import Failure
from zope.interface import implementer

from ..core.exceptions import ProtocolError
from ..core.sentinels import NOTHING
from .messages import ENCODER, Signer, decode_message

MAX_QUEUED_MESSAGES = 1000
"""High-water mark of each socket, beyond which ZeroMQ drops messages."""

MAX_MESSAGES_PER_READ = 200
"""Messages handled before control returns to the event loop."""

SUMMARY_TOPIC = b"s"
"""Topic of data centre summaries."""


def heartbeat_topic(data_centre):
    """Return the topic of the heartbeats in *data_centre*."""
    return b"b:" + data_centre.encode()


@implementer(IReadDescriptor)
class _SocketDescriptor:
    """Adapt the file descriptor of a ZeroMQ socket to the reactor.

    Args:
        socket: The ZeroMQ socket.
        on_readable: Called when the socket may be readable.
    """

    def __init__(self, socket, on_readable):
        self.socket = socket
        self.on_readable = on_readable

    def fileno(self):
        """Return the file descriptor of the socket."""
        return self.socket.fd

    def doRead(self):
        """Call the handler for a readable socket."""
        self.on_readable()

    def connectionLost(self, reason):
        """Do nothing; the bus closes its own sockets."""

    def logPrefix(self):
        """Return the prefix of this descriptor in the reactor's log."""
        return "bus"


class Bus:
    """Publish the messages of this host and receive those of others.

    Messages may be lost, delayed or duplicated, so each one is complete
    in itself. Queues are bounded, so that a peer that does not read loses
    messages instead of using memory on this host.

    Args:
        reactor: The reactor.
        address: Address of this host as ``ip:port``.
        secret: Secret that all hosts share.
        on_message: Called with each valid message.
        on_rejected: Called with the reason when a message is dropped.
        on_failure: Called with the `Failure` of a handler that raised.

    Attributes:
        peers: Control addresses of the connected peers, as keys.
        scheduled_read: Pending call of `read_messages`, or `NOTHING`.
        bytes_sent: Bytes published.
        messages_sent: Messages published.
        bytes_received: Bytes received, including dropped messages.
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
        """Return a socket with bounded queues.

        Args:
            kind: ZeroMQ socket type.
        """
        socket = self.context.socket(kind)
        socket.linger = 0
        socket.sndhwm = MAX_QUEUED_MESSAGES
        socket.rcvhwm = MAX_QUEUED_MESSAGES
        return socket

    def start(self):
        """Bind the publisher and register the subscriber's descriptor."""
        self.publisher.bind(f"tcp://{self.address}")
        self.descriptor = _SocketDescriptor(
            self.subscriber, self.read_messages
        )
        self.reactor.addReader(self.descriptor)

    def stop(self):
        """Close all sockets and cancel the scheduled read."""
        if self.descriptor is not NOTHING:
            self.reactor.removeReader(self.descriptor)
        if self.scheduled_read is not NOTHING and self.scheduled_read.active():
            self.scheduled_read.cancel()
        self.publisher.close()
        self.subscriber.close()
        self.context.term()

    def subscribe(self, topic):
        """Receive messages of *topic* from the connected peers."""
        self.subscriber.subscribe(topic)

    def connect(self, peers):
        """Connect to *peers* and disconnect from all others.

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
        """Send *message* to all subscribers of *topic*.

        Work that outlasts `stop`, such as a read of the store, may still
        call this; its message is dropped.

        Returns:
            The size of the encoded message in bytes.
        """
        payload = ENCODER.encode(message)
        if self.publisher.closed:
            return len(payload)
        frames = [topic, payload, self.signer.sign(topic, payload)]
        self.publisher.send_multipart(frames, zmq.NOBLOCK)
        self.messages_sent += 1
        self.bytes_sent += sum(len(frame) for frame in frames)
        return len(payload)

    def read_messages(self):
        """Read messages until the queue is empty.

        The descriptor is edge-triggered: it signals only the transition
        from an empty to a non-empty queue. A reader that stops early, for
        example at a message whose handler raises, would not be called
        again for the remaining messages. A burst of messages is read in
        batches, so that requests are served in between.
        """
        for _ in range(MAX_MESSAGES_PER_READ):
            try:
                frames = self.subscriber.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            try:
                self.handle_frames(frames)
            except Exception:  # noqa: BLE001 - reported; reading continues
                self.on_failure(Failure())
        self.schedule_read()

    def schedule_read(self):
        """Schedule a read in the next iteration of the event loop."""
        if self.scheduled_read is not NOTHING and self.scheduled_read.active():
            return
        self.scheduled_read = self.reactor.callLater(0, self.read_messages)

    def handle_frames(self, frames):
        """Verify and decode one message and pass it to `on_message`.

        Args:
            frames: Topic, payload and signature.
        """
        self.bytes_received += sum(len(frame) for frame in frames)
        if len(frames) != 3:
            self.on_rejected("expected three frames")
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
