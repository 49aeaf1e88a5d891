"""What a host writes of itself into the store, and passes on."""

import msgspec

from ..core.exceptions import ProtocolError
from ..traffic.members import Member

__all__ = [
    "MEMBERS_PREFIX",
    "OWN_PREFIX",
    "HostEntry",
    "decode_host",
    "encode_host",
    "entry_from_member",
    "member_from_entry",
]

OWN_PREFIX = "hyssop/"
MEMBERS_PREFIX = "hyssop/hosts/"


class HostEntry(msgspec.Struct, frozen=True):
    """What a host writes of itself into the store.

    Attributes:
        host: Its name.
        region: Its region.
        data_centre: Its data centre.
        front: Address for callers.
        control: Address for datagrams.
        relay: Address for forwarded requests.
        capacity: Processor share.
        incarnation: Number of its start.
    """

    host: str
    region: str
    data_centre: str
    front: str
    control: str
    relay: str
    capacity: float
    incarnation: int


_HOST = msgspec.json.Decoder(HostEntry)


def decode_host(value):
    """Return the `Member` of a host's entry.

    Raises:
        ProtocolError: It is no entry.
    """
    try:
        row = _HOST.decode(value)
    except msgspec.DecodeError as problem:
        raise ProtocolError(f"entry of a host: {problem}") from None
    return member_from_entry(row)


def member_from_entry(row):
    """Return the `Member` that a `HostEntry` or a heartbeat describes."""
    return Member(
        name=row.host,
        region=row.region,
        data_centre=row.data_centre,
        front=row.front,
        control=row.control,
        relay=row.relay,
        capacity=row.capacity,
        incarnation=row.incarnation,
    )


def encode_host(member):
    """Return the bytes of a host's entry."""
    return msgspec.json.encode(entry_from_member(member))


def entry_from_member(member):
    """Return the `HostEntry` of a `Member`."""
    return HostEntry(
        member.name,
        member.region,
        member.data_centre,
        member.front,
        member.control,
        member.relay,
        member.capacity,
        member.incarnation,
    )
