"""Entries that describe hosts, in the store and in messages."""

import msgspec

from ..core.exceptions import UNDECODABLE, ProtocolError
from ..traffic.members import Member

__all__ = [
    "MEMBERS_PREFIX",
    "OWN_PREFIX",
    "HostEntry",
    "decode_host",
    "encode_host",
    "entry_from_member",
    "member_from_entry",
    "own_member",
]

OWN_PREFIX = "hyssop/"
MEMBERS_PREFIX = "hyssop/hosts/"


class HostEntry(msgspec.Struct, frozen=True):
    """Entry that a host writes about itself to the store.

    Attributes:
        host: Name of the host.
        region: Region of the host.
        data_centre: Data centre of the host.
        front: Address for callers.
        control: Address for datagrams.
        relay: Address for forwarded requests.
        capacity: Share of the processor that the host may use.
        incarnation: Number of the start of the host.
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
    """Return the `Member` that an encoded host entry describes.

    Raises:
        ProtocolError: The value cannot be decoded.
    """
    try:
        row = _HOST.decode(value)
    except UNDECODABLE as problem:
        raise ProtocolError(f"invalid host entry: {problem}") from None
    return member_from_entry(row)


def member_from_entry(row):
    """Return the `Member` that a `HostEntry` or `Heartbeat` describes."""
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
    """Return the encoded host entry of a `Member`."""
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


def own_member(settings, incarnation):
    """Return the `Member` of this host."""
    first, last = settings.ports
    return Member(
        name=settings.host,
        region=settings.region,
        data_centre=settings.data_centre,
        front=settings.front,
        control=f"{settings.address}:{first}",
        relay=f"{settings.address}:{last}",
        capacity=settings.capacity,
        incarnation=incarnation,
        knows_eras=True,
    )
