"""Messages on the starts of backend servers."""

from typing import Annotated

import msgspec

__all__ = ["ColdServerMessage", "ServerStartsMessage", "StartRow"]


class StartRow(msgspec.Struct, array_like=True, frozen=True):
    """What a host has found out about a start of a server.

    Attributes:
        server_id: Identifier of the server.
        born: Unix time of the start in milliseconds.
        running: Whether the server has stated this start itself; otherwise
            it refuses connections, so that the start may have ended.
    """

    server_id: str
    born: int
    running: bool


class ServerStartsMessage(
    msgspec.Struct, array_like=True, tag="A", frozen=True
):
    """Report starts of servers to the hosts of the region.

    Attributes:
        host: Name of the sender.
        rows: `StartRow` of each server.
    """

    host: str
    rows: list[StartRow]


class ColdServerMessage(msgspec.Struct, array_like=True, tag="B", frozen=True):
    """Report a cold server to the hosts of the region.

    Attributes:
        host: Host that the server has told.
        server_id: Identifier of the server.
        instance_id: Identifier of the server instance.
        cold_left: Seconds for which it stays cold.
    """

    host: str
    server_id: str
    instance_id: str
    cold_left: Annotated[float, msgspec.Meta(ge=0)]
