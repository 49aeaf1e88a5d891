"""State of the backend servers of a data centre, as seen by one host."""

from dataclasses import field

from .hashing import short_id
from .records import dataclass
from .sentinels import NOTHING

REPORT_HALF_LIFE_SECONDS = 2.0
"""Age at which the load in a report counts half."""

FAILURE_PAUSE_SECONDS = 1.0
"""Pause of a server after its first failure; it doubles with each further
failure in a row."""

MAX_FAILURE_PAUSE_SECONDS = 30.0
"""Upper bound of the pause of a failing server."""

DEFAULT_SLOTS = 8
"""Assumed slots of a server that has not sent a load report."""

FALLING_WEIGHT = 0.3
"""Weight of a sample below the average time to the first token."""

RISING_WEIGHT = 0.03
"""Weight of a sample above the average time to the first token."""

TRANSFER_WEIGHT = 0.1
"""Weight of a sample in the average time from first to last byte."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerEntry:
    """Entry of a backend server in the host list of the platform.

    Attributes:
        name: Name, unique over all data centres.
        address: IP address and port, as ``ip:port``.
        region: Region of the server.
        data_centre: Data centre of the server.
        targets: Models or services that it serves, as `Target`.
        leaving: Whether the list marks it as draining.
    """

    name: str
    address: str
    region: str
    data_centre: str
    targets: frozenset
    leaving: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """Load report of a backend server.

    Attributes:
        incarnation: `short_id` of the server's identifier of its process,
            which changes with each start.
        sequence: Sequence number within one incarnation.
        running: Number of running requests.
        waiting: Number of queued requests.
        slots: Number of requests that it can run concurrently.
        leaving: Whether it announced that it accepts no new requests.
        at: Time of arrival on this host's clock, in seconds.
    """

    incarnation: int
    sequence: int
    running: int
    waiting: int
    slots: int
    leaving: bool
    at: float


@dataclass(slots=True)
class Server:
    """A backend server with all state that is recorded for it.

    Attributes:
        entry: Its entry in the host list.
        report: Newest load report, or `NOTHING`.
        in_flight: Number of requests that this host has in flight there.
        sent_since_report: Number of requests sent since the newest
            report.
        leaving_incarnation: Incarnation that announced that it drains, or
            `NOTHING`.
        failures: Number of consecutive failed attempts.
        paused_until: Time until which it is tried last.
        first_token: Seconds to the first byte with an empty queue. This
            moving average falls fast and rises slowly, so that queueing
            times, which are estimated separately, have little influence.
        transfer_seconds: Moving average of the seconds from the first to
            the last byte.
    """

    entry: ServerEntry
    report: LoadReport = NOTHING
    in_flight: int = 0
    sent_since_report: int = 0
    leaving_incarnation: int = NOTHING
    failures: int = 0
    paused_until: float = 0.0
    first_token: float = 0.0
    transfer_seconds: float = 0.0

    @property
    def leaving(self):
        """Whether the server is draining, by the host list or its reports.

        The host list lags, so it may still list a server as live that
        has announced that it drains. The announcement applies until the
        server restarts, which a new incarnation shows. Otherwise an
        outdated list entry would direct new requests to it.
        """
        if self.entry.leaving:
            return True
        return self.leaving_incarnation is not NOTHING

    @property
    def slots(self):
        """Number of requests that the server can run concurrently."""
        if self.report is NOTHING:
            return DEFAULT_SLOTS
        return max(1, self.report.slots)

    def record_times(self, first_token, transfer_seconds):
        """Update the moving averages with the times of one response."""
        gap = first_token - self.first_token
        if self.first_token:
            self.first_token += gap * (
                FALLING_WEIGHT if gap < 0 else RISING_WEIGHT
            )
        else:
            self.first_token = first_token
        if transfer_seconds is not NOTHING:
            self.transfer_seconds += TRANSFER_WEIGHT * (
                transfer_seconds - self.transfer_seconds
            )

    def load(self, now):
        """Estimate the number of requests on the server at *now*.

        An old report says little about requests that other hosts have
        sent since, so its weight decays with its age. The requests of
        this host always count in full.
        """
        if self.report is NOTHING:
            return float(self.in_flight)
        age = max(0.0, now - self.report.at)
        report_weight = 0.5 ** (age / REPORT_HALF_LIFE_SECONDS)
        reported = self.report.running + self.report.waiting
        return max(
            float(self.in_flight),
            reported * report_weight + self.sent_since_report,
        )

    def wait(self, now):
        """Estimate the seconds to the first token of one more request."""
        return self.first_token + self.queue_wait(now)

    def queue_wait(self, now):
        """Estimate the seconds that one more request would be queued."""
        ahead = self.load(now) - self.slots + 1
        service_seconds = self.first_token + self.transfer_seconds
        return service_seconds * max(0.0, ahead) / self.slots


@dataclass(slots=True)
class ServerTable:
    """All backend servers of one data centre.

    Attributes:
        data_centre: The data centre.
        servers: `Server` by name.
        names: Server name by `short_id`, which messages contain.
    """

    data_centre: str
    servers: dict[str, Server] = field(default_factory=dict)
    names: dict[int, str] = field(default_factory=dict)

    def replace(self, entries):
        """Apply the host list; keep the recorded state of known servers.

        Args:
            entries: Each `ServerEntry` of the list, of any data centre.

        Returns:
            Set of the names added and set of the names removed.
        """
        local_entries = {
            entry.name: entry
            for entry in entries
            if entry.data_centre == self.data_centre
        }
        before = set(self.servers)
        for name, entry in local_entries.items():
            known = self.servers.get(name)
            if known is None or known.entry.address != entry.address:
                self.servers[name] = Server(entry)
            else:
                known.entry = entry
        for name in before - set(local_entries):
            del self.servers[name]
        self.names = {short_id(name): name for name in self.servers}
        return set(local_entries) - before, before - set(local_entries)

    def apply_report(self, name, report):
        """Apply a load report unless a newer one is stored.

        Reports arrive over several paths and may be late or duplicated.
        A report of the same incarnation whose sequence number is not
        greater is outdated and would restore a former load or readiness.

        Returns:
            Whether the report was newer.
        """
        server = self.servers.get(name)
        if server is None:
            return False
        known = server.report
        if known is not NOTHING:
            same_incarnation = known.incarnation == report.incarnation
            if same_incarnation and report.sequence <= known.sequence:
                return False
        server.report = report
        server.sent_since_report = 0
        if report.leaving:
            server.leaving_incarnation = report.incarnation
        elif server.leaving_incarnation != report.incarnation:
            server.leaving_incarnation = NOTHING
        return True

    def mark_leaving(self, name):
        """Record that the server refused a request because it drains."""
        server = self.servers.get(name)
        if server is None:
            return
        incarnation = 0
        if server.report is not NOTHING:
            incarnation = server.report.incarnation
        server.leaving_incarnation = incarnation

    def record_attempt(self, name):
        """Record an attempt that is about to be sent."""
        server = self.servers[name]
        server.in_flight += 1
        server.sent_since_report += 1

    def record_attempt_end(
        self,
        name,
        now,
        *,
        failed,
        first_token=NOTHING,
        transfer_seconds=NOTHING,
    ):
        """Record the end of an attempt.

        Args:
            name: Name of the server, which may have left the list meanwhile.
            now: Time on the host's clock, in seconds.
            failed: Whether the attempt failed due to the server.
            first_token: Seconds to the first byte, if it arrived.
            transfer_seconds: Seconds from the first to the last byte, if it
                arrived.

        Returns:
            Whether the server has become paused, and is now tried last.
        """
        server = self.servers.get(name)
        if server is None:
            return False
        server.in_flight = max(0, server.in_flight - 1)
        if first_token is not NOTHING:
            server.record_times(first_token, transfer_seconds)
        if not failed:
            server.failures = 0
            return False
        changed = server.paused_until <= now
        server.failures += 1
        pause = FAILURE_PAUSE_SECONDS * 2 ** (server.failures - 1)
        server.paused_until = now + min(pause, MAX_FAILURE_PAUSE_SECONDS)
        return changed

    def available_servers(self, target, now):
        """Return the servers that may get new requests for *target*.

        Paused servers are excluded unless all servers are paused.
        """
        eligible = [
            server
            for server in self.servers.values()
            if target in server.entry.targets and not server.leaving
        ]
        unpaused = [
            server for server in eligible if server.paused_until <= now
        ]
        return unpaused or eligible

    def summarize(self, now):
        """Return slots, load and wait of each target in the data centre.

        Returns:
            Mapping from `Target` to a tuple of slots, load and the
            shortest wait in seconds.
        """
        totals = {}
        for server in self.servers.values():
            if server.leaving or server.paused_until > now:
                continue
            for target in server.entry.targets:
                slots, load, wait = totals.get(target, (0, 0.0, 3600.0))
                totals[target] = (
                    slots + server.slots,
                    load + server.load(now),
                    min(wait, server.wait(now)),
                )
        return totals
