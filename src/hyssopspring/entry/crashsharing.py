"""Share between hosts which requests have crashed servers."""

from ..core.events import EventKind
from ..core.sentinels import NOTHING
from ..traffic.crashes import ServerCrash, Suspect
from .digests import DigestComparison, millis
from .messages import ServerCrashRow, SuspectRow, SuspectsMessage

__all__ = ["CrashSharing", "suspect_from_row", "suspect_row"]

AGGREGATING_HOSTS = 3
"""Hosts of a region that receive the first crash of a request: the placing
hosts, to which the others report. All other hosts receive a request from its
second crash on."""

MAX_ROWS_PER_DATAGRAM = 100
"""Rows of requests in one datagram, which is then at most 30 KB long."""

EXPIRE_INTERVAL_SECONDS = 5.0
"""Seconds between two removals of expired crashes; each takes at most 2 ms."""


class CrashSharing:
    """Replicate the records of requests that crash servers on all hosts.

    Changes are forwarded at once. Placing hosts forward them to other
    regions, so that a region that is disconnected from one region receives
    them through a third. Heartbeats carry a digest of the records of a host;
    a host that was disconnected, or has just started, receives all records
    from the first host that sees a different digest.

    Args:
        crashes: The `CrashTracker`.
        members: The `Members`.
        datagrams: The `DatagramEndpoint`.
        clock: The clock of the reactor.
        timeline: The `Timeline`.
        remote_contacts: Called for the hosts of other regions to notify; empty
            if this host does not place.
        save: Called with a `Suspect` to write to the store.
    """

    def __init__(
        self,
        crashes,
        members,
        datagrams,
        clock,
        timeline,
        remote_contacts,
        save,
    ):
        self.crashes = crashes
        self.members = members
        self.datagrams = datagrams
        self.clock = clock
        self.timeline = timeline
        self.remote_contacts = remote_contacts
        self.save = save
        self.comparison = DigestComparison(clock)
        self.expire_due = 0.0

    def record_server_crash(self, fingerprint, caller, server, peer_ip=""):
        """Record that a server crashed as a request of this host began on it.

        Args:
            fingerprint: Fingerprint of the request.
            caller: Address of the caller.
            server: The start of the server.
            peer_ip: IP address of the host that forwarded the request, or
                an empty string. That host is notified at once, because it
                immediately decides on the next attempt.
        """
        now = self.clock.seconds()
        end = ServerCrash(server, now, self.members.own.name, caller)
        if not self.crashes.record_crash(fingerprint, end, now):
            return
        suspect = self.crashes.suspects[fingerprint]
        self.announce([suspect], now)
        if peer_ip:
            self.announce_to_ip([suspect], peer_ip, now)
        if suspect.shared_with_all:
            self.save(suspect)

    def record_completion(self, fingerprint, caller):
        """Record that a request of a caller has succeeded on a server."""
        now = self.clock.seconds()
        if self.crashes.record_success(fingerprint, caller, now):
            self.announce([self.crashes.suspects[fingerprint]], now)

    def verdict(self, fingerprint, caller):
        """Return the `Verdict` on a request of a caller."""
        now = self.clock.seconds()
        return self.crashes.verdict(fingerprint, caller, now)

    def evidence(self, fingerprint):
        """Return a description of a request's crashes for a log line."""
        now = self.clock.seconds()
        suspect = self.crashes.suspects.get(fingerprint)
        ends = suspect.crashes.values() if suspect is not None else ()
        return ", ".join(
            f"{end.server} {now - end.at:.1f} s ago by {end.host}"
            for end in sorted(ends, key=lambda end: -end.at)
        )

    def tick(self):
        """Expire old records and block the requests that are at fault."""
        now = self.clock.seconds()
        if now >= self.expire_due:
            self.expire_due = now + EXPIRE_INTERVAL_SECONDS
            self.crashes.expire(now)
        for suspect in self.crashes.block_causes(now):
            self.note_blocked(suspect)
            self.announce([suspect], now)
            self.save(suspect)

    def note_blocked(self, suspect):
        """Log that a request is blocked."""
        self.timeline.note(
            EventKind.REQUEST_BLOCKED,
            fingerprint=suspect.fingerprint,
            evidence=self.evidence(suspect.fingerprint),
        )

    def announce(self, suspects, now, *, region=True):
        """Send changed records to other hosts.

        Args:
            suspects: List of `Suspect`.
            now: Current time of the clock.
            region: Whether to send them to hosts of this region as well.
        """
        message = self.message(suspects, now)
        self.datagrams.send_all(message, self.remote_contacts())
        if not region:
            return
        if any(one.shared_with_all for one in suspects):
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
        """Send changed records to the host with an IP address."""
        for member in self.members.others.values():
            if member.control.rpartition(":")[0] == ip:
                self.datagrams.send(
                    self.message(suspects, now), member.control
                )

    def message(self, suspects, now):
        """Return the message that carries *suspects*."""
        return SuspectsMessage(
            self.members.own.name,
            [
                suspect_row(one, now)
                for one in suspects[:MAX_ROWS_PER_DATAGRAM]
            ],
        )

    def merge(self, message):
        """Merge records that another host sent and forward the changes."""
        now = self.clock.seconds()
        changed = []
        for row in message.rows:
            received = suspect_from_row(row, now)
            if self.crashes.merge(received, now):
                changed.append(received.fingerprint)
        # The table may be full, and a later record may have evicted an
        # earlier one of the same message.
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
        """Send all records to a host if its digest differs."""
        own = self.crashes.digest
        if not self.comparison.must_send(member.name, own, digest):
            return
        known = self.crashes.suspects_for_all()
        if known:
            message = self.message(known, self.clock.seconds())
            self.datagrams.send(message, member.control)

    def has_suspects(self):
        """Return whether there are any records to check requests against."""
        return bool(self.crashes.suspects)


def suspect_row(suspect, now):
    """Return the `SuspectRow` of a `Suspect`, with its times as ages."""
    cleared = -1
    if suspect.cleared_at is not NOTHING:
        cleared = millis(now - suspect.cleared_at)
    return SuspectRow(
        suspect.fingerprint,
        [
            ServerCrashRow(
                end.server, millis(now - end.at), end.host, end.caller
            )
            for end in suspect.crashes.values()
        ],
        suspect.blocked,
        cleared,
    )


def suspect_from_row(row, now):
    """Return the `Suspect` of a row, with its times by the local clock."""
    ends = {
        end.server: ServerCrash(
            end.server, now - end.age_ms / 1000, end.host, end.caller
        )
        for end in row.ends
    }
    cleared = NOTHING
    if row.cleared_age_ms >= 0:
        cleared = now - row.cleared_age_ms / 1000
    return Suspect(row.fingerprint, ends, row.blocked, cleared)
