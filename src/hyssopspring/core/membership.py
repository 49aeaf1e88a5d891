"""Liveness of the hosts of a data centre and assignment of their work."""

from dataclasses import field

from .hashing import hash_text
from .records import dataclass

HEARTBEAT_INTERVAL_SECONDS = 1.0
"""Interval between two heartbeats of a host."""

HEARTBEAT_TIMEOUT_SECONDS = 3.0
"""Time without a heartbeat after which a host counts as failed."""

NEIGHBOUR_TIMEOUT_SECONDS = 1.5
"""Maximum age of the last message of a neighbour for it to count as
up-to-date evidence on the configuration."""

WATCHER_COUNT = 2
"""Hosts of each data centre that watch the platform."""

MAX_REMOTE_SOURCES = 8
"""Hosts of other data centres that are queried to verify the
configuration."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerEntry:
    """Another host of the system.

    Attributes:
        host: Name of the host.
        region: Its region.
        data_centre: Its data centre.
        address: Its address for callers.
        forward: Its address for forwarded requests.
        control: Its address for control messages.
        leaving: Whether the host list marks it as shutting down.
    """

    host: str
    region: str
    data_centre: str
    address: str
    forward: str
    control: str
    leaving: bool = False


@dataclass(slots=True)
class PeerState:
    """State of another host according to its own messages.

    Attributes:
        incarnation: Incarnation of the sender of the newest message.
        sequence: Sequence number of the newest message.
        last_message_at: Time of its arrival on this host's clock, in
            seconds.
        generation: Generation of the configuration in force there.
        leaving: Whether the host announced that it is shutting down.
    """

    incarnation: str = ""
    sequence: int = -1
    last_message_at: float = float("-inf")
    generation: int = 0
    leaving: bool = False


@dataclass(slots=True)
class PeerTable:
    """All other hosts, and the assignment of work that hosts share.

    Attributes:
        host: Name of this host.
        data_centre: Its data centre.
        entries: `PeerEntry` by host, from host list and settings.
        states: `PeerState` by host, from messages.
    """

    host: str
    data_centre: str
    entries: dict[str, PeerEntry] = field(default_factory=dict)
    states: dict[str, PeerState] = field(default_factory=dict)

    def replace(self, entries):
        """Replace the entries by those of the host list."""
        self.entries = {
            entry.host: entry for entry in entries if entry.host != self.host
        }
        for host in set(self.states) - set(self.entries):
            del self.states[host]

    def apply_message(self, message, now):
        """Apply a message; return whether it is newer than the last one.

        Messages may arrive out of order or twice. An older message of
        the same incarnation would mark a host as ready that has
        announced its shutdown since.
        """
        if message.host == self.host:
            return False
        state = self.states.setdefault(message.host, PeerState())
        same_incarnation = state.incarnation == message.incarnation
        if same_incarnation and message.sequence <= state.sequence:
            return False
        state.incarnation = message.incarnation
        state.sequence = message.sequence
        state.last_message_at = now
        state.generation = message.generation
        state.leaving = getattr(message, "leaving", False)
        return True

    def live_hosts(self, now):
        """Return the names of the live hosts of this data centre.

        A host is live as long as its heartbeats arrive. A host that was
        merely slow resumes its work with its next heartbeat. Until then
        the work is done twice, which is harmless.
        """
        names = [
            host
            for host, state in self.states.items()
            if now - state.last_message_at <= HEARTBEAT_TIMEOUT_SECONDS
            and self.is_local(host)
        ]
        return [*names, self.host]

    def is_local(self, host):
        """Return whether *host* is in this data centre."""
        entry = self.entries.get(host)
        return entry is not None and entry.data_centre == self.data_centre

    def rank(self, now):
        """Return the rank of this host among the live hosts, from 0."""
        ordered = rank_hosts(self.data_centre, self.live_hosts(now))
        return ordered.index(self.host)

    def is_watcher(self, now):
        """Return whether this host watches the platform."""
        return self.rank(now) < WATCHER_COUNT

    def is_reporter(self, now):
        """Return whether this host reports for its data centre."""
        return self.rank(now) == 0

    def owns(self, name, now):
        """Return whether this host does the shared work called *name*."""
        return rank_hosts(name, self.live_hosts(now))[0] == self.host

    def is_usable(self, host, now):
        """Return whether callers should be directed to *host*."""
        entry = self.entries[host]
        state = self.states.get(host)
        if entry.leaving:
            return False
        if state is None:
            return True
        if (
            self.is_local(host)
            and now - state.last_message_at > HEARTBEAT_TIMEOUT_SECONDS
        ):
            return False
        return not state.leaving

    def verification_sources(self):
        """Return the hosts to query to verify this host's configuration.

        These are all neighbours and a few hosts of other data centres,
        the same ones each time. If each host queried all others after an
        outage, the load would grow with the square of the fleet size.
        """
        local = [host for host in self.entries if self.is_local(host)]
        others = [host for host in self.entries if not self.is_local(host)]
        return local + rank_hosts(self.host, others)[:MAX_REMOTE_SOURCES]

    def neighbours_up_to_date(self, now, generation):
        """Return whether all neighbours are recent and none is ahead.

        Each neighbour must have sent a message recently, and none may
        have a newer generation.

        Args:
            now: Time on the host's clock, in seconds.
            generation: Generation of the configuration in force on this host.
        """
        for host in self.entries:
            if not self.is_local(host):
                continue
            state = self.states.get(host)
            if (
                state is None
                or now - state.last_message_at > NEIGHBOUR_TIMEOUT_SECONDS
            ):
                return False
            if state.generation > generation:
                return False
        return True

    def control_addresses(self):
        """Return the addresses to connect to for control messages.

        These are all hosts of this data centre, and the two reporting
        hosts of each other data centre. Further connections would cost
        resources without adding information.
        """
        by_centre = {}
        for entry in self.entries.values():
            by_centre.setdefault(entry.data_centre, []).append(entry.host)
        addresses = set()
        for data_centre, hosts in by_centre.items():
            chosen = hosts
            if data_centre != self.data_centre:
                chosen = rank_hosts(data_centre, hosts)[:WATCHER_COUNT]
            for host in chosen:
                addresses.add(self.entries[host].control)
        return addresses - {""}


def rank_hosts(name, hosts):
    """Rank *hosts* by rendezvous hashing for the work *name*.

    All hosts compute the same order without communication, and the loss
    of a host moves only the work of that host.
    """
    seed = hash_text(name)
    return sorted(
        hosts,
        key=lambda host: (hash_text(host, seed), host),
    )
