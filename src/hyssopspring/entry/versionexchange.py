"""Exchange of the versions that services have had lately."""

from ..core.sentinels import NOTHING
from ..traffic.members import MAX_CONTACT_AGE_SECONDS, PLACER_WARMUP_SECONDS
from ..traffic.servers import VERSION_RETENTION_SECONDS
from ..traffic.versionhistory import (
    adopt_history,
    begin_history,
    covered_seconds,
    releases,
)
from .digests import millis
from .streammessages import (
    ReleaseRow,
    VersionHistoryMessage,
    VersionHistoryRequest,
)

__all__ = ["VersionExchange"]

REQUEST_INTERVAL_SECONDS = 1.0
"""Seconds between two requests for the history of other hosts."""

MAX_REQUESTS = 15
"""Requests after the first entries. By then no host is likely to know more,
as after a start of all hosts together."""

SETTLED_SECONDS = MAX_REQUESTS * REQUEST_INTERVAL_SECONDS
"""Seconds of history from which on a host has itself asked others enough, so
that no further one is asked."""

HOSTS_ASKED = 2
"""Hosts that are asked at once."""

MAX_ROWS = 500
"""Rows in one datagram, which is then at most 20 KB long."""


class VersionExchange:
    """Learn from other hosts which versions were listed before the start.

    A host that has just started, or that was out of contact with the registry,
    does not know the versions of servers that have left. Its list and the
    history of a host in contact have no gap between them if it asks after it
    has received the list.

    Args:
        members: The `Members`.
        registry: The `Registry`.
        contact: The `StoreContact`.
        datagrams: The `DatagramEndpoint`.
        clock: The runtime's clock.
        announce: Called with a `Member`; makes this host known to it.

    Attributes:
        requests: Requests since the first entries or the last gap.
        requested_at: Time of the last request, or `NOTHING`.
    """

    def __init__(self, members, registry, contact, datagrams, clock, announce):
        self.members = members
        self.registry = registry
        self.contact = contact
        self.datagrams = datagrams
        self.clock = clock
        self.announce = announce
        self.requests = 0
        self.requested_at = NOTHING

    @property
    def is_current(self):
        """Whether this host has entries and is in contact with the store."""
        has_entries = self.registry.listed_since is not NOTHING
        return has_entries and self.contact.age <= MAX_CONTACT_AGE_SECONDS

    def tick(self):
        """Request the history of other hosts as long as it may be missing."""
        now = self.clock.seconds()
        if not self.is_current:
            begin_history(self.registry, now)
            self.requests = 0
            return
        covered = covered_seconds(self.registry, now)
        if self.requests >= MAX_REQUESTS or (
            covered >= VERSION_RETENTION_SECONDS
        ):
            return
        if self.requested_at is not NOTHING and (
            now - self.requested_at < REQUEST_INTERVAL_SECONDS
        ):
            return
        self.request(now)

    def request(self, now):
        """Request the history of the next hosts."""
        chosen = self.hosts_to_ask(now)
        if not chosen:
            return
        self.requested_at = now
        self.requests += 1
        message = VersionHistoryRequest(self.members.own.name)
        for member in chosen:
            self.announce(member)
            self.datagrams.send(message, member.control)

    def hosts_to_ask(self, now):
        """Return the hosts to ask now, those of the own region first."""
        own = self.members.own
        others = [one for one in self.members.live(now) if one is not own]
        others.sort(
            key=lambda one: (
                one.up_seconds < PLACER_WARMUP_SECONDS,
                one.region != own.region,
                one.rank_key,
            )
        )
        count = min(HOSTS_ASKED, len(others))
        first = self.requests * HOSTS_ASKED
        return [others[(first + n) % len(others)] for n in range(count)]

    def handle_request(self, message):
        """Send the history to another host if it is complete up to now."""
        member = self.members.others.get(message.host)
        if member is None or not self.is_current:
            return
        now = self.clock.seconds()
        ages = releases(self.registry, now)
        if len(ages) > MAX_ROWS:
            return
        rows = [
            ReleaseRow(service, version, millis(age))
            for (service, version), age in ages.items()
        ]
        covered = min(
            covered_seconds(self.registry, now), VERSION_RETENTION_SECONDS
        )
        answer = VersionHistoryMessage(
            self.members.own.name, int(covered), rows
        )
        self.datagrams.send(answer, member.control)

    def merge(self, message):
        """Add the history of another host to that of this one."""
        if not self.is_current or not self.requests:
            return
        ages = {
            (row.service, row.version): max(0, row.age_ms) / 1000
            for row in message.rows
        }
        now = self.clock.seconds()
        adopt_history(self.registry, max(0, message.age), ages, now)
        if message.age >= SETTLED_SECONDS:
            self.requests = MAX_REQUESTS
