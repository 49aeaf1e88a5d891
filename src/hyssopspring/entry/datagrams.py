"""Datagrams between hosts over UDP."""

from twisted.internet import protocol

from ..core.addresses import split_address
from ..core.exceptions import ProtocolError
from .messages import decode_message, encode_message

__all__ = ["MAX_DATAGRAM_BYTES", "DatagramEndpoint"]

MAX_DATAGRAM_BYTES = 60_000
"""Bytes of the longest datagram that is sent or taken. The configuration
of a large deployment fits; a larger one is read as a whole copy."""


class DatagramEndpoint(protocol.DatagramProtocol):
    """Send and receive the messages of `messages`.

    Args:
        on_message: Called with each message and its sender's IP address.
        on_rejected: Called with the reason when a datagram is no message.
    """

    def __init__(self, on_message, on_rejected):
        self.on_message = on_message
        self.on_rejected = on_rejected
        self.sent = 0
        self.bytes_sent = 0

    def datagramReceived(self, datagram, addr):
        """Hand one message over; a bad one harms no other."""
        try:
            message = decode_message(datagram)
        except ProtocolError as problem:
            self.on_rejected(str(problem))
            return
        self.on_message(message, addr[0])

    def send(self, message, address):
        """Send *message* to ``ip:port``; it may be lost on its way."""
        self.send_bytes(encode_message(message), address)

    def send_all(self, message, members):
        """Send *message* to each of *members*, encoded once."""
        data = encode_message(message)
        for member in members:
            self.send_bytes(data, member.control)

    def send_bytes(self, data, address):
        """Send one datagram to ``ip:port``."""
        if self.transport is None:
            return
        if len(data) > MAX_DATAGRAM_BYTES:
            self.on_rejected(f"send to {address}: {len(data)} bytes")
            return
        self.sent += 1
        self.bytes_sent += len(data)
        try:
            self.transport.write(data, split_address(address))
        except OSError as problem:
            self.on_rejected(f"send to {address}: {problem}")
