"""Which hosts of the system live, and which of them places."""

from dataclasses import dataclass

from ..core.hashing import hash_text
from ..core.sentinels import NOTHING

__all__ = ["Member", "Members"]

SILENCE = 2.6
"""Seconds without a heartbeat after which a host counts as gone: four
heartbeats of its region are lost or late by then."""

PLACER_SILENCE = 1.3
"""Seconds without a heartbeat after which a host is not asked to place."""

SETTLED = 1.0
"""Seconds after a start before a host places for others: until then it
has not heard what the others have in progress."""

CONTACT_AGE = 5.0
"""Seconds since a host last heard the registry after which others place
before it, as it may not know which servers leave."""


@dataclass(slots=True, eq=False)
class Member:
    """Another host of the system.

    Attributes:
        name: Its name.
        region: Its region.
        data_centre: Its data centre.
        front: Address for callers.
        control: Address for datagrams between hosts.
        relay: Address for requests that other hosts forward.
        capacity: Processor share, to weigh what it can carry.
        incarnation: Number of its start; a greater one is newer.
        leaving: Whether it is about to stop.
        heard_at: Time of its last heartbeat, or `NOTHING`.
        up_seconds: Seconds since its start.
        contact_age: Seconds since it heard the registry.
        version: Version of the configuration that it has.
        revisions: Newest revisions that it has seen, of what operators
            wrote and of the servers.
    """

    name: str
    region: str
    data_centre: str
    front: str
    control: str
    relay: str
    capacity: float = 1.0
    incarnation: int = 0
    leaving: bool = False
    heard_at: object = NOTHING
    up_seconds: float = 0.0
    contact_age: float = 0.0
    version: int = 0
    revisions: tuple = (0, 0)

    def is_ahead(self, version, revisions):
        """Whether it has something newer than what is given."""
        pairs = zip(self.revisions, revisions, strict=True)
        return self.version > version or any(a > b for a, b in pairs)

    def heard_within(self, seconds, now):
        """Whether a heartbeat has come within *seconds*."""
        return self.heard_at is not NOTHING and now - self.heard_at < seconds


class Members:
    """All hosts that this one knows, itself included.

    Args:
        own: `Member` of this host.
    """

    def __init__(self, own):
        self.own = own
        self.others = {}
        self.addresses = {ip_of(own)}

    def learn(self, member):
        """Take over the addresses of a host from the store or a peer."""
        if member.name == self.own.name:
            return
        known = self.others.get(member.name)
        if known is None or member.incarnation > known.incarnation:
            if known is not None:
                member.heard_at = known.heard_at
            self.others[member.name] = member
            self.addresses.add(ip_of(member))

    def is_known(self, ip):
        """Whether a host of the system has the IP address *ip*.

        Whoever else reaches a port between hosts could change what they
        believe, or have requests run past all checks of callers.
        """
        return ip in self.addresses

    def live(self, now, *, region=NOTHING):
        """Return the hosts that are up and stay, this one included."""
        found = [
            member
            for member in self.others.values()
            if member.heard_within(SILENCE, now) and not member.leaving
        ]
        if not self.own.leaving:
            found.append(self.own)
        if region is not NOTHING:
            found = [one for one in found if one.region == region]
        return found

    def regions(self, now):
        """Return the regions in which hosts live."""
        return {member.region for member in self.live(now)}

    def leaving(self, now, region):
        """Return the hosts of *region* that leave but are still heard."""
        found = [
            member
            for member in self.others.values()
            if member.leaving and member.heard_within(PLACER_SILENCE, now)
        ]
        if self.own.leaving:
            found.append(self.own)
        return [member for member in found if member.region == region]

    def placers(self, now):
        """Return the hosts of this region to ask, the best first.

        All hosts rank alike, so they ask the same one as long as they
        hear the same ones.
        """
        return self.ranked(now, self.own.region)

    def ranked(self, now, region):
        """Return the hosts of *region* in the order in which they place."""
        able = [
            member
            for member in self.others.values()
            if member.region == region
            and member.heard_within(PLACER_SILENCE, now)
        ]
        if region == self.own.region:
            able.append(self.own)
        return sorted(able, key=placer_rank)

    def forget_silent(self, now, after):
        """Drop the hosts not heard for *after* seconds; return them."""
        gone = [
            member
            for member in self.others.values()
            if member.heard_at is not NOTHING and now - member.heard_at > after
        ]
        for member in gone:
            del self.others[member.name]
        if gone:
            known = (self.own, *self.others.values())
            self.addresses = {ip_of(member) for member in known}
        return gone


def ip_of(member):
    """Return the IP address of a host."""
    return member.control.rpartition(":")[0]


def placer_rank(member):
    """Return the sort key by which hosts are asked to place."""
    return (
        member.leaving,
        member.contact_age > CONTACT_AGE,
        member.up_seconds < SETTLED,
        hash_text(member.name) / max(0.01, member.capacity),
    )
