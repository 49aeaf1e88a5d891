"""Rosters: reports about hosts that the receiver has no contact with."""

import enum
import math

from ..core.sentinels import NOTHING
from ..traffic.members import MAX_CONTACT_AGE_SECONDS, PLACER_WARMUP_SECONDS
from .hostentries import entry_from_member, member_from_entry
from .messages import HostEntriesMessage, HostEntriesRequest, Roster, RosterRow

__all__ = ["Rosters"]

TENTHS_PER_SECOND = 10
MAX_AGE_TENTHS = 255
"""Ages are reported in tenths of a second, up to this one; a host without a
message for that long counts as gone."""

GONE_REPORT_SECONDS = 10.0
"""Time for which a host that timed out is reported as gone, in several
rosters. A receiver also sets the age of its last message to this value."""

MAX_RECORDS_REQUESTED = 40
"""Hosts whose entries are requested at once; the response is a datagram of 6
KB. The rest are requested with the next roster."""

ENTRY_WAIT_SECONDS = 1.0
"""Time for which a row of an unknown host waits for the entry of that host,
which is not requested again meanwhile."""


class HostState(enum.IntFlag):
    """State of a host in a roster, apart from being up."""

    LEAVING = 1
    OUT_OF_CONTACT = 2
    UNSETTLED = 4
    UNCONFIGURED = 8
    GONE = 16


class Rosters:
    """Write rosters of hosts, and apply those of other hosts.

    A host exchanges heartbeats only with the few hosts that it reports to.
    These receive heartbeats from all hosts that report to them, and report in
    eight bytes a host which hosts are up.

    Args:
        members: The `Members`.
        datagrams: The `DatagramEndpoint`.
        clock: The runtime's clock.

    Attributes:
        waiting_rows: `RosterRow` of each unknown host and the time of its
            arrival, by identifier.
    """

    def __init__(self, members, datagrams, clock):
        self.members = members
        self.datagrams = datagrams
        self.clock = clock
        self.waiting_rows = {}

    def roster(self, region, now, *, is_answer=False):
        """Return the `Roster` of the hosts of *region*.

        Hosts that timed out recently are reported as gone: this host exchanged
        heartbeats with them itself, so it detects the loss sooner than a host
        that receives rosters only.
        """
        members = self.members
        rows = [
            make_row(one, now, gone=not members.is_up(one, now))
            for one in members.others.values()
            if one.region == region and is_reportable(one, now)
        ]
        if region == members.own.region:
            rows.append(
                RosterRow(members.own.id, 0, encode_state(members.own))
            )
        return Roster(members.own.name, rows, is_answer)

    def single_host_roster(self, member, now):
        """Return a `Roster` of one host."""
        return Roster(self.members.own.name, [make_row(member, now)])

    def handle_roster(self, message):
        """Apply a roster, and request the entries of unknown hosts."""
        now = self.clock.seconds()
        self.drop_waiting_rows(now)
        unknown = []
        for row in message.rows:
            member = self.members.by_id.get(row.id)
            if member is not None:
                self.apply_row(member, row, now)
            elif (
                row.id != self.members.own.id
                and row.id not in self.waiting_rows
            ):
                unknown.append(row)
        sender = self.members.others.get(message.host)
        if unknown and sender is not None:
            self.request_entries(unknown[:MAX_RECORDS_REQUESTED], sender, now)

    def request_entries(self, rows, sender, now):
        """Request the entries of the hosts of some rows from their sender."""
        self.waiting_rows.update((row.id, (row, now)) for row in rows)
        ask = HostEntriesRequest(
            self.members.own.name, [row.id for row in rows]
        )
        self.datagrams.send(ask, sender.control)

    def handle_records_request(self, message):
        """Send the entries of the requested hosts."""
        asker = self.members.others.get(message.host)
        if asker is None:
            return
        known = dict(self.members.by_id)
        known[self.members.own.id] = self.members.own
        entries = [
            entry_from_member(known[one])
            for one in message.ids[:MAX_RECORDS_REQUESTED]
            if one in known
        ]
        self.datagrams.send(HostEntriesMessage(entries), asker.control)

    def handle_records(self, message):
        """Record the entries of hosts, and apply the rows that wait for them.

        Otherwise these hosts would count as down until the next roster.
        """
        now = self.clock.seconds()
        self.drop_waiting_rows(now)
        for entry in message.hosts:
            member = member_from_entry(entry)
            self.members.add(member, announced_at=now)
            row, received_at = self.waiting_rows.pop(
                member.id, (NOTHING, NOTHING)
            )
            known = self.members.by_id.get(member.id)
            if row is not NOTHING and known is not None:
                self.apply_row(known, row, received_at)

    def apply_row(self, member, row, now):
        """Apply a row that was received at *now*."""
        apply_row(member, row, now)
        self.members.note_seen(member)

    def drop_waiting_rows(self, now):
        """Forget the rows whose hosts have not become known in time."""
        self.waiting_rows = {
            id_: (row, received_at)
            for id_, (row, received_at) in self.waiting_rows.items()
            if now - received_at < ENTRY_WAIT_SECONDS
        }


def is_reportable(member, now):
    """Return whether a host was up recently enough to be reported."""
    last = member.last_seen_at
    return last is not NOTHING and now - last < GONE_REPORT_SECONDS


def make_row(member, now, *, gone=False):
    """Return the `RosterRow` of a host."""
    state = encode_state(member) | (HostState.GONE if gone else 0)
    return RosterRow(member.id, age_tenths(member, now), int(state))


def apply_row(member, row, now):
    """Apply a row of a roster to a host.

    Several hosts report it. A message from the host itself, or a row about a
    later message of it, takes precedence.
    """
    last_seen_at = now - row.age_tenths / TENTHS_PER_SECOND
    if HostState.GONE in HostState(row.state):
        mark_gone(member, last_seen_at)
        return
    if (
        member.reported_alive_at is not NOTHING
        and last_seen_at < member.reported_alive_at
    ):
        return
    member.reported_alive_at = last_seen_at
    if (
        member.last_heartbeat_at is not NOTHING
        and member.last_heartbeat_at >= last_seen_at
    ):
        return
    state = HostState(row.state)
    member.leaving = HostState.LEAVING in state
    out_of_contact = HostState.OUT_OF_CONTACT in state
    member.contact_age = 2 * MAX_CONTACT_AGE_SECONDS if out_of_contact else 0.0
    member.up_seconds = (
        0.0 if HostState.UNSETTLED in state else PLACER_WARMUP_SECONDS
    )
    configured = HostState.UNCONFIGURED not in state
    member.version = max(1, member.version) if configured else 0


def mark_gone(member, last_seen_at):
    """Treat a host as gone that was last seen at *last_seen_at*."""
    if member.reported_alive_at is not NOTHING:
        member.reported_alive_at = min(
            member.reported_alive_at, last_seen_at - GONE_REPORT_SECONDS
        )


def encode_state(member):
    """Return the `HostState` of a host as an integer."""
    states = (
        (HostState.LEAVING, member.leaving),
        (
            HostState.OUT_OF_CONTACT,
            member.contact_age > MAX_CONTACT_AGE_SECONDS,
        ),
        (HostState.UNSETTLED, member.up_seconds < PLACER_WARMUP_SECONDS),
        (HostState.UNCONFIGURED, not member.version),
    )
    found = HostState(0)
    for state, holds in states:
        if holds:
            found |= state
    return int(found)


def age_tenths(member, now):
    """Return the age of a host's last message in tenths, rounded up.

    If it were rounded down, the last message of a host that is gone would seem
    newer with each host that passes its age on.
    """
    age = math.ceil((now - member.last_seen_at) * TENTHS_PER_SECOND)
    return min(MAX_AGE_TENTHS, max(0, age))
