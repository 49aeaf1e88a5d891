"""What hosts tell each other of hosts that they do not hear themselves."""

import enum
import math

from ..core.sentinels import NOTHING
from ..traffic.members import CONTACT_AGE, SETTLED
from .hostentries import host_entry, member_of
from .messages import Records, RecordsAsk, Roster, RosterRow

__all__ = ["Rosters"]

TENTHS_PER_SECOND = 10
MAX_AGE_TENTHS = 255
"""Ages are told in tenths of a second, up to this one; a host that was not
heard for that long counts as gone."""

GONE_REPORT_SECONDS = 10.0
"""Seconds for which a host that fell silent is named as gone, in several
rosters; also the age that its last word is then taken to have."""

MAX_RECORDS_REQUESTED = 40
"""Hosts that are asked for at once; the answer is a datagram of 6 KB. The
rest are asked for with the next roster."""


class HostState(enum.IntFlag):
    """What a roster tells of a host besides that it lives."""

    LEAVING = 1
    OUT_OF_CONTACT = 2
    UNSETTLED = 4
    UNCONFIGURED = 8
    GONE = 16


class Rosters:
    """Write rosters of hosts, and take over those of others.

    A host hears only the few hosts that it reports to. These hear all that
    report to them and pass on, in eight bytes a host, who lives.

    Args:
        members: The `Members`.
        datagrams: The `Datagrams`.
        clock: The runtime's clock.
    """

    def __init__(self, members, datagrams, clock):
        self.members = members
        self.datagrams = datagrams
        self.clock = clock

    def roster(self, region, now):
        """Return the `Roster` of the hosts of *region*.

        Those that fell silent of late are named as gone: this host heard
        them itself, so it knows sooner than who is told of them.
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
        return Roster(members.own.name, rows)

    def single_host_roster(self, member, now):
        """Return a `Roster` of one host."""
        return Roster(self.members.own.name, [make_row(member, now)])

    def handle_roster(self, message):
        """Take over a roster, and ask for the hosts that are not known."""
        now = self.clock.seconds()
        unknown = []
        for row in message.rows:
            member = self.members.by_id.get(row.id)
            if member is not None:
                apply_row(member, row, now)
            elif row.id != self.members.own.id:
                unknown.append(row.id)
        sender = self.members.others.get(message.host)
        if unknown and sender is not None:
            ask = RecordsAsk(
                self.members.own.name, unknown[:MAX_RECORDS_REQUESTED]
            )
            self.datagrams.send(ask, sender.control)

    def handle_records_request(self, message):
        """Answer who hosts are."""
        asker = self.members.others.get(message.host)
        if asker is None:
            return
        known = dict(self.members.by_id)
        known[self.members.own.id] = self.members.own
        entries = [
            host_entry(known[one])
            for one in message.ids[:MAX_RECORDS_REQUESTED]
            if one in known
        ]
        self.datagrams.send(Records(entries), asker.control)

    def handle_records(self, message):
        """Learn who hosts are."""
        now = self.clock.seconds()
        for entry in message.hosts:
            self.members.learn(member_of(entry), spoke_at=now)


def is_reportable(member, now):
    """Whether a host was heard of lately enough to tell of it."""
    last = member.last_word_at
    return last is not NOTHING and now - last < GONE_REPORT_SECONDS


def make_row(member, now, *, gone=False):
    """Return the `RosterRow` of a host that was heard or told of."""
    state = encode_state(member) | (HostState.GONE if gone else 0)
    return RosterRow(member.id, age_tenths(member, now), int(state))


def apply_row(member, row, now):
    """Take over what a roster says of a host.

    What the host itself has said of late is newer.
    """
    heard = now - row.age_tenths / TENTHS_PER_SECOND
    if HostState.GONE in HostState(row.state):
        mark_gone(member, heard)
        return
    if member.told_at is NOTHING or heard > member.told_at:
        member.told_at = heard
    if member.heard_at is not NOTHING and member.heard_at >= heard:
        return
    state = HostState(row.state)
    member.leaving = HostState.LEAVING in state
    out_of_contact = HostState.OUT_OF_CONTACT in state
    member.contact_age = 2 * CONTACT_AGE if out_of_contact else 0.0
    member.up_seconds = 0.0 if HostState.UNSETTLED in state else SETTLED
    configured = HostState.UNCONFIGURED not in state
    member.version = max(1, member.version) if configured else 0


def mark_gone(member, heard):
    """Take a host for gone of which nothing was heard since *heard*."""
    if member.told_at is not NOTHING:
        member.told_at = min(member.told_at, heard - GONE_REPORT_SECONDS)


def encode_state(member):
    """Return the `HostState` of a host."""
    states = (
        (HostState.LEAVING, member.leaving),
        (HostState.OUT_OF_CONTACT, member.contact_age > CONTACT_AGE),
        (HostState.UNSETTLED, member.up_seconds < SETTLED),
        (HostState.UNCONFIGURED, not member.version),
    )
    found = HostState(0)
    for state, holds in states:
        if holds:
            found |= state
    return int(found)


def age_tenths(member, now):
    """Return the tenths of a second since a host was heard, rounded up.

    Rounded down, the word of a host that is gone would grow younger with
    each host that passes it on.
    """
    age = math.ceil((now - member.last_word_at) * TENTHS_PER_SECOND)
    return min(MAX_AGE_TENTHS, max(0, age))
