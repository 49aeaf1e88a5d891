"""Entries of backend servers in the store, decoded."""

import msgspec

from ..core.exceptions import ProtocolError
from ..core.sentinels import NOTHING
from ..traffic.servers import ServerEntry

__all__ = ["SERVERS_PREFIX", "decode_server", "server_id"]

SERVERS_PREFIX = "servers/"
LEAVING = "draining"


class _Server(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: int = 1
    state: str = "ready"
    cold_left_ms: float = 0.0
    time_left_ms: float | None = None


_DECODER = msgspec.json.Decoder(_Server)


def server_id(key):
    """Return the identifier of the server whose entry has *key*."""
    return key.removeprefix(SERVERS_PREFIX)


def decode_server(key, value):
    """Return the `ServerEntry` of one item of the store.

    Raises:
        ProtocolError: It is no entry.
    """
    try:
        row = _DECODER.decode(value)
    except msgspec.DecodeError as problem:
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
        leaving=row.state == LEAVING,
        cold_left=row.cold_left_ms / 1000,
        gone_in=gone_in,
    )
