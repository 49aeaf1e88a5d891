"""What a host knows of the backend servers of its own data centre."""

from dataclasses import dataclass, field

from .hashing import short_id
from .sentinels import NOTHING

REPORT_HALF_LIFE_SECONDS = 2.0
FAILURE_PAUSE_SECONDS = 1.0
MAX_FAILURE_PAUSE_SECONDS = 30.0
DEFAULT_SLOTS = 8
FALLING_WEIGHT = 0.3
RISING_WEIGHT = 0.03
TRANSFER_WEIGHT = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerEntry:
    """A backend server as the platform's host list names it.

    Attributes:
        name: Name, unique over all data centres.
        address: IP address and port, as ``ip:port``.
        region: Region that it stands in.
        data_centre: Data centre that it stands in.
        targets: Models or services that it serves, as `Target`.
        leaving: Whether the list says that it is about to go.
    """

    name: str
    address: str
    region: str
    data_centre: str
    targets: frozenset
    leaving: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """Load that a backend server reported of itself.

    Attributes:
        incarnation: Changes each time that the server starts; the
            `short_id` of what it calls itself.
        sequence: Grows with each report of one incarnation.
        running: Requests that it is working on.
        waiting: Requests that it has queued.
        slots: Requests that it can work on at once.
        leaving: Whether it said that it takes no new work.
        at: Time of arrival on the host's clock, in seconds.
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
    """A backend server with all evidence about it.

    Attributes:
        entry: What the host list says.
        report: Newest load report, or `NOTHING`.
        in_flight: Requests that this host has there now.
        sent_since_report: Requests sent after the newest report.
        left_incarnation: Incarnation that said it leaves, or `NOTHING`.
        failures: Failed attempts in a row.
        paused_until: Time until which it is tried last.
        first_token: Seconds to the first byte when nothing is queued;
            a moving average that falls fast and rises slowly, so that
            times in the queue, which are estimated apart, hardly count.
        making: Moving average of seconds from first to last byte.
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
        """Whether any evidence says that the server is leaving.

        The host list lags, so a server may still stand there as live
        after it said itself that it leaves. The server's own word holds
        until it has started anew, which its incarnation shows; else a
        late list entry would send new work to it again.
        """
        if self.entry.leaving:
            return True
        return self.leaving_incarnation is not NOTHING

    @property
    def slots(self):
        """Requests that the server can work on at once."""
        if self.report is NOTHING:
            return DEFAULT_SLOTS
        return max(1, self.report.slots)

    def record_times(self, first_token, transfer_seconds):
        """Take over the times of one answer."""
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
        """Estimate the requests that the server has at *now*.

        An old report says little of what other hosts have sent since, so
        it fades with its age; what this host itself sent always counts.
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
        """Estimate the seconds to the first token for one more request."""
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
        names: Name by `short_id`, for small messages.
    """

    data_centre: str
    servers: dict[str, Server] = field(default_factory=dict)
    names: dict[int, str] = field(default_factory=dict)

    def replace(self, entries):
        """Take over the host list; keep the evidence on known servers.

        Args:
            entries: Each `ServerEntry` of the list, of any data centre.

        Returns:
            Names that are new and names that are gone, as two sets.
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
        """Note a load report unless a newer one is known.

        Reports cross the network by several ways and arrive late or
        twice. One of the same incarnation with no greater sequence is
        older news, which would bring back a load, or a readiness, that
        has passed.

        Returns:
            Whether the report was news.
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
        """Note that the server itself refused new work since it leaves."""
        server = self.servers.get(name)
        if server is None:
            return
        incarnation = 0
        if server.report is not NOTHING:
            incarnation = server.report.incarnation
        server.leaving_incarnation = incarnation

    def record_attempt(self, name):
        """Count an attempt that is about to be sent."""
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
        """Count an attempt that has ended.

        Args:
            name: The server; it may have left the list meanwhile.
            now: Time on the host's clock, in seconds.
            failed: Whether the server is to blame for a failure.
            first_token: Seconds to the first byte, if it came.
            transfer_seconds: Seconds from first to last byte, if it came.

        Returns:
            Whether the server is now tried last, and was not before.
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
        """Return the servers that may get new work for *target*.

        Servers that failed lately are left out while others remain.
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
        """Return slots, load and wait of each target in the centre.

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
