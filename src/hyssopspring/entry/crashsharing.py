"""Share between hosts which requests and parts have crashed servers."""

from ..core.events import EventKind
from ..core.sentinels import NOTHING
from ..traffic.crashverdicts import CRASHES_TO_BLOCK
from ..traffic.suspects import ServerCrash, Suspect, part_id_of, part_key
from .digests import DigestComparison, millis
from .messages import ServerCrashRow, SuspectRow, SuspectsMessage

__all__ = [
    "CrashSharing",
    "note_blocked",
    "suspect_from_row",
    "suspect_row",
    "suspects_from_message",
]

AGGREGATING_HOSTS = 3
"""Hosts of a region that receive the first crash of a suspect: the placing
hosts, to which the others report. All other hosts receive a suspect from its
second crash on."""

MAX_ROWS_PER_DATAGRAM = 30
"""Rows of suspects in one datagram, which is then at most 52 KB long, and a
fifth of that with prompts of a few parts."""

MAX_DATAGRAMS_TO_ONE_HOST = 8
"""Datagrams in which all records are sent to a host that lacks some."""

EXPIRE_INTERVAL_SECONDS = 5.0
"""Seconds between two removals of expired crashes; each takes at most 2 ms."""


class CrashSharing:
    """Replicate the records of suspects on all hosts.

    Changes are forwarded at once. Placing hosts forward them to other
    regions, so that a region that is disconnected from one region receives
    them through a third. Heartbeats carry a digest of the records of a host;
    a host that was disconnected, or has just started, receives all records
    from the first host that sees a different digest.

    Args:
        crashes: The `CrashTracker`.
        part_runs: The `PartRuns` of this host.
        members: The `Members`.
        datagrams: The `DatagramEndpoint`.
        clock: The clock of the reactor.
        timeline: The `Timeline`.
        remote_contacts: Called for the hosts of other regions to notify; empty
            if this host does not place.
        save: Called with a `Suspect` to write to the store; one without
            crashes replaces what was written of it.
    """

    def __init__(
        self,
        crashes,
        part_runs,
        members,
        datagrams,
        clock,
        timeline,
        remote_contacts,
        save,
    ):
        self.crashes = crashes
        self.part_runs = part_runs
        self.members = members
        self.datagrams = datagrams
        self.clock = clock
        self.timeline = timeline
        self.remote_contacts = remote_contacts
        self.save = save
        self.comparison = DigestComparison(clock)
        self.part_comparison = DigestComparison(clock)
        self.expire_due = 0.0

    def record_server_crash(
        self, origin, server, *, release="", isolated=False, peer_ip=""
    ):
        """Record that a server crashed as a request of this host began on it.

        Args:
            origin: The `RequestOrigin` of the request.
            server: The start of the server.
            release: Service and version of the server, or "".
            isolated: Whether the request ran isolated from other suspects.
            peer_ip: IP address of the host that forwarded the request, or
                an empty string. That host is notified at once, because it
                immediately decides on the next attempt.
        """
        now = self.clock.seconds()
        changed = []
        for key, caller in origin.callers.items():
            end = ServerCrash(
                server,
                now,
                self.members.own.name,
                caller,
                release,
                isolated,
            )
            parts = origin.parts if key == origin.fingerprint else ()
            if self.crashes.record_crash(key, end, now, parts):
                self.apply_earlier_run(key, now)
                changed.append(self.crashes.suspects[key])
        if not changed:
            return
        self.announce(changed, now)
        if peer_ip:
            self.announce_to_ip(changed, peer_ip, now)
        for suspect in changed:
            self.save_if_needed(suspect)

    def apply_earlier_run(self, key, now):
        """Take into account that a part has run on this host."""
        at = self.part_runs.last_run(key, now)
        if at is not NOTHING:
            self.crashes.record_earlier_run(key, at)

    def save_if_needed(self, suspect):
        """Write a suspect to the store if it matters after a restart.

        A part is written when it is about to be blocked: most suspected parts
        are cleared by the next run.
        """
        if not suspect.shared_with_all:
            return
        weight = self.crashes.causes.weight(suspect)
        if not suspect.is_part or weight >= CRASHES_TO_BLOCK:
            self.save(suspect)

    def record_completion(self, fingerprint, caller):
        """Record that a request of a caller has succeeded on a server."""
        now = self.clock.seconds()
        if self.crashes.record_success(fingerprint, caller, now):
            suspect = self.crashes.suspects[fingerprint]
            self.announce([suspect], now)
            self.save(suspect)

    def record_part_runs(self, keys, server):
        """Record that a server has run parts of a prompt without a crash."""
        now = self.clock.seconds()
        self.part_runs.record(keys, now)
        if self.crashes.suspects:
            self.clear_parts(keys, server, now)

    def clear_parts(self, keys, server, now):
        """Remove the crashes of parts that have run."""
        suspects = self.crashes.suspects
        cleared = []
        for key in keys:
            suspect = suspects.get(key)
            if suspect is None:
                continue
            known_to_all = suspect.concerns_all
            if self.crashes.record_success(key, "", now):
                cleared.append(suspect)
                self.save(suspect)
                if known_to_all:
                    self.note_cleared(suspect, server)
        if cleared:
            self.announce(cleared, now)

    def assess(self, origin):
        """Return the `Assessment` of a request, given its `RequestOrigin`."""
        return self.crashes.causes.assess(origin.callers, self.clock.seconds())

    def evidence(self, key):
        """Return a description of a suspect's crashes for a log line."""
        now = self.clock.seconds()
        suspect = self.crashes.suspects.get(key)
        ends = suspect.crashes.values() if suspect is not None else ()
        return ", ".join(
            f"{end.server} {now - end.at:.1f} s ago by {end.host}"
            for end in sorted(ends, key=lambda end: -end.at)
        )

    def tick(self):
        """Expire old records and block the suspects that are at fault."""
        now = self.clock.seconds()
        if not self.crashes.suspects:
            return
        if now >= self.expire_due:
            self.expire_due = now + EXPIRE_INTERVAL_SECONDS
            self.crashes.expire(now)
        for suspect in self.crashes.block_causes(now):
            self.note_blocked(suspect)
            self.announce([suspect], now)
            self.save(suspect)

    def note_blocked(self, suspect):
        """Log that a suspect is blocked."""
        note_blocked(self.timeline, suspect, self.evidence(suspect.key))

    def note_cleared(self, suspect, server):
        """Log that a run showed that a suspected part is sound."""
        self.timeline.note(
            EventKind.PART_CLEARED, part=suspect.part_id, server=server
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
        aggregating = [
            one
            for one in self.members.placers(now)[:AGGREGATING_HOSTS]
            if one is not self.members.own
        ]
        self.datagrams.send_all(message, aggregating)
        shared = [one for one in suspects if one.shared_with_all]
        if shared:
            self.datagrams.send_all(
                self.message(shared, now),
                [
                    one
                    for one in self.members.others.values()
                    if one.region == self.members.own.region
                    and one not in aggregating
                ],
            )

    def announce_to_ip(self, suspects, ip, now):
        """Send changed records to the host with an IP address."""
        for member in self.members.others.values():
            if member.control.rpartition(":")[0] == ip:
                self.datagrams.send(
                    self.message(suspects, now), member.control
                )

    def message(self, suspects, now):
        """Return the message that carries *suspects*."""
        sent = suspects[:MAX_ROWS_PER_DATAGRAM]
        return SuspectsMessage(
            self.members.own.name,
            [suspect_row(one, now) for one in sent if not one.is_part],
            [suspect_row(one, now) for one in sent if one.is_part],
        )

    def merge(self, message):
        """Merge records that another host sent and forward the changes."""
        now = self.clock.seconds()
        changed, answers = [], []
        for received in suspects_from_message(message, now):
            news = self.crashes.merge(received, now)
            if received.is_part:
                self.apply_earlier_run(received.key, now)
                if self.crashes.knows_later_run(received):
                    answers.append(received.key)
            if news:
                changed.append(received.key)
        # The table may be full, and a later record may have evicted an
        # earlier one of the same message.
        suspects = self.crashes.suspects
        changed = [suspects[one] for one in changed if one in suspects]
        answers = [suspects[one] for one in answers if one in suspects]
        sender = self.members.others.get(message.host)
        if answers and sender is not None:
            self.datagrams.send(self.message(answers, now), sender.control)
        if not changed:
            return
        for suspect in changed:
            if suspect.blocked:
                self.note_blocked(suspect)
            if not suspect.crashes:
                self.save(suspect)
        in_region = (
            sender is not None and sender.region == self.members.own.region
        )
        self.announce(changed, now, region=not in_region)

    def compare(self, member, heartbeat):
        """Send all records to a host if a digest of its heartbeat differs."""
        different = self.comparison.must_send(
            member.name, self.crashes.digest, heartbeat.crashes
        )
        different_parts = self.part_comparison.must_send(
            member.name, self.crashes.part_digest, heartbeat.part_crashes
        )
        known = [
            one
            for one in self.crashes.suspects_for_all()
            if (different_parts if one.is_part else different)
        ]
        now = self.clock.seconds()
        for number in range(MAX_DATAGRAMS_TO_ONE_HOST):
            first = number * MAX_ROWS_PER_DATAGRAM
            rows = known[first : first + MAX_ROWS_PER_DATAGRAM]
            if rows:
                self.datagrams.send(self.message(rows, now), member.control)

    def has_suspects(self):
        """Return whether there are any records to check requests against."""
        return bool(self.crashes.suspects)


def note_blocked(timeline, suspect, evidence):
    """Log that a suspect is blocked, and the text on its crashes."""
    if suspect.is_part:
        timeline.note(
            EventKind.PART_BLOCKED, part=suspect.part_id, evidence=evidence
        )
    else:
        timeline.note(
            EventKind.REQUEST_BLOCKED,
            fingerprint=suspect.key,
            evidence=evidence,
        )


def suspect_row(suspect, now):
    """Return the `SuspectRow` of a `Suspect`, with its times as ages."""
    cleared = -1
    if suspect.cleared_at is not NOTHING:
        cleared = millis(now - suspect.cleared_at)
    return SuspectRow(
        suspect.part_id or suspect.key,
        [
            ServerCrashRow(
                end.server,
                millis(now - end.at),
                end.host,
                end.caller,
                end.release,
                end.isolated,
            )
            for end in suspect.crashes.values()
        ],
        suspect.blocked,
        cleared,
        sorted(map(part_id_of, suspect.parts)),
    )


def suspect_from_row(row, now, *, is_part=False):
    """Return the `Suspect` of a row, with its times by the local clock."""
    ends = {
        end.server: ServerCrash(
            end.server,
            now - end.age_ms / 1000,
            end.host,
            end.caller,
            end.release,
            end.isolated,
        )
        for end in row.ends
    }
    cleared = NOTHING
    if row.cleared_age_ms >= 0:
        cleared = now - row.cleared_age_ms / 1000
    return Suspect(
        part_key(row.fingerprint) if is_part else row.fingerprint,
        ends,
        row.blocked,
        cleared,
        frozenset(map(part_key, row.parts)),
    )


def suspects_from_message(message, now):
    """Return each `Suspect` of a `SuspectsMessage`."""
    return [
        *(suspect_from_row(row, now) for row in message.rows),
        *(suspect_from_row(row, now, is_part=True) for row in message.parts),
    ]
