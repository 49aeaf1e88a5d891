"""Entries of backend servers in the store, decoded."""

from typing import Annotated, Literal

import msgspec

from ..core.addresses import split_address
from ..core.exceptions import ProtocolError
from ..core.sentinels import NOTHING
from ..traffic.servers import ServerEntry

__all__ = ["SERVERS_PREFIX", "decode_server", "server_id"]

SERVERS_PREFIX = "servers/"
DRAINING_STATE = "draining"


class _Server(msgspec.Struct):
    """A row as servers write it, each field of the type that they use.

    `zone` is the data centre, `slots` the requests that run at once,
    `born` the Unix time of the start in milliseconds, `seq` a count of
    the server's own that says nothing to others.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: Literal["ready", "draining"]
    cold_left_ms: Annotated[float, msgspec.Meta(ge=0)]
    seq: int
    born: int = 0
    time_left_ms: Annotated[float, msgspec.Meta(ge=0)] | None = None


_DECODER = msgspec.json.Decoder(_Server)


def server_id(key):
    """Return the identifier of the server whose entry has *key*."""
    return key.removeprefix(SERVERS_PREFIX)


def decode_server(key, value):
    """Return the `ServerEntry` of one item of the store.

    Others may write there too. A row that lacks a field, or has one of
    another type, names no server: defaults in its place would send
    requests to what may not serve them.

    Raises:
        ProtocolError: It is no entry.
    """
    try:
        row = _DECODER.decode(value)
        split_address(row.address)
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as problem:
        raise ProtocolError(f"{key}: {problem}") from None
    gone_in = NOTHING
    if row.time_left_ms is not None:
        gone_in = row.time_left_ms / 1000
    return ServerEntry(
        id=server_id(key),
        service=row.service,
        address=row.address,
        data_centre=row.zone,
        slots=row.slots,
        born=row.born,
        leaving=row.state == DRAINING_STATE,
        cold_left=row.cold_left_ms / 1000,
        gone_in=gone_in,
    )
