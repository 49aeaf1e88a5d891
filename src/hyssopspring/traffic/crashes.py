"""Requests under which servers end, and which of them are to blame.

A request may end each server that begins to run it. It is sent on to other
servers, its caller comes back with it to any host, and all that runs beside
it is cut each time. So hosts remember under which requests servers have
ended, tell each other, and send such a request to no server any more.

Everything that was about to begin on a server that ends is suspected. Three
things tell the cause from the rest: a request that was answered, or has run
for a while, is not the cause; ends that a blocked request explains speak
against no other; and a request under which two servers have ended so is
run alone, apart from others like it, so that the next end shows which one.
"""

import enum
from collections import Counter
from dataclasses import dataclass, field

from ..core.hashing import hash_text
from ..core.sentinels import NOTHING

__all__ = ["CrashTracker", "ServerCrash", "Suspect", "Verdict", "may_be_cause"]

CRASHES_TO_BLOCK = 3
"""Ends of servers after which a request is blocked. Servers end for other
reasons too, but seldom three just as the same request begins on them. Each
more would cost a server for seconds, and all that it runs."""

CRASHES_TO_ISOLATE = 2
"""Ends after which a request is run apart from others suspected."""

EXPLAINED_CRASH_WEIGHT = 1
"""What two ends or more that a blocked request explains count for, beside
ends that none explains. What was only near that one meets no more ends; of
two that end servers, the second would else cost three servers more."""

EARLY_RESPONSE_SECONDS = 0.5
"""Seconds after the beginning of an answer in which an end of the server
may still be due to the request. A request that ends servers does so as it
begins; what has run for longer ended with its server."""

MAX_EXTRA_WAIT_SECONDS = 1.0
"""Seconds besides the predicted time, for a request of which nothing had
come: the wait at a busy server is longer than predicted now and then. What
takes longer still speaks neither for nor against the request."""

REPORT_DELAY_SECONDS = 0.3
"""Seconds after an end in which others may still tell of what ended with
it: word from another region takes 0.1 s, and a lost one is repeated."""

RETENTION_SECONDS = 600.0
"""Seconds for which ends are remembered. A new version of the servers may
run the request well; and the store gives no longer lease."""

MAX_SUSPECTS = 2_000
"""Requests that are remembered, about 1 MB. Those with the fewest and the
oldest ends go first; they are the ones that were only near by."""


class Verdict(enum.Enum):
    """What may be done with a request."""

    ALLOWED = enum.auto()
    ISOLATED = enum.auto()
    DEFERRED = enum.auto()
    BLOCKED = enum.auto()


@dataclass(frozen=True, slots=True)
class ServerCrash:
    """A server that ended as a request began on it.

    Attributes:
        server: The start of a server.
        at: Time of its end.
        host: Host that saw it.
        caller: Address that the request came from.
    """

    server: str
    at: float
    host: str
    caller: str = ""


@dataclass(slots=True, eq=False)
class Suspect:
    """A request under which servers have ended.

    Attributes:
        fingerprint: What its repeats have in common.
        ends: `ServerCrash` by server.
        blocked: Whether it was found to be the cause.
        cleared_at: Time at which it was last known to run well, or
            `NOTHING`. Ends before do not count.
        for_all: Whether every host must know it, and not only those that
            sum up first ends. What was only near one server that ended is
            of no interest to the others, nor that it ran well since.
    """

    fingerprint: str
    crashes: dict = field(default_factory=dict)
    blocked: bool = False
    cleared_at: object = NOTHING
    shared_with_all: bool = False

    @property
    def last_event_at(self):
        """Time of the last that is known of it."""
        times = [crash.at for crash in self.crashes.values()]
        if self.cleared_at is not NOTHING:
            times.append(self.cleared_at)
        return max(times)

    @property
    def callers(self):
        """Addresses that it came from when servers ended under it."""
        return {crash.caller for crash in self.crashes.values()}

    def is_blocked_for(self, caller):
        """Whether it is refused to a caller.

        A caller comes from other addresses now and then. Whoever sends
        the same from another one may be another caller, for whom it may
        run well, and has one try; if a server ends under that as well, it
        is the request, whoever sends it.
        """
        return len(self.callers) > 1 or caller in self.callers


def may_be_cause(*, ran_for, predicted, head_received, response_age):
    """Whether a request may be why its server ended.

    A head without anything after it shows that the server had just begun,
    however long the request had waited there.

    Args:
        ran_for: Seconds since it was sent there.
        predicted: Seconds in which it was to begin.
        head_received: Whether the head of its answer had come.
        response_age: Seconds since the first of its answer came, or
            `NOTHING`.
    """
    if response_age is not NOTHING:
        return response_age <= EARLY_RESPONSE_SECONDS
    return head_received or ran_for <= predicted + MAX_EXTRA_WAIT_SECONDS


class CrashTracker:
    """All that this host knows of requests under which servers ended.

    What is known only grows, by union, until it is forgotten by its age.
    So word of it may be doubled, late or out of order.
    """

    def __init__(self):
        self.suspects = {}
        self.by_server = {}
        self.cached_digest = 0

    def record_crash(self, fingerprint, crash, now):
        """Add one end of a server; return whether it is new."""
        if now - crash.at > RETENTION_SECONDS:
            return False
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            suspect = self.add_suspect(Suspect(fingerprint))
        if crash.server in suspect.crashes or is_cleared(suspect, crash):
            return False
        suspect.crashes[crash.server] = crash
        if len(suspect.crashes) >= CRASHES_TO_ISOLATE:
            suspect.shared_with_all = True
        self.by_server.setdefault(crash.server, set()).add(fingerprint)
        self.cached_digest = NOTHING
        self.evict_excess()
        return True

    def add_suspect(self, suspect):
        """Remember one more request."""
        self.suspects[suspect.fingerprint] = suspect
        return suspect

    def record_success(self, fingerprint, caller, now):
        """Note that a request has run well; return whether it is news.

        Where it is blocked, another caller's says nothing of the first
        one's.
        """
        suspect = self.suspects.get(fingerprint)
        if suspect is None or not suspect.crashes:
            return False
        if suspect.blocked and caller not in suspect.callers:
            return False
        self.clear(suspect, now)
        return True

    def clear(self, suspect, at):
        """Forget the ends of a request up to the time *at*."""
        if suspect.cleared_at is NOTHING or at > suspect.cleared_at:
            suspect.cleared_at = at
        for crash in list(suspect.crashes.values()):
            if crash.at <= suspect.cleared_at:
                self.remove_crash(suspect, crash.server)
        suspect.blocked = suspect.blocked and bool(suspect.crashes)

    def remove_crash(self, suspect, server):
        """Take one end away from a request."""
        del suspect.crashes[server]
        others = self.by_server.get(server, set())
        others.discard(suspect.fingerprint)
        if not others:
            self.by_server.pop(server, None)
        self.cached_digest = NOTHING

    def merge(self, remote, now):
        """Take over what another host knows of a request.

        Args:
            remote: The `Suspect`, in times of this host.
            now: The time.

        Returns:
            Whether anything of it is news.
        """
        news = False
        if (
            remote.cleared_at is not NOTHING
            and now - remote.cleared_at <= RETENTION_SECONDS
        ):
            news = self.merge_success(remote)
        for crash in remote.crashes.values():
            news = self.record_crash(remote.fingerprint, crash, now) or news
        suspect = self.suspects.get(remote.fingerprint)
        if (
            remote.blocked
            and suspect
            and suspect.crashes
            and not suspect.blocked
        ):
            self.block(suspect)
            news = True
        return news

    def merge_success(self, remote):
        """Take over that a request ran well; return whether it is news."""
        suspect = self.suspects.get(remote.fingerprint)
        if suspect is None:
            return False
        known = suspect.cleared_at
        if (
            known is not NOTHING
            and remote.cleared_at <= known + REPORT_DELAY_SECONDS
        ):
            return False
        self.clear(suspect, remote.cleared_at)
        return True

    def block(self, suspect):
        """Hold a request to be the cause of the ends under it."""
        suspect.blocked = True
        suspect.shared_with_all = True
        self.cached_digest = NOTHING

    def verdict(self, fingerprint, caller, now):
        """Return the `Verdict` on a request of a caller."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return Verdict.ALLOWED
        found = Verdict.BLOCKED
        if not suspect.blocked:
            found = self.assess_unblocked(suspect, now)
        if found is Verdict.BLOCKED and not suspect.is_blocked_for(caller):
            return Verdict.ISOLATED
        return found

    def assess_unblocked(self, suspect, now):
        """Return the `Verdict` on one that is not held to be the cause."""
        own = self.unexplained(suspect)
        weight = len(own)
        if own and len(suspect.crashes) - len(own) >= CRASHES_TO_ISOLATE:
            weight += EXPLAINED_CRASH_WEIGHT
        if weight < CRASHES_TO_ISOLATE:
            return Verdict.ALLOWED
        if weight < CRASHES_TO_BLOCK:
            return Verdict.ISOLATED
        if now - suspect.last_event_at < REPORT_DELAY_SECONDS:
            return Verdict.DEFERRED
        return (
            Verdict.ISOLATED
            if self.equally_suspect(suspect, own)
            else Verdict.BLOCKED
        )

    def unexplained(self, suspect):
        """Return the ends of a request that no blocked one explains."""
        return {
            server
            for server in suspect.crashes
            if not self.has_blocked_request(server)
        }

    def has_blocked_request(self, server):
        """Whether a blocked request was at a server that ended."""
        return any(
            self.suspects[one].blocked
            for one in self.by_server.get(server, ())
        )

    def equally_suspect(self, suspect, servers):
        """Return the other requests that may as well be the cause.

        These met as many ends, two of these among them. One that was only
        near the cause falls behind at the next end, as both run apart.

        Args:
            suspect: The `Suspect`.
            servers: The servers that ended under it and no blocked one.
        """
        shared = Counter(
            one
            for server in servers
            for one in self.by_server[server]
            if one != suspect.fingerprint
        )
        return [
            one
            for one, count in shared.items()
            if count >= CRASHES_TO_ISOLATE
            and len(self.unexplained(self.suspects[one])) >= len(servers)
        ]

    def block_causes(self, now):
        """Block the requests that are now found to be the cause.

        Returns:
            Each `Suspect` that is newly blocked.
        """
        most_first = sorted(
            (
                suspect
                for suspect in self.suspects.values()
                if len(suspect.crashes) >= CRASHES_TO_BLOCK
                and not suspect.blocked
            ),
            key=lambda one: (-len(one.crashes), one.fingerprint),
        )
        found = []
        for suspect in most_first:
            # A request blocked just before may explain the ends of the next.
            if self.assess_unblocked(suspect, now) is Verdict.BLOCKED:
                self.block(suspect)
                found.append(suspect)
        return found

    def expire(self, now):
        """Forget what is too old."""
        for suspect in list(self.suspects.values()):
            if now - suspect.last_event_at > RETENTION_SECONDS:
                self.forget(suspect)

    def forget(self, suspect):
        """Forget one request."""
        for server in list(suspect.crashes):
            self.remove_crash(suspect, server)
        self.suspects.pop(suspect.fingerprint, None)

    def evict_excess(self):
        """Forget a tenth, the least suspect ones, if there are too many."""
        if len(self.suspects) <= MAX_SUSPECTS:
            return
        least_first = sorted(
            self.suspects.values(),
            key=lambda one: (one.blocked, len(one.crashes), one.last_event_at),
        )
        for suspect in least_first[: MAX_SUSPECTS // 10]:
            self.forget(suspect)

    def suspects_for_all(self):
        """Return each `Suspect` that every host must know, newest first."""
        found = [one for one in self.suspects.values() if one.shared_with_all]
        return sorted(found, key=lambda one: -one.last_event_at)

    @property
    def digest(self):
        """A number that is the same where the same is known.

        Only what every host must know counts; 0 stands for nothing.
        """
        if self.cached_digest is NOTHING:
            rows = sorted(
                (one.fingerprint, sorted(one.crashes), one.blocked)
                for one in self.suspects_for_all()
                if one.crashes
            )
            self.cached_digest = hash_text(repr(rows)) if rows else 0
        return self.cached_digest


def is_cleared(suspect, crash):
    """Whether a request ran well after an end."""
    if suspect.cleared_at is NOTHING:
        return False
    return crash.at <= suspect.cleared_at
