"""Which hosts of a data centre live, and who of them does what."""

from dataclasses import dataclass, field

from .hashing import hash_text

HEARTBEAT_INTERVAL_SECONDS = 1.0
HEARTBEAT_TIMEOUT_SECONDS = 3.0
NEIGHBOUR_TIMEOUT_SECONDS = 1.5
WATCHER_COUNT = 2
MAX_REMOTE_SOURCES = 8


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerEntry:
    """Another host of the system.

    Attributes:
        host: Its name.
        region: Its region.
        data_centre: Its data centre.
        address: Its address for callers.
        forward: Its address for forwarded requests.
        control: Its address for control messages.
        leaving: Whether the host list says that it is about to go.
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
    """What a host's own messages say.

    Attributes:
        incarnation: Incarnation of the newest message.
        sequence: Number of the newest message.
        heard_at: When it came, on the host's clock, in seconds.
        generation: Configuration in force there.
        leaving: Whether it said that it leaves.
    """

    incarnation: str = ""
    sequence: int = -1
    last_message_at: float = float("-inf")
    generation: int = 0
    leaving: bool = False


@dataclass(slots=True)
class PeerTable:
    """All other hosts, and the work that is shared among hosts.

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
        """Take over the rows of the host list."""
        self.entries = {
            entry.host: entry for entry in entries if entry.host != self.host
        }
        for host in set(self.states) - set(self.entries):
            del self.states[host]

    def apply_message(self, message, now):
        """Note a message; return whether it is news.

        Messages come late and twice. An older one of the same
        incarnation would make a host look ready that has said since that
        it leaves.
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
        """Return the names of the live hosts of the own data centre.

        A host is live as long as its heartbeats come. One that was only
        slow takes its work up again with its next heartbeat; meanwhile
        work is done twice, which is harmless.
        """
        names = [
            host
            for host, state in self.states.items()
            if now - state.last_message_at <= HEARTBEAT_TIMEOUT_SECONDS
            and self.is_local(host)
        ]
        return [*names, self.host]

    def is_local(self, host):
        """Whether *host* stands in the own data centre."""
        entry = self.entries.get(host)
        return entry is not None and entry.data_centre == self.data_centre

    def rank(self, now):
        """Return this host's place among the live hosts, from 0."""
        ordered = rank_hosts(self.data_centre, self.live_hosts(now))
        return ordered.index(self.host)

    def is_watcher(self, now):
        """Whether this host watches the platform for its data centre."""
        return self.rank(now) < WATCHER_COUNT

    def is_reporter(self, now):
        """Whether this host speaks for its data centre."""
        return self.rank(now) == 0

    def owns(self, name, now):
        """Whether this host does the shared work called *name*."""
        return rank_hosts(name, self.live_hosts(now))[0] == self.host

    def is_usable(self, host, now):
        """Whether callers should be sent to *host*."""
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
        """Return the hosts to ask when the own configuration is in doubt.

        All neighbours, and a few hosts elsewhere, the same ones each
        time; to ask all would multiply with the fleet after an outage.
        """
        local = [host for host in self.entries if self.is_local(host)]
        others = [host for host in self.entries if not self.is_local(host)]
        return local + rank_hosts(self.host, others)[:MAX_REMOTE_SOURCES]

    def neighbours_up_to_date(self, now, generation):
        """Whether each neighbour was just heard, and none is ahead.

        Args:
            now: Time on the host's clock, in seconds.
            generation: Generation in force on this host.
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

        All hosts of the own data centre, and of each other one the two
        that speak for it; more would cost connections and no news.
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
    """Order *hosts* by rendezvous hashing for the work *name*.

    All hosts come to the same order without a message, and a host that
    goes moves only its own work.
    """
    seed = hash_text(name)
    return sorted(
        hosts,
        key=lambda host: (hash_text(host, seed), host),
    )
