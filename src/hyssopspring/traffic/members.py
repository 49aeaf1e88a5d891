"""Which hosts of the system are alive, and which of them place requests."""

import enum
from dataclasses import dataclass, field

from ..core.hashing import hash_text, short_id
from ..core.sentinels import NOTHING

__all__ = [
    "MAX_CONTACT_AGE_SECONDS",
    "PLACER_WARMUP_SECONDS",
    "Member",
    "Members",
    "Subscription",
]

HEARTBEAT_TIMEOUT_SECONDS = 2.6
"""Seconds without a heartbeat after which a host counts as down: four
heartbeats of its region are lost or late by then."""

INDIRECT_TIMEOUT_SECONDS = 5.2
"""Seconds after which a host of the region that only other hosts report counts
as down, unless they report it again. When all hosts that report it fail at
once, their replacements are found, receive its heartbeats and report it within
5.0 s."""

REMOTE_TIMEOUT_SECONDS = 8.0
"""Seconds after which a host of another region counts as down: reports on it
pass through two hosts, each of which sends every two seconds, and one message
may be lost."""

REGION_TIMEOUT_SECONDS = 4.8
"""Seconds without a report on any host of a region after which nothing is sent
there, because it may be cut off. Reports are up to 4.2 s old on hosts that do
not place."""

STARTUP_DISCOVERY_SECONDS = 3.0
"""Seconds after a start in which hosts that the store lists also count as
alive. Otherwise callers would only be given the hosts whose heartbeats have
arrived by then, which are the same three for all hosts of a region."""

LIVE_REGIONS_CACHE_SECONDS = 0.1
"""Seconds for which the regions with live hosts are cached: each placement
reads them, and checking two hundred hosts takes 0.05 ms."""

PLACER_TIMEOUT_SECONDS = 1.3
"""Seconds without a heartbeat after which a host is not asked to place."""

PLACER_WARMUP_SECONDS = 1.0
"""Seconds after a start before a host places for others: until then it has not
received what the others have in progress."""

MAX_CONTACT_AGE_SECONDS = 5.0
"""Seconds since a host last received data from the registry after which other
hosts place before it, as it may miss which servers are draining."""

REPORT_RETRY_SECONDS = 3.0
"""Seconds after which heartbeats are sent again to a host that did not
answer."""

AGE_ERROR_SECONDS = 0.2
"""Seconds by which the age of a heartbeat may be wrong when another host
reports it."""

RESTART_QUIET_SECONDS = 1.2
"""Seconds without a message from an incarnation of a host after which a lower
incarnation number is accepted: a running host sends heartbeats twice a
second."""


class Subscription(enum.IntEnum):
    """What the sender of a heartbeat wants to receive from the recipient."""

    NONE = 0
    HEARTBEATS = 1
    ROSTERS = 2


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
        capacity: Processor share, as a weight of what it can carry.
        incarnation: Number of its start; a greater one is newer.
        leaving: Whether it is shutting down.
        last_heartbeat_at: Time of its last heartbeat, or `NOTHING`.
        reported_alive_at: Time of the last heartbeat that another host reports
            from it, or `NOTHING`.
        reporting_since: Time since which this host sends it heartbeats and
            expects answers, or `NOTHING`.
        reported_at: Time of its last heartbeat that subscribed to this host.
        subscription: Its `Subscription`.
        up_seconds: Seconds since its start.
        contact_age: Seconds since it received data from the registry.
        version: Version of the configuration that it has.
        revisions: Newest revisions that it has seen, of operators' data and of
            the servers.
        knows_eras: Whether it tells the eras of the store apart, unlike
            earlier releases.
        rank_key: Sort key among hosts of equal state; the lowest goes first.
            The strongest host places, as many weak hosts together would often
            win a random choice by weight.
        id: Short identifier of this incarnation, for small messages.
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
    last_heartbeat_at: object = NOTHING
    reported_alive_at: object = NOTHING
    reporting_since: object = NOTHING
    reported_at: object = NOTHING
    subscription: Subscription = Subscription.NONE
    up_seconds: float = 0.0
    contact_age: float = 0.0
    version: int = 0
    revisions: tuple = (0, 0)
    knows_eras: bool = False
    rank_key: tuple = field(init=False)
    id: int = field(init=False)

    def __post_init__(self):
        """Compute the values that follow from the name."""
        self.rank_key = (-self.capacity, hash_text(self.name))
        self.id = short_id(f"{self.name} {self.incarnation}")

    @property
    def last_seen_at(self):
        """Time of the last direct or reported heartbeat, or `NOTHING`."""
        if self.last_heartbeat_at is NOTHING:
            return self.reported_alive_at
        if self.reported_alive_at is NOTHING:
            return self.last_heartbeat_at
        return max(self.last_heartbeat_at, self.reported_alive_at)

    def reported_alive_within(self, seconds, now):
        """Whether others have received a heartbeat within *seconds*."""
        return (
            self.reported_alive_at is not NOTHING
            and now - self.reported_alive_at < seconds
        )

    def is_reporting(self, now):
        """Whether it relies on this host for reports on the others."""
        if (
            self.reported_at is NOTHING
            or self.subscription is Subscription.NONE
        ):
            return False
        return now - self.reported_at < HEARTBEAT_TIMEOUT_SECONDS

    def receives_rosters(self, now):
        """Whether it relies on this host for rosters."""
        return self.subscription is Subscription.ROSTERS and self.is_reporting(
            now
        )

    def is_ahead(self, version, revisions):
        """Whether it has a newer version or revision than the given ones."""
        pairs = zip(self.revisions, revisions, strict=True)
        return self.version > version or any(a > b for a, b in pairs)

    def heartbeat_within(self, seconds, now):
        """Whether a heartbeat has arrived within *seconds*."""
        return (
            self.last_heartbeat_at is not NOTHING
            and now - self.last_heartbeat_at < seconds
        )


class Members:
    """All hosts in the membership list of this host, itself included.

    Args:
        own: `Member` of this host.
    """

    def __init__(self, own):
        self.own = own
        self.others = {}
        self.by_id = {}
        self.addresses = {ip_of(own)}
        self.live_regions = frozenset()
        self.live_regions_at = NOTHING

    def add(self, member, *, announced_at=NOTHING):
        """Add or update a host from the store or from a message.

        Incarnation numbers derive from the time of day, which may step back. A
        host that restarts after such a step would be ignored until its old
        record is removed, so its own message takes precedence over a higher
        number from which no message has arrived for a while.

        Args:
            member: The `Member`.
            announced_at: Time of the host's own message, or `NOTHING` if the
                data comes from others.
        """
        if member.name == self.own.name:
            return
        known = self.others.get(member.name)
        if known is not None and not supersedes(member, known, announced_at):
            return
        if known is not None:
            member.last_heartbeat_at = known.last_heartbeat_at
            self.by_id.pop(known.id, None)
        self.others[member.name] = member
        self.by_id[member.id] = member
        self.addresses.add(ip_of(member))

    def is_known(self, ip):
        """Whether a host of the system has the IP address *ip*.

        Anyone else who reaches a port between hosts could change their
        membership lists, or have requests run without the checks on callers.
        """
        return ip in self.addresses

    def live(self, now, *, region=NOTHING):
        """Return the hosts that are up and not shutting down, own included."""
        found = [
            member
            for member in self.others.values()
            if not member.leaving and self.is_up(member, now)
        ]
        if not self.own.leaving:
            found.append(self.own)
        if region is not NOTHING:
            found = [one for one in found if one.region == region]
        return found

    def count_known(self):
        """Return the number of hosts, whether they seem to be up or not.

        A host that is not seen may be cut off and still serve.

        Returns:
            The number, or `NOTHING` if this host has just started and has
            read of no other one yet.
        """
        starting = self.own.up_seconds < STARTUP_DISCOVERY_SECONDS
        if starting and not self.others:
            return NOTHING
        return 1 + len(self.others)

    def listed(self, now, region=NOTHING):
        """Return the hosts that the directory gives to callers."""
        found = [one for one in self.live(now, region=region) if one.version]
        if (
            self.own.up_seconds >= STARTUP_DISCOVERY_SECONDS
            or self.own.leaving
        ):
            return found
        unseen = [
            member
            for member in self.others.values()
            if member.last_seen_at is NOTHING
            and region in (NOTHING, member.region)
        ]
        return found + unseen

    def is_up(self, member, now):
        """Whether another host was directly or indirectly seen recently."""
        if member.heartbeat_within(HEARTBEAT_TIMEOUT_SECONDS, now):
            return True
        if last_seen_directly(member):
            return False
        if member.region == self.own.region:
            return member.reported_alive_within(INDIRECT_TIMEOUT_SECONDS, now)
        return member.reported_alive_within(REMOTE_TIMEOUT_SECONDS, now)

    def regions(self, now):
        """Return the regions that have live hosts, cached for a moment."""
        at = self.live_regions_at
        if at is NOTHING or not 0 <= now - at < LIVE_REGIONS_CACHE_SECONDS:
            self.live_regions_at = now
            self.live_regions = self.find_regions(now)
        return self.live_regions

    def note_seen(self, member):
        """Let the region of a host that was seen count as live at once."""
        if member.region not in self.live_regions:
            self.live_regions_at = NOTHING

    def find_regions(self, now):
        """Return the regions in which any host was seen recently."""
        found = {
            member.region
            for member in self.others.values()
            if not member.leaving
            and member.last_seen_at is not NOTHING
            and now - member.last_seen_at < REGION_TIMEOUT_SECONDS
        }
        if not self.own.leaving:
            found.add(self.own.region)
        return frozenset(found)

    def leaving(self, now, region):
        """Return the hosts of *region* that shut down but send heartbeats."""
        found = [
            member
            for member in self.others.values()
            if member.leaving
            and member.heartbeat_within(PLACER_TIMEOUT_SECONDS, now)
        ]
        if self.own.leaving:
            found.append(self.own)
        return [member for member in found if member.region == region]

    def placers(self, now):
        """Return the hosts of this region to ask for a placement, best first.

        All hosts use the same ranking, so they ask the same host as long as
        they receive heartbeats from the same hosts. Only hosts whose
        heartbeats this host receives itself are asked; each host sends
        heartbeats to the best ones, and these answer.
        """
        able = [
            member
            for member in self.others.values()
            if member.region == self.own.region
            and member.heartbeat_within(PLACER_TIMEOUT_SECONDS, now)
        ]
        able.append(self.own)
        return sorted(able, key=placer_rank)

    def ranked(self, now, region):
        """Return the other hosts of *region*, the best to report to first.

        Hosts that have never been seen come last. Right after a start that is
        all of them.
        """
        return sorted(
            (one for one in self.others.values() if one.region == region),
            key=lambda one: (not self.is_up(one, now), placer_rank(one)),
        )

    def report_targets(
        self, now, region, max_count, silence=PLACER_TIMEOUT_SECONDS
    ):
        """Return the hosts of *region* to send heartbeats to.

        These are the best ones that answer. Their number does not grow with
        the number of hosts, so the cost of heartbeats for a host does not
        either.

        Args:
            now: The time.
            region: The region.
            max_count: Largest number of hosts.
            silence: Seconds within which a host must answer.
        """
        chosen = []
        for member in self.ranked(now, region):
            full = len(chosen) == max_count
            diversifies = full and adds_data_centre(member, chosen)
            if (full and not diversifies) or not is_responsive(
                member, now, silence
            ):
                if full:
                    member.reporting_since = NOTHING
                continue
            if diversifies:
                chosen.pop().reporting_since = NOTHING
            chosen.append(member)
        return chosen

    def probe_targets(self, now, region, turn):
        """Return hosts of *region* that seem down, to send a heartbeat to.

        After a partition, groups of hosts may remain of which each selects its
        targets within the group and never receives anything from the others.
        So each turn probes one host that seems down, alternating between the
        one that would place and the others in rotation.

        Args:
            now: The time.
            region: The region.
            turn: Number of the heartbeat.
        """
        gone = [
            member
            for member in self.others.values()
            if member.region == region and not self.is_up(member, now)
        ]
        if not gone:
            return []
        gone.sort(key=placer_rank)
        other = (self.own.id + turn // 2) % len(gone)
        return [gone[0 if turn % 2 else other]]

    def reporting(self, now):
        """Return the hosts that subscribe to this one."""
        return [
            member
            for member in self.others.values()
            if member.is_reporting(now)
        ]

    def silent(self, now):
        """Return the hosts that ended or are cut off, the last seen first."""
        found = [
            member
            for member in self.others.values()
            if not member.leaving
            and member.last_seen_at is not NOTHING
            and not self.is_up(member, now)
        ]
        return sorted(found, key=lambda one: -one.last_seen_at)

    def remove_silent(self, now, after):
        """Remove the hosts not seen for *after* seconds; return them."""
        gone = [
            member
            for member in self.others.values()
            if member.last_seen_at is not NOTHING
            and now - member.last_seen_at > after
        ]
        for member in gone:
            del self.others[member.name]
            self.by_id.pop(member.id, None)
        if gone:
            known = (self.own, *self.others.values())
            self.addresses = {ip_of(member) for member in known}
        return gone


def ip_of(member):
    """Return the IP address of a host."""
    return member.control.rpartition(":")[0]


def adds_data_centre(member, chosen):
    """Whether a host is in another data centre than all the chosen ones.

    It applies only if these are in a single data centre, as the hosts of one
    lose power together.
    """
    places = {one.data_centre for one in chosen}
    return len(places) == 1 and member.data_centre not in places


def last_seen_directly(member):
    """Whether the host's last sign of life was a heartbeat to this host.

    Such a heartbeat is sent twice a second, so its absence shows that the host
    is down. The result is false if another host has reported a later one.
    """
    if (
        member.reported_alive_at is NOTHING
        or member.last_heartbeat_at is NOTHING
    ):
        return False
    if member.reported_at != member.last_heartbeat_at:
        return False
    return (
        member.reported_alive_at
        <= member.last_heartbeat_at + AGE_ERROR_SECONDS
    )


def supersedes(member, known, announced_at):
    """Whether *member* is a newer start of the host recorded as *known*."""
    if member.incarnation >= known.incarnation:
        return member.incarnation > known.incarnation
    if announced_at is NOTHING or known.last_seen_at is NOTHING:
        return announced_at is not NOTHING
    return announced_at - known.last_seen_at > RESTART_QUIET_SECONDS


def is_responsive(member, now, silence):
    """Whether a host answers heartbeats, or may still do so.

    One that does not is skipped, and tried again after a while.
    """
    if member.reporting_since is NOTHING:
        member.reporting_since = now
    last = member.reporting_since
    if member.last_heartbeat_at is not NOTHING:
        last = max(last, member.last_heartbeat_at)
    if now - last > silence + REPORT_RETRY_SECONDS:
        member.reporting_since = last = now
    return now - last <= silence


def placer_rank(member):
    """Return the sort key by which hosts are asked for placements."""
    return (
        member.leaving,
        member.contact_age > MAX_CONTACT_AGE_SECONDS,
        member.up_seconds < PLACER_WARMUP_SECONDS,
        member.rank_key,
    )
