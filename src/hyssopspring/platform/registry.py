"""Decode the entries of backend servers in the store."""

from typing import Annotated, Literal

import msgspec

from ..core.addresses import is_ip_address
from ..core.exceptions import UNDECODABLE, ProtocolError
from ..core.sentinels import NOTHING
from ..traffic.servers import ServerEntry
from .headers import MAX_REPORTED_REQUESTS, StartTime

__all__ = ["SERVERS_PREFIX", "decode_server", "server_id"]

SERVERS_PREFIX = "servers/"
DRAINING_STATE = "draining"

MAX_ADDRESS_CHARACTERS = 64
"""Maximum size of an address. An IPv6 address with a port has 51 characters at
most."""


class _Server(msgspec.Struct):
    """An entry in the form and with the field types that servers write.

    `zone` is the data centre, `slots` the number of concurrent requests,
    `born` the Unix time of the start in milliseconds, and `seq` an
    internal counter of the server without a meaning for others.
    """

    service: str
    address: Annotated[str, msgspec.Meta(max_length=MAX_ADDRESS_CHARACTERS)]
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_REPORTED_REQUESTS)]
    state: Literal["ready", "draining"]
    cold_left_ms: Annotated[float, msgspec.Meta(ge=0)]
    seq: int
    born: StartTime = 0
    time_left_ms: Annotated[float, msgspec.Meta(ge=0)] | None = None


_DECODER = msgspec.json.Decoder(_Server)


def server_id(key):
    """Return the identifier of the server with the entry *key*."""
    return key.removeprefix(SERVERS_PREFIX)


def decode_server(key, value):
    """Return the `ServerEntry` of one item of the store.

    Other programs may write under the same prefix. An entry with a missing
    field or a field of another type is therefore rejected: with default
    values, requests could be sent to something that does not serve them.

    Raises:
        ProtocolError: The value is not an entry of a server.
    """
    try:
        # The decoder does not check the text of fields that it skips.
        row = _DECODER.decode(value.decode())
    except UNDECODABLE as problem:
        raise ProtocolError(f"invalid server entry {key}: {problem}") from None
    if not is_ip_address(row.address):
        raise ProtocolError(
            f"invalid server entry {key}: {row.address!r} is no IP address "
            "with a port"
        )
    terminates_in = NOTHING
    if row.time_left_ms is not None:
        terminates_in = row.time_left_ms / 1000
    return ServerEntry(
        id=server_id(key),
        service=row.service,
        address=row.address,
        data_centre=row.zone,
        slots=row.slots,
        born=row.born,
        leaving=row.state == DRAINING_STATE,
        cold_left=row.cold_left_ms / 1000,
        terminates_in=terminates_in,
        version=row.version,
    )
