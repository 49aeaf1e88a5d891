"""UDP transport for the messages between hosts."""

from twisted.internet import protocol

from ..core.addresses import split_address
from ..core.exceptions import ProtocolError
from .messages import decode_message, encode_message

__all__ = ["MAX_DATAGRAM_BYTES", "DatagramEndpoint"]

MAX_DATAGRAM_BYTES = 60_000
"""Size limit, in bytes, of the datagrams that are sent and received. The
configuration of a large deployment fits into one; hosts fetch a larger
configuration as a complete copy instead."""


class DatagramEndpoint(protocol.DatagramProtocol):
    """Send and receive the messages of the module `messages`.

    Args:
        on_message: Called with each message and the IP address of its
            sender.
        on_rejected: Called with the reason when a datagram cannot be decoded
            or sent.
    """

    def __init__(self, on_message, on_rejected):
        self.on_message = on_message
        self.on_rejected = on_rejected
        self.sent = 0
        self.bytes_sent = 0

    def datagramReceived(self, datagram, addr):
        """Decode a datagram and deliver its message.

        A malformed datagram is reported and does not affect others.
        """
        try:
            message = decode_message(datagram)
        except ProtocolError as problem:
            self.on_rejected(str(problem))
            return
        self.on_message(message, addr[0])

    def send(self, message, address):
        """Send *message* to ``ip:port`` without a guarantee of delivery."""
        self.send_bytes(encode_message(message), address)

    def send_all(self, message, members):
        """Encode *message* once and send it to each of *members*."""
        data = encode_message(message)
        for member in members:
            self.send_bytes(data, member.control)

    def send_bytes(self, data, address):
        """Send one datagram to ``ip:port``, unless it is too long."""
        if self.transport is None:
            return
        if len(data) > MAX_DATAGRAM_BYTES:
            self.on_rejected(
                f"datagram to {address} is too long: {len(data)} bytes"
            )
            return
        self.sent += 1
        self.bytes_sent += len(data)
        try:
            self.transport.write(data, split_address(address))
        except OSError as problem:
            self.on_rejected(f"cannot send a datagram to {address}: {problem}")
