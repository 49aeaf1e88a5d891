"""Heartbeats, rosters and load reports between hosts."""

import math

from ..core.events import EventKind
from ..core.revisions import era_of, join_revision, number_of
from ..core.sentinels import NOTHING
from ..traffic.members import (
    PLACER_WARMUP_SECONDS,
    STARTUP_DISCOVERY_SECONDS,
    Subscription,
)
from ..traffic.pauses import StreamGaps
from ..traffic.regions import RegionLoad, ServerCapacity
from ..traffic.serverhealth import AttemptResult
from ..traffic.speedhandover import SpeedHandover
from ..traffic.work import RANKS, Placement
from .hostentries import member_from_entry
from .messages import (
    AttemptEndedMessage,
    AttemptStartedMessage,
    Heartbeat,
    HostEntriesMessage,
    HostEntriesRequest,
    PlacementGrantMessage,
    PlacementQueryMessage,
    PlacementRefusalMessage,
    RegionLoadMessage,
    Roster,
    ServerCapacityRow,
    ServerNoticesMessage,
    ServiceLoad,
    StoreChange,
    SuspectsMessage,
    TokenTransfer,
    TokenTransferRequest,
    ViewRequest,
    ViewResponse,
    WorkspaceLimitMessage,
)
from .placementmessages import load_from_row
from .rosters import Rosters
from .streammessages import (
    StreamAnswer,
    StreamQuery,
    StreamRecordsMessage,
)

__all__ = ["Membership"]

HEARTBEAT_INTERVAL_SECONDS = 0.5
"""Interval between heartbeats to the hosts of the region."""

ROSTER_INTERVAL_HEARTBEATS = 2
"""Heartbeat intervals between two rosters of the own region. A host that is
shutting down is announced at once, outside this interval."""

REMOTE_INTERVAL_HEARTBEATS = 4
"""Heartbeat intervals between two rosters of, or to, another region."""

SEND_BATCH_HOSTS = 6
SEND_BATCH_PAUSE_SECONDS = 0.02
"""Hosts that are sent a message in one batch, and the pause between batches. A
host that sends to its whole region in one burst saturates a 20 Mbit/s link,
which then always drops the datagrams sent last, those for other regions."""

REMOTE_REPLY_SECONDS = 6.5
"""Time within which a host of another region must answer a report. By then
three reports in a row have gone unanswered."""

MAX_CONTACTS = 3
"""Hosts of a region that a host reports to: the placing host and two
candidates to replace it. With only one candidate, the loss of a data centre
leaves the region without any of them in one case of two. Placing hosts report
to the same number of hosts in each other region."""

LOAD_REPORT_INTERVAL_SECONDS = 0.2
"""Interval between load reports to other regions. Loads change within the
duration of a few requests."""

PLACEMENT_REPORT_HOSTS = 2
"""Hosts of the region that receive the placements in progress: the placing
host and the first candidate to replace it."""

UNCONFIRMED_PLACEMENT_SECONDS = 0.7
"""Age from which a placement that its host no longer reports is treated as
ended."""

FORGET_HOST_SECONDS = 30.0
"""Time without any message about a host after which it is forgotten."""


class Membership:
    """Exchange control messages with the other hosts.

    Args:
        members: The `Members`.
        coordinator: The `PlacementCoordinator`.
        placer: The `Placer`.
        datagrams: The `DatagramEndpoint`.
        clock: The runtime's clock.
        timeline: The `Timeline`.
        on_peer_ahead: Called with a `Member` whose state is newer than that
            of this host.
        on_store_change: Called with a `StoreChange` of another host.
        sharing: The `CrashSharing`.
        notices: The `ServerNotices`.
        views: The `ViewVerifier`.
        stream_origins: The `StreamOrigins`.
    """

    def __init__(
        self,
        members,
        coordinator,
        placer,
        datagrams,
        clock,
        timeline,
        on_peer_ahead,
        on_store_change,
        sharing,
        notices,
        views,
        stream_origins,
    ):
        self.members = members
        self.coordinator = coordinator
        self.placer = placer
        self.datagrams = datagrams
        self.clock = clock
        self.timeline = timeline
        self.on_peer_ahead = on_peer_ahead
        self.sharing = sharing
        self.notices = notices
        self.speed_handover = SpeedHandover(placer.speeds, placer.registry)
        self.heartbeats_sent = 0
        self.remote_contacts = []
        self.relayed_regions = set()
        self.previously_live = set()
        self.heard = {}
        self.rosters = Rosters(members, datagrams, clock)
        self.handlers = {
            Heartbeat: self.handle_heartbeat,
            Roster: self.handle_roster,
            HostEntriesRequest: self.rosters.handle_records_request,
            HostEntriesMessage: self.rosters.handle_records,
            PlacementQueryMessage: self.handle_placement_query,
            PlacementGrantMessage: self.handle_placement_reply,
            PlacementRefusalMessage: self.handle_placement_reply,
            WorkspaceLimitMessage: self.handle_placement_reply,
            TokenTransferRequest: coordinator.limiter.handle_transfer_request,
            TokenTransfer: coordinator.limiter.handle_transfer,
            AttemptStartedMessage: self.handle_attempt_started,
            AttemptEndedMessage: self.handle_attempt_ended,
            RegionLoadMessage: self.handle_load_report,
            StoreChange: on_store_change,
            SuspectsMessage: sharing.merge,
            ServerNoticesMessage: notices.merge,
            ViewRequest: views.handle_request,
            ViewResponse: views.handle_response,
            StreamRecordsMessage: stream_origins.handle_records,
            StreamQuery: stream_origins.handle_query,
            StreamAnswer: stream_origins.handle_answer,
        }

    def receive(self, message, ip):
        """Dispatch one message from another host to its handler.

        Only a heartbeat is accepted from an unknown host, and only if it
        arrives from the address that it names.
        """
        if isinstance(message, Heartbeat):
            known = message.control.rpartition(":")[0] == ip
        else:
            known = self.members.is_known(ip)
        if not known:
            self.timeline.note(
                EventKind.PEER_REFUSED,
                why=f"unexpected sender {ip}",
                message=type(message).__name__,
                up_seconds=round(self.members.own.up_seconds, 1),
            )
            return
        self.handlers[type(message)](message)

    def send_heartbeats(self):
        """Report to the contacts, and answer the hosts that report here."""
        now = self.clock.seconds()
        region = self.members.own.region
        contacts = self.members.report_targets(now, region, MAX_CONTACTS)
        probed = self.members.probe_targets(now, region, self.heartbeats_sent)
        self.report_to_contacts(contacts)
        self.datagrams.send_all(
            self.heartbeat(Subscription.HEARTBEATS),
            [one for one in probed if one not in contacts],
        )
        self.heartbeats_sent += 1
        if self.is_placing(now):
            self.report_to_remote_regions(self.regions_to_report_to(now), now)
        else:
            self.remote_contacts = []
        self.relay_new_regions(now)
        reporting = self.members.reporting(now)
        self.send_in_batches(
            self.heartbeat(),
            [one for one in reporting if one not in contacts],
        )
        self.send_rosters(now)
        self.update_live_hosts(now)

    def report_to_contacts(self, contacts):
        """Send heartbeats to the hosts that this one reports to.

        The first of them sends rosters of all other hosts in return.
        """
        placements = self.coordinator.placement_rows()
        now = self.clock.seconds()
        speeds = []
        if contacts and self.is_placing(now):
            speeds = self.speed_handover.rows(contacts[0].id, now)
        reports = (
            (
                contacts[:1],
                self.heartbeat(Subscription.ROSTERS, placements, speeds),
            ),
            (
                contacts[1:PLACEMENT_REPORT_HOSTS],
                self.heartbeat(Subscription.HEARTBEATS, placements),
            ),
            (
                contacts[PLACEMENT_REPORT_HOSTS:],
                self.heartbeat(Subscription.HEARTBEATS),
            ),
        )
        for members, message in reports:
            if members:
                self.datagrams.send_all(message, members)

    def send_rosters(self, now):
        """Send rosters to the hosts that rely on this one for them."""
        recipients = self.roster_recipients(now)
        regions = []
        if self.heartbeats_sent % ROSTER_INTERVAL_HEARTBEATS == 0:
            regions.append(self.members.own.region)
        if self.heartbeats_sent % REMOTE_INTERVAL_HEARTBEATS == 1:
            regions += self.other_regions()
        for region in regions if recipients else ():
            self.send_in_batches(self.rosters.roster(region, now), recipients)

    def regions_to_report_to(self, now):
        """Return the other regions that get a report at this heartbeat.

        A host that begins to place reports at once. Right after its start it
        repeats this at each heartbeat for the regions that have not answered
        yet, as it cannot send requests there.
        """
        regions = self.other_regions()
        if self.heartbeats_sent % REMOTE_INTERVAL_HEARTBEATS == 0:
            return regions
        up_seconds = self.members.own.up_seconds
        if up_seconds < PLACER_WARMUP_SECONDS:
            return []
        if not self.remote_contacts:
            return regions
        if up_seconds < STARTUP_DISCOVERY_SECONDS:
            live = self.members.regions(now)
            return [region for region in regions if region not in live]
        return []

    def relay_new_regions(self, now):
        """Send the rosters of regions that were not up until now.

        The hosts that rely on this one for rosters would otherwise learn of
        such a region with the next periodic roster.
        """
        regions = self.members.regions(now) - {self.members.own.region}
        new = regions - self.relayed_regions
        self.relayed_regions = set(regions)
        if not new:
            return
        recipients = self.roster_recipients(now)
        for region in sorted(new):
            self.send_in_batches(self.rosters.roster(region, now), recipients)

    def send_remote_rosters(self, recipients, now):
        """Send the rosters of the other regions that are up."""
        for region in sorted(self.relayed_regions):
            self.send_in_batches(self.rosters.roster(region, now), recipients)

    def roster_recipients(self, now):
        """Return the hosts that rely on this one for rosters."""
        return [
            member
            for member in self.members.others.values()
            if member.receives_rosters(now)
        ]

    def other_regions(self):
        """Return the other regions of which at least one host is known."""
        known = {member.region for member in self.members.others.values()}
        return sorted(known - {self.members.own.region})

    def report_to_remote_regions(self, regions, now):
        """Send this region's roster to a few hosts of other regions.

        A roster is accepted only from a known host; the heartbeat that
        precedes it makes this host known.
        """
        if not regions:
            return
        contacts = self.choose_remote_contacts(regions, now)
        self.remote_contacts = contacts + [
            one for one in self.remote_contacts if one.region not in regions
        ]
        self.datagrams.send_all(self.heartbeat(), contacts)
        roster = self.rosters.roster(self.members.own.region, now)
        self.datagrams.send_all(roster, contacts)

    def send_in_batches(self, message, members):
        """Send a message to hosts of the region, a few at a time."""
        for first in range(0, len(members), SEND_BATCH_HOSTS):
            batch = members[first : first + SEND_BATCH_HOSTS]
            if not first:
                self.datagrams.send_all(message, batch)
                continue
            self.clock.callLater(
                SEND_BATCH_PAUSE_SECONDS * first / SEND_BATCH_HOSTS,
                self.datagrams.send_all,
                message,
                batch,
            )

    def choose_remote_contacts(self, regions, now):
        """Return the hosts of other regions to report to."""
        chosen = []
        for region in regions:
            chosen += self.members.report_targets(
                now, region, MAX_CONTACTS, REMOTE_REPLY_SECONDS
            )
            probed = self.members.probe_targets(
                now, region, self.heartbeats_sent // REMOTE_INTERVAL_HEARTBEATS
            )
            chosen += [one for one in probed if one not in chosen]
        return chosen

    def is_placing(self, now):
        """Return whether this host places requests for its region."""
        return self.members.placers(now)[0] is self.members.own

    def send_initial_state(self, member):
        """Send a host that has just started the state that it needs at once.

        Until it has received the state and load of other hosts, it rejects
        requests that its own region cannot serve.
        """
        if member is None:
            return
        self.datagrams.send(self.heartbeat(), member.control)
        is_remote = member.region != self.members.own.region
        if is_remote and self.is_placing(self.clock.seconds()):
            self.datagrams.send(self.load_report(), member.control)

    def heartbeat(self, report=Subscription.NONE, placements=None, speeds=()):
        """Return a heartbeat with the current state.

        Args:
            report: The `Subscription`.
            placements: `PlacementRow` of each request in progress, or None.
            speeds: Rows of `SpeedHandover`.
        """
        own = self.members.own
        return Heartbeat(
            own.name,
            own.incarnation,
            own.region,
            own.data_centre,
            own.front,
            own.control,
            own.relay,
            own.capacity,
            round(own.up_seconds, 1),
            own.leaving,
            round(min(own.contact_age, 1e6), 1),
            own.version,
            tuple(map(number_of, own.revisions)),
            report,
            placements,
            self.sharing.crashes.digest,
            self.notices.digest,
            list(speeds),
            list(map(era_of, own.revisions)),
            self.sharing.crashes.part_digest,
        )

    def update_live_hosts(self, now):
        """Log hosts that appear or time out; drop the work of the latter."""
        live = {member.name for member in self.members.live(now)}
        for name in self.previously_live - live:
            self.placer.forget_host(name, now)
            self.timeline.note(EventKind.PEER_GONE, peer=name)
        for name in live - self.previously_live:
            self.timeline.note(EventKind.PEER_SEEN, peer=name)
        self.previously_live = live
        for member in self.members.remove_silent(now, FORGET_HOST_SECONDS):
            self.heard.pop(member.name, None)

    def remote_hosts_to_notify(self):
        """Return the remote hosts to notify if this host places, else none."""
        if not self.is_placing(self.clock.seconds()):
            return []
        return self.remote_contacts

    def broadcast_in_region(self, message):
        """Send a message to all other hosts of the region."""
        region = self.members.own.region
        others = self.members.others.values()
        self.datagrams.send_all(
            message, [one for one in others if one.region == region]
        )

    def send_load_report(self):
        """Send this region's load to the other regions if this host places."""
        now = self.clock.seconds()
        self.placer.sweep(now)
        if self.remote_contacts and self.is_placing(now):
            self.datagrams.send_all(self.load_report(), self.remote_contacts)

    def load_report(self):
        """Return this region's load as recorded at this host."""
        loads = self.placer.summarize(self.clock.seconds())
        return RegionLoadMessage(
            self.members.own.region,
            {service: encode_load(load) for service, load in loads.items()},
        )

    def handle_heartbeat(self, message):
        """Record that a host is up, and the state that it reports."""
        now = self.clock.seconds()
        known = self.members.others.get(message.host)
        if known is None or message.incarnation != known.incarnation:
            self.members.add(member_from_entry(message), announced_at=now)
        member = self.members.others.get(message.host)
        if member is None or message.incarnation != member.incarnation:
            return
        if member is not known or self.has_restarted(member):
            self.placer.forget_host(message.host, now)
            self.send_initial_state(member)
        self.heard[member.name] = member.incarnation
        member.last_heartbeat_at = now
        self.members.note_seen(member)
        leaves = message.leaving and not member.leaving
        subscribes = (
            message.report is Subscription.ROSTERS
            and not member.receives_rosters(now)
        )
        member.subscription = message.report
        if message.report is not Subscription.NONE:
            member.reported_at = now
        member.leaving = message.leaving
        member.up_seconds = message.up_seconds
        member.contact_age = message.contact_age
        member.version = message.version
        member.revisions = revisions_from_heartbeat(message)
        member.knows_eras = bool(message.eras)
        if leaves:
            self.announce_leaving(member, now)
        own = self.members.own
        if member.is_ahead(own.version, own.revisions):
            self.on_peer_ahead(member)
        self.sharing.compare(member, message)
        self.notices.compare(member, message.notices)
        if member.region == own.region:
            self.speed_handover.merge(message.speeds, now)
        if message.placements is not None:
            self.handle_placements(message, now)
        if subscribes:
            self.send_remote_rosters([member], now)
        self.relay_new_regions(now)

    def has_restarted(self, member):
        """Return whether the last heartbeat was of another incarnation.

        The store or a roster may have named the new one before.
        """
        last = self.heard.get(member.name, member.incarnation)
        return last != member.incarnation

    def announce_leaving(self, member, now):
        """Announce at once that a host is shutting down.

        It keeps serving for only slightly longer than callers cache an answer
        of the directory, so the directory must stop naming it immediately.
        """
        self.send_in_batches(
            self.rosters.single_host_roster(member, now),
            self.roster_recipients(now),
        )

    def handle_roster(self, message):
        """Record which hosts are up, and answer a host of another region.

        Right after its start that host may know only a few hosts here, and not
        the placing one. The roster in the answer names the others.
        """
        self.rosters.handle_roster(message)
        sender = self.members.others.get(message.host)
        own = self.members.own.region
        now = self.clock.seconds()
        self.relay_new_regions(now)
        if sender is None or sender.region == own or message.is_answer:
            return
        self.datagrams.send(self.heartbeat(), sender.control)
        if not self.is_placing(now):
            roster = self.rosters.roster(own, now, is_answer=True)
            self.datagrams.send(roster, sender.control)

    def handle_placements(self, message, now):
        """Replace the recorded placements of a host by the reported ones."""
        numbers = {placement.number for placement in message.placements}
        self.placer.retain_placements(
            message.host,
            numbers,
            now,
            older_than=UNCONFIRMED_PLACEMENT_SECONDS,
        )
        for row in message.placements:
            self.placer.adopt(decode_placement(message.host, row, now), now)

    def handle_placement_query(self, message):
        """Place a request for another host."""
        member = self.members.others.get(message.host)
        if member is not None:
            self.coordinator.enqueue_query(message, member)

    def handle_placement_reply(self, message):
        """Pass on the decision of a placing host."""
        self.coordinator.handle_answer(message)

    def handle_attempt_started(self, message):
        """Record the first event of another host's request."""
        self.handle_reported_load(message)
        self.placer.record_response_start(
            message.host,
            message.number,
            message.seconds,
            self.clock.seconds(),
        )

    def handle_attempt_ended(self, message):
        """Record the end of another host's attempt."""
        self.handle_reported_load(message)
        self.coordinator.handle_end(
            message.host,
            message.number,
            message.server_id,
            AttemptResult(message.result),
            gaps_from_message(message),
        )

    def handle_reported_load(self, message):
        """Record the load of a server that a report of an attempt carries."""
        row = message.load
        if row is not None:
            self.placer.record_placement_load(
                message.host,
                message.number,
                load_from_row(row),
                row.head_ms / 1000,
                self.clock.seconds(),
            )

    def handle_load_report(self, message):
        """Record another region's load."""
        now = self.clock.seconds()
        self.placer.apply_load_report(
            message.region,
            {
                service: decode_load(load)
                for service, load in message.loads.items()
            },
            now,
        )


def revisions_from_heartbeat(message):
    """Return the newest revisions of a host, with their eras.

    A host of an earlier release counts as one that has seen era 0 only.
    """
    eras = message.eras
    if len(eras) != len(message.revisions):
        return message.revisions
    return tuple(map(join_revision, eras, message.revisions))


def encode_load(load):
    """Return a `RegionLoad` as a `ServiceLoad` message."""
    capacities = [
        ServerCapacityRow(
            [round(wait * 1000) for wait in capacity.waits],
            round(capacity.occupancy * 100),
            round(capacity.token_seconds * 1e6),
            -1 if capacity.spare is NOTHING else capacity.spare,
        )
        for capacity in load.capacities
    ]
    names = [capacity.version for capacity in load.capacities]
    versions = sorted(set(names)) if len(set(names)) > 1 else []
    return ServiceLoad(
        load.slots,
        capacities,
        list(load.prefilled_parts),
        versions,
        [versions.index(name) for name in names] if versions else [],
    )


def decode_load(load):
    """Return a `ServiceLoad` message as a `RegionLoad`."""
    capacities = [
        ServerCapacity(
            tuple(millis / 1000 for millis in row.waits),
            row.occupancy / 100,
            row.token_micros / 1e6,
            row.spare if row.spare >= 0 else NOTHING,
            version,
        )
        for row, version in zip(
            load.capacities, reported_versions(load), strict=True
        )
        if len(row.waits) == RANKS
    ]
    return RegionLoad(
        load.slots, tuple(capacities), tuple(load.prefilled_parts)
    )


def reported_versions(load):
    """Return the version of each server of a `ServiceLoad`.

    They are empty if the report names none: all servers then have the same
    version, or the sender is of an earlier release.
    """
    if len(load.version_of) != len(load.capacities):
        return [""] * len(load.capacities)
    return [
        load.versions[index] if index < len(load.versions) else ""
        for index in load.version_of
    ]


def decode_placement(host, row, now):
    """Return the `Placement` of a row in a heartbeat."""
    return Placement(
        host=host,
        number=row.number,
        server_id=row.server_id,
        placed_at=now,
        uncached_tokens=row.uncached_tokens,
        tokens=row.tokens,
        tokens_out=row.tokens_out,
        urgency=row.urgency,
        started=row.started,
        gap_objective=row.gap_objective,
    )


def gaps_from_message(message):
    """Return the `StreamGaps` of an end of an attempt, or `NOTHING`.

    A report that no stream can have is not learned from.
    """
    longest, seconds = message.longest_gap, message.stream_seconds
    if message.events < 2 or not 0.0 <= longest <= seconds < math.inf:
        return NOTHING
    return StreamGaps(message.events, longest, seconds)
