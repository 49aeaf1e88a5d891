"""Requests and parts of prompts that were at servers as they crashed."""

from dataclasses import dataclass, field

from ..core.sentinels import NOTHING
from .crashverdicts import CRASHES_TO_ISOLATE, EXTRA_CRASHES_AFTER_RUN

__all__ = [
    "ServerCrash",
    "Suspect",
    "is_part_key",
    "part_id_of",
    "part_key",
]

PART_PREFIX = "part:"
"""Start of the key of a part, which no fingerprint of a request has."""


@dataclass(frozen=True, slots=True)
class ServerCrash:
    """The crash of a server as a request started on it.

    Attributes:
        server: Identifier of the server instance.
        at: Time of the crash.
        host: Host that detected it.
        caller: Caller that the request came from.
        release: Service and version of the server, separated by a slash, or
            an empty string if they are not known.
        isolated: Whether the request ran isolated from other suspects.
    """

    server: str
    at: float
    host: str
    caller: str = ""
    release: str = ""
    isolated: bool = False


@dataclass(slots=True, eq=False)
class Suspect:
    """A request, or a part of prompts, that was starting as servers crashed.

    Attributes:
        key: Digest that all repeats of the request share, or the `part_key`
            of the part.
        crashes: `ServerCrash` by server instance.
        blocked: Whether it was found to be the cause.
        cleared_at: Time at which it was last known to run without a crash, or
            `NOTHING`. Crashes up to that time do not count.
        parts: Keys of the parts of the request's prompt; empty for a part.
        shared_with_all: Whether every host needs the record, and not only the
            hosts that collect first crashes. For a request that was affected
            by a single crash, neither the crash nor a later success matters to
            the other hosts.
    """

    key: str
    crashes: dict = field(default_factory=dict)
    blocked: bool = False
    cleared_at: object = NOTHING
    parts: frozenset = frozenset()
    shared_with_all: bool = False

    @property
    def is_part(self):
        """Whether it is a part of prompts and not a request."""
        return is_part_key(self.key)

    @property
    def part_id(self):
        """Identifier of the part, or an empty string for a request."""
        return part_id_of(self.key) if self.is_part else ""

    @property
    def digest_row(self):
        """What hosts with the same record of it have in common.

        The row of a request is that of earlier releases.
        """
        servers = sorted(self.crashes)
        if self.is_part:
            servers = [(one, self.crashes[one].isolated) for one in servers]
        return self.key, servers, self.blocked

    @property
    def is_confirmed(self):
        """Whether a server crashed while it ran isolated."""
        return any(crash.isolated for crash in self.crashes.values())

    @property
    def concerns_all(self):
        """Whether its crashes matter to every host.

        Crashes of a part that has run well matter only if they are many.
        """
        least = CRASHES_TO_ISOLATE
        if self.is_part and self.cleared_at is not NOTHING:
            least += EXTRA_CRASHES_AFTER_RUN
        return self.blocked or len(self.crashes) >= least

    @property
    def last_event_at(self):
        """Time of the latest crash or success."""
        times = [crash.at for crash in self.crashes.values()]
        if self.cleared_at is not NOTHING:
            times.append(self.cleared_at)
        return max(times)

    @property
    def callers(self):
        """Callers whose requests were at the servers that crashed."""
        return {crash.caller for crash in self.crashes.values()}

    def is_blocked_for(self, caller):
        """Whether requests with it, once blocked, are refused for a caller.

        A caller's address changes now and then. The same request from another
        address may come from another caller, for whom it may run without a
        crash, so that caller gets one attempt. If a server crashes then as
        well, the suspect itself is the cause and blocked for every caller.
        """
        return len(self.callers) > 1 or caller in self.callers


def part_key(part_id):
    """Return the key of a part of prompts."""
    return PART_PREFIX + part_id


def is_part_key(key):
    """Whether a key is that of a part, and not of a request."""
    return key.startswith(PART_PREFIX)


def part_id_of(key):
    """Return the identifier of a part, given its key."""
    return key[len(PART_PREFIX) :]
