"""Tell hosts under which requests servers have ended."""

from ..core.events import EventKind
from ..core.sentinels import NOTHING
from ..traffic.crashes import End, Suspect
from .digests import DigestComparison, millis
from .messages import ServerEndRow, SuspectRow, SuspectsMessage

__all__ = ["CrashSharing", "suspect_from_row", "suspect_row"]

AGGREGATING_HOSTS = 3
"""Hosts of a region that hear of each first end: those that place, and that
others report to. All others hear of a request from its second end on."""

MAX_ROWS_PER_DATAGRAM = 100
"""Requests in one datagram, at most 30 KB of them."""

EXPIRE_INTERVAL_SECONDS = 5.0
"""Seconds between looks for what is too old; to look takes 2 ms at most."""


class CrashSharing:
    """Keep what hosts know of such requests the same.

    News is sent on at once, over the hosts that place to other regions, so
    that a region cut off from one hears it by way of a third. Heartbeats
    bear a digest of what a host knows; a host that was cut off, or has just
    started, is told all by the first that hears another digest from it.

    Args:
        crashes: The `Crashes`.
        members: The `Members`.
        datagrams: The `DatagramEndpoint`.
        clock: The runtime's clock.
        timeline: The `Timeline`.
        far_contacts: Called for the hosts of other regions to tell, none if
            this host does not place.
        save: Called with a `Suspect` of which the store is to know.
    """

    def __init__(
        self, crashes, members, datagrams, clock, timeline, far_contacts, save
    ):
        self.crashes = crashes
        self.members = members
        self.datagrams = datagrams
        self.clock = clock
        self.timeline = timeline
        self.far_contacts = far_contacts
        self.save = save
        self.comparison = DigestComparison(clock)
        self.expire_due = 0.0

    def server_ended(self, fingerprint, caller, server, peer_ip=""):
        """Note that a server ended here as a request began on it.

        Args:
            fingerprint: The request.
            caller: Address that it came from.
            server: The start of a server.
            peer_ip: Address of the host that had sent the request on, or
                an empty string. It decides on the next try, at once.
        """
        now = self.clock.seconds()
        end = End(server, now, self.members.own.name, caller)
        if not self.crashes.note_end(fingerprint, end, now):
            return
        suspect = self.crashes.suspects[fingerprint]
        self.announce([suspect], now)
        if peer_ip:
            self.announce_to_ip([suspect], peer_ip, now)
        if suspect.for_all:
            self.save(suspect)

    def ran_well(self, fingerprint, caller):
        """Note that a request of a caller has run well on a server."""
        now = self.clock.seconds()
        if self.crashes.note_run(fingerprint, caller, now):
            self.announce([self.crashes.suspects[fingerprint]], now)

    def verdict(self, fingerprint, caller):
        """Return the `Verdict` on a request of a caller."""
        now = self.clock.seconds()
        return self.crashes.verdict(fingerprint, caller, now)

    def evidence(self, fingerprint):
        """Return the ends under a request, in words for a log line."""
        now = self.clock.seconds()
        suspect = self.crashes.suspects.get(fingerprint)
        ends = suspect.ends.values() if suspect is not None else ()
        return ", ".join(
            f"{end.server} {now - end.at:.1f} s ago by {end.host}"
            for end in sorted(ends, key=lambda end: -end.at)
        )

    def tick(self):
        """Forget what is old, and block what has been found."""
        now = self.clock.seconds()
        if now >= self.expire_due:
            self.expire_due = now + EXPIRE_INTERVAL_SECONDS
            self.crashes.expire(now)
        for suspect in self.crashes.judge(now):
            self.note_blocked(suspect)
            self.announce([suspect], now)
            self.save(suspect)

    def note_blocked(self, suspect):
        """Put a blocked request on the time line."""
        self.timeline.note(
            EventKind.REQUEST_BLOCKED,
            fingerprint=suspect.fingerprint,
            evidence=self.evidence(suspect.fingerprint),
        )

    def announce(self, suspects, now, *, region=True):
        """Send news on.

        Args:
            suspects: Each `Suspect`.
            now: The time.
            region: Whether the hosts of this region are to hear it.
        """
        message = self.message(suspects, now)
        self.datagrams.send_all(message, self.far_contacts())
        if not region:
            return
        if any(one.for_all for one in suspects):
            name = self.members.own.region
            others = self.members.others.values()
            in_region = [one for one in others if one.region == name]
        else:
            in_region = [
                one
                for one in self.members.placers(now)[:AGGREGATING_HOSTS]
                if one is not self.members.own
            ]
        self.datagrams.send_all(message, in_region)

    def announce_to_ip(self, suspects, ip, now):
        """Send news to the host with an address."""
        for member in self.members.others.values():
            if member.control.rpartition(":")[0] == ip:
                self.datagrams.send(
                    self.message(suspects, now), member.control
                )

    def message(self, suspects, now):
        """Return the message on *suspects*."""
        return SuspectsMessage(
            self.members.own.name,
            [
                suspect_row(one, now)
                for one in suspects[:MAX_ROWS_PER_DATAGRAM]
            ],
        )

    def merge(self, message):
        """Take over what another host tells, and send on what is news."""
        now = self.clock.seconds()
        changed = []
        for row in message.rows:
            received = suspect_from_row(row, now)
            if self.crashes.merge(received, now):
                changed.append(received.fingerprint)
        # One of them may have been forgotten for want of room by now.
        suspects = self.crashes.suspects
        changed = [suspects[one] for one in changed if one in suspects]
        if not changed:
            return
        for suspect in changed:
            if suspect.blocked:
                self.note_blocked(suspect)
        sender = self.members.others.get(message.host)
        in_region = (
            sender is not None and sender.region == self.members.own.region
        )
        self.announce(changed, now, region=not in_region)

    def compare(self, member, digest):
        """Tell a host all if it knows something else."""
        own = self.crashes.digest
        if not self.comparison.must_tell(member.name, own, digest):
            return
        known = self.crashes.told_to_all()
        if known:
            message = self.message(known, self.clock.seconds())
            self.datagrams.send(message, member.control)

    def has_suspects(self):
        """Whether any request is to be looked at at all."""
        return bool(self.crashes.suspects)


def suspect_row(suspect, now):
    """Return the `SuspectRow` of a `Suspect`, in ages."""
    cleared = -1
    if suspect.cleared_at is not NOTHING:
        cleared = millis(now - suspect.cleared_at)
    return SuspectRow(
        suspect.fingerprint,
        [
            ServerEndRow(
                end.server, millis(now - end.at), end.host, end.caller
            )
            for end in suspect.ends.values()
        ],
        suspect.blocked,
        cleared,
    )


def suspect_from_row(row, now):
    """Return the `Suspect` of a `SuspectRow`, in times of this host."""
    ends = {
        end.server: End(
            end.server, now - end.age_ms / 1000, end.host, end.caller
        )
        for end in row.ends
    }
    cleared = NOTHING
    if row.cleared_age_ms >= 0:
        cleared = now - row.cleared_age_ms / 1000
    return Suspect(row.fingerprint, ends, row.blocked, cleared)
