"""Requests that crash servers, and how the responsible request is found.

A request may crash every server that starts to run it. It is retried at other
servers, its caller repeats it at any host, and everything else that runs on
the server is cut off each time. Hosts therefore record which requests were
starting when servers crashed, share these records, and stop sending such a
request to any server.

Every request that was about to start on a server that crashes is a suspect.
Three rules tell the cause from the others: a request that was answered, or has
run for a while, is not the cause; a crash that a blocked request explains does
not count against other requests; and a request with two unexplained crashes is
run isolated from other suspects, so that the next crash shows which one is
responsible.
"""

import enum
from collections import Counter
from dataclasses import field

from ..core.hashing import hash_text
from ..core.records import dataclass
from ..core.sentinels import NOTHING

__all__ = ["CrashTracker", "ServerCrash", "Suspect", "Verdict", "may_be_cause"]

CRASHES_TO_BLOCK = 3
"""Server crashes after which a request is blocked. Servers crash for other
reasons too, but rarely three times just as the same request starts on them.
Each further crash would cost a server for seconds, and all requests that it
runs."""

CRASHES_TO_ISOLATE = 2
"""Server crashes after which a request runs isolated from other suspects."""

EXPLAINED_CRASH_WEIGHT = 1
"""Weight of two or more crashes that a blocked request explains, added to the
crashes that none explains. A request that merely ran beside the blocked one
meets no more crashes; of two requests that both crash servers, the second
would otherwise crash three more servers."""

EARLY_RESPONSE_SECONDS = 0.5
"""Seconds after the start of a response within which the request may still be
the cause of a server crash. A request that crashes servers does so as it
starts; one that has run for longer was cut off by the crash."""

MAX_EXTRA_WAIT_SECONDS = 1.0
"""Seconds beyond the predicted time within which a request without any
response may be the cause: the wait at a busy server is sometimes longer than
predicted. A crash after a longer wait counts neither for nor against the
request."""

REPORT_DELAY_SECONDS = 0.3
"""Seconds after a crash within which other hosts may still report requests
that were affected: a message from another region takes 0.1 s, and a lost one
is sent again."""

RETENTION_SECONDS = 600.0
"""Seconds for which crashes are remembered. A new version of the servers may
run the request without a crash, and the store grants no longer lease."""

MAX_SUSPECTS = 2_000
"""Number of suspected requests kept in memory, about 1 MB. Those with the
fewest and the oldest crashes are removed first, as they probably only ran
beside the cause."""


class Verdict(enum.Enum):
    """How a request may be run."""

    ALLOWED = enum.auto()
    ISOLATED = enum.auto()
    DEFERRED = enum.auto()
    BLOCKED = enum.auto()


@dataclass(frozen=True, slots=True)
class ServerCrash:
    """The crash of a server as a request started on it.

    Attributes:
        server: Identifier of the server instance.
        at: Time of the crash.
        host: Host that detected it.
        caller: Address that the request came from.
    """

    server: str
    at: float
    host: str
    caller: str = ""


@dataclass(slots=True, eq=False)
class Suspect:
    """A request that was starting when servers crashed.

    Attributes:
        fingerprint: Digest that all repeats of the request share.
        crashes: `ServerCrash` by server instance.
        blocked: Whether the request was found to be the cause.
        cleared_at: Time at which the request was last known to run without a
            crash, or `NOTHING`. Crashes up to that time do not count.
        shared_with_all: Whether every host needs the record, and not only the
            hosts that collect first crashes. For a request that was affected
            by a single crash, neither the crash nor a later success matters to
            the other hosts.
    """

    fingerprint: str
    crashes: dict = field(default_factory=dict)
    blocked: bool = False
    cleared_at: object = NOTHING
    shared_with_all: bool = False

    @property
    def last_event_at(self):
        """Time of the latest crash or success."""
        times = [crash.at for crash in self.crashes.values()]
        if self.cleared_at is not NOTHING:
            times.append(self.cleared_at)
        return max(times)

    @property
    def callers(self):
        """Addresses that sent the request when servers crashed."""
        return {crash.caller for crash in self.crashes.values()}

    def is_blocked_for(self, caller):
        """Whether the request, once blocked, is refused for a caller.

        A caller's address changes now and then. The same request from another
        address may come from another caller, for whom it may run without a
        crash, so that caller gets one attempt. If a server crashes then as
        well, the request itself is the cause and is refused for every caller.
        """
        return len(self.callers) > 1 or caller in self.callers


def may_be_cause(*, attempt_age, predicted, head_received, response_age):
    """Whether a request may be the cause of its server's crash.

    A response head without a body shows that the server had just started to
    run the request, however long the request had waited there.

    Args:
        attempt_age: Seconds since the request was sent.
        predicted: Predicted seconds until the start of the response.
        head_received: Whether the head of the response was received.
        response_age: Seconds since the first part of the response body
            arrived, or `NOTHING`.
    """
    if response_age is not NOTHING:
        return response_age <= EARLY_RESPONSE_SECONDS
    return head_received or attempt_age <= predicted + MAX_EXTRA_WAIT_SECONDS


class CrashTracker:
    """The requests of this and other hosts that coincided with server crashes.

    Records are merged by set union and only grow until they expire, so reports
    may be duplicated, late or out of order.
    """

    def __init__(self):
        self.suspects = {}
        self.by_server = {}
        self.cached_digest = 0

    def record_crash(self, fingerprint, crash, now):
        """Add a crash to a request; return whether it is new."""
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
        """Add a suspected request."""
        self.suspects[suspect.fingerprint] = suspect
        return suspect

    def record_success(self, fingerprint, caller, now):
        """Record a run without a crash; return whether it changes anything.

        If the request is blocked, a run for another caller does not clear it.
        """
        suspect = self.suspects.get(fingerprint)
        if suspect is None or not suspect.crashes:
            return False
        if suspect.blocked and caller not in suspect.callers:
            return False
        self.clear(suspect, now)
        return True

    def clear(self, suspect, at):
        """Remove the crashes of a request up to the time *at*."""
        if suspect.cleared_at is NOTHING or at > suspect.cleared_at:
            suspect.cleared_at = at
        for crash in list(suspect.crashes.values()):
            if crash.at <= suspect.cleared_at:
                self.remove_crash(suspect, crash.server)
        suspect.blocked = suspect.blocked and bool(suspect.crashes)

    def remove_crash(self, suspect, server):
        """Remove one crash from a request."""
        del suspect.crashes[server]
        others = self.by_server.get(server, set())
        others.discard(suspect.fingerprint)
        if not others:
            self.by_server.pop(server, None)
        self.cached_digest = NOTHING

    def merge(self, remote, now):
        """Merge another host's record of a request.

        Args:
            remote: The `Suspect`, with times of this host's clock.
            now: The time.

        Returns:
            Whether it changed anything.
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
        """Merge a reported success; return whether it changes anything."""
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
        """Mark a request as the cause of its crashes."""
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
        """Return the `Verdict` on a request that is not blocked."""
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
        """Return the crashes of a request that no blocked request explains."""
        return {
            server
            for server in suspect.crashes
            if not self.has_blocked_request(server)
        }

    def has_blocked_request(self, server):
        """Whether a blocked request was at a server that crashed."""
        return any(
            self.suspects[one].blocked
            for one in self.by_server.get(server, ())
        )

    def equally_suspect(self, suspect, servers):
        """Return the other requests that may equally be the cause.

        These have at least as many unexplained crashes, and share two or more
        with the given request. A request that merely ran beside the cause has
        fewer from the next crash on, as both run isolated by then.

        Args:
            suspect: The `Suspect`.
            servers: The servers that crashed under it without a blocked
                request.
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
            # The request blocked before may explain the crashes of this one.
            if self.assess_unblocked(suspect, now) is Verdict.BLOCKED:
                self.block(suspect)
                found.append(suspect)
        return found

    def expire(self, now):
        """Remove records that are too old."""
        for suspect in list(self.suspects.values()):
            if now - suspect.last_event_at > RETENTION_SECONDS:
                self.forget(suspect)

    def forget(self, suspect):
        """Remove a suspected request."""
        for server in list(suspect.crashes):
            self.remove_crash(suspect, server)
        self.suspects.pop(suspect.fingerprint, None)

    def evict_excess(self):
        """Remove a tenth, the least suspect ones, above `MAX_SUSPECTS`."""
        if len(self.suspects) <= MAX_SUSPECTS:
            return
        least_first = sorted(
            self.suspects.values(),
            key=lambda one: (one.blocked, len(one.crashes), one.last_event_at),
        )
        for suspect in least_first[: MAX_SUSPECTS // 10]:
            self.forget(suspect)

    def suspects_for_all(self):
        """Return each `Suspect` that every host needs, newest first."""
        found = [one for one in self.suspects.values() if one.shared_with_all]
        return sorted(found, key=lambda one: -one.last_event_at)

    @property
    def digest(self):
        """A number that is equal on hosts that hold the same records.

        Only records that every host needs count; 0 means that there are none.
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
    """Whether a request ran without a crash after the given crash."""
    if suspect.cleared_at is NOTHING:
        return False
    return crash.at <= suspect.cleared_at
