"""Records of the requests and parts of prompts at servers that crashed.

A request may crash every server that starts to run it. It is retried at other
servers, its caller repeats it at any host, and everything else that runs on
the server is cut off each time. A part of prompts may do so as well, in
requests of which no two are alike. Hosts therefore record which requests were
starting when servers crashed, and which parts their prompts have, share these
records, and stop sending such requests to any server.

Everything that was about to start on a server that crashes is a suspect.
Three rules tell the cause from the others: what was answered, or has run for a
while, is not the cause; a crash that a blocked suspect explains does not count
against others; and a suspect with two unexplained crashes is run isolated from
other suspects, so that the next crash shows which one is responsible.
"""

from ..core.hashing import hash_text
from ..core.sentinels import NOTHING
from .crashverdicts import (
    CRASHES_TO_BLOCK,
    REPORT_DELAY_SECONDS,
    CauseFinder,
)
from .suspects import Suspect

__all__ = ["CrashTracker", "may_be_cause"]

EARLY_RESPONSE_SECONDS = 0.5
"""Seconds after the start of a response within which the request may still be
the cause of a server crash. A request that crashes servers does so as it
starts; one that has run for longer was cut off by the crash."""

MAX_EXTRA_WAIT_SECONDS = 1.0
"""Seconds beyond the predicted time within which a request without any
response may be the cause: the wait at a busy server is sometimes longer than
predicted. A crash after a longer wait counts neither for nor against the
request."""

RETENTION_SECONDS = 600.0
"""Seconds for which crashes are remembered. A new version of the servers may
run the request without a crash, and the store grants no longer lease."""

MAX_SUSPECTS = 2_000
"""Number of suspects kept in memory, about 1 MB. Those with the
fewest and the oldest crashes are removed first, as they probably only ran
beside the cause."""


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
    """The suspects of this and other hosts.

    Records are merged by set union and only grow until they expire, so reports
    may be duplicated, late or out of order.

    Attributes:
        causes: The `CauseFinder`.
    """

    def __init__(self):
        self.suspects = {}
        self.by_server = {}
        self.blocked = set()
        self.causes = CauseFinder(self.suspects, self.by_server, self.blocked)
        self.cached_digests = {}

    def record_crash(self, key, crash, now, parts=()):
        """Add a crash to a suspect; return whether it is new.

        Args:
            key: Key of the suspect.
            crash: The `ServerCrash`.
            now: The time.
            parts: Keys of the parts of the prompt, if it is a request.
        """
        if now - crash.at > RETENTION_SECONDS:
            return False
        suspect = self.suspects.get(key)
        if suspect is None:
            suspect = self.add_suspect(Suspect(key))
        if is_cleared(suspect, crash) or is_known(suspect, crash):
            return False
        suspect.crashes[crash.server] = crash
        suspect.parts |= frozenset(parts)
        if suspect.concerns_all:
            suspect.shared_with_all = True
        self.by_server.setdefault(crash.server, set()).add(key)
        self.cached_digests.clear()
        self.evict_excess()
        return True

    def add_suspect(self, suspect):
        """Add a suspect."""
        self.suspects[suspect.key] = suspect
        return suspect

    def record_success(self, key, caller, now):
        """Record a run without a crash; return whether it changes anything.

        If a request is blocked, a run for another caller does not clear it. A
        part is the same for all callers.
        """
        suspect = self.suspects.get(key)
        if suspect is None or not suspect.crashes:
            return False
        if (
            suspect.blocked
            and not suspect.is_part
            and caller not in suspect.callers
        ):
            return False
        self.clear(suspect, now)
        return True

    def record_earlier_run(self, key, at):
        """Record a run of a part that was known before its crashes were.

        Args:
            key: Key of the part.
            at: Time of its latest run.
        """
        suspect = self.suspects.get(key)
        if suspect is not None:
            self.clear(suspect, at)

    def knows_later_run(self, remote):
        """Whether a run that another host does not know changes its verdict.

        Args:
            remote: The `Suspect` of a part, as that host has it.
        """
        suspect = self.suspects.get(remote.key)
        if suspect is None or suspect.cleared_at is NOTHING:
            return False
        return remote.cleared_at is NOTHING or any(
            crash.at <= suspect.cleared_at for crash in remote.crashes.values()
        )

    def clear(self, suspect, at):
        """Remove the crashes of a suspect up to the time *at*."""
        if suspect.cleared_at is NOTHING or at > suspect.cleared_at:
            suspect.cleared_at = at
        for crash in list(suspect.crashes.values()):
            if crash.at <= suspect.cleared_at:
                self.remove_crash(suspect, crash.server)
        if not suspect.crashes:
            suspect.blocked = False
            self.blocked.discard(suspect.key)
        self.cached_digests.clear()

    def remove_crash(self, suspect, server):
        """Remove one crash from a suspect."""
        del suspect.crashes[server]
        others = self.by_server.get(server, set())
        others.discard(suspect.key)
        if not others:
            self.by_server.pop(server, None)
        self.cached_digests.clear()

    def merge(self, remote, now):
        """Merge another host's record of a suspect.

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
            recorded = self.record_crash(remote.key, crash, now, remote.parts)
            news = recorded or news
        suspect = self.suspects.get(remote.key)
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
        suspect = self.suspects.get(remote.key)
        if suspect is None:
            # Whether a part ever ran well decides how its crashes count.
            if remote.is_part and remote.crashes:
                self.add_suspect(
                    Suspect(remote.key, cleared_at=remote.cleared_at)
                )
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
        """Mark a suspect as the cause of its crashes."""
        suspect.blocked = True
        self.blocked.add(suspect.key)
        suspect.shared_with_all = True
        self.cached_digests.clear()

    def verdict(self, fingerprint, caller, now, parts=()):
        """Return the `Verdict` on a request of a caller; see `assess`."""
        return self.assess(fingerprint, caller, now, parts).verdict

    def assess(self, fingerprint, caller, now, parts=()):
        """Return the `Assessment` of a request of a caller.

        Args:
            fingerprint: Its fingerprint.
            caller: Its caller.
            now: The time.
            parts: The caller for each key of a part of its prompt.
        """
        return self.causes.assess({fingerprint: caller, **dict(parts)}, now)

    def block_causes(self, now):
        """Block the suspects that are now found to be the cause.

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
            key=lambda one: (-len(one.crashes), one.key),
        )
        found = []
        for suspect in most_first:
            # The suspect blocked before may explain the crashes of this one.
            if self.causes.is_cause(suspect, now):
                self.block(suspect)
                found.append(suspect)
        return found

    def expire(self, now):
        """Remove records that are too old."""
        for suspect in list(self.suspects.values()):
            if now - suspect.last_event_at > RETENTION_SECONDS:
                self.forget(suspect)

    def forget(self, suspect):
        """Remove a suspect."""
        for server in list(suspect.crashes):
            self.remove_crash(suspect, server)
        self.suspects.pop(suspect.key, None)
        self.blocked.discard(suspect.key)

    def evict_excess(self):
        """Remove a tenth, the least suspect ones, above `MAX_SUSPECTS`."""
        if len(self.suspects) <= MAX_SUSPECTS:
            return
        least_first = sorted(
            self.suspects.values(),
            key=lambda one: (
                one.blocked,
                one.concerns_all,
                len(one.crashes),
                one.last_event_at,
            ),
        )
        for suspect in least_first[: MAX_SUSPECTS // 10]:
            self.forget(suspect)

    def suspects_for_all(self):
        """Return each `Suspect` that every host needs.

        Blocked ones come first, then the newest.
        """
        found = [one for one in self.suspects.values() if one.shared_with_all]
        return sorted(
            found, key=lambda one: (not one.blocked, -one.last_event_at)
        )

    def count(self, *, parts, blocked=False):
        """Return the number of suspects with crashes.

        Args:
            parts: Whether to count parts of prompts, or requests.
            blocked: Whether to count only blocked ones.
        """
        return sum(
            bool(one.crashes)
            and one.is_part is parts
            and (one.blocked or not blocked)
            for one in self.suspects.values()
        )

    @property
    def digest(self):
        """A number that is equal on hosts with the same records of requests.

        Only records that every host needs count; 0 means that there are none.
        """
        return self.digest_of(parts=False)

    @property
    def part_digest(self):
        """A number that is equal on hosts with the same records of parts."""
        return self.digest_of(parts=True)

    def digest_of(self, *, parts):
        """Return the digest of the records of parts or of requests."""
        if parts not in self.cached_digests:
            rows = sorted(
                one.digest_row
                for one in self.suspects.values()
                if one.is_part is parts and one.crashes and one.concerns_all
            )
            self.cached_digests[parts] = hash_text(repr(rows)) if rows else 0
        return self.cached_digests[parts]


def is_known(suspect, crash):
    """Whether a suspect has a record of a crash that says as much."""
    known = suspect.crashes.get(crash.server)
    return known is not None and (known.isolated or not crash.isolated)


def is_cleared(suspect, crash):
    """Whether a suspect ran without a crash after the given crash."""
    if suspect.cleared_at is NOTHING:
        return False
    return crash.at <= suspect.cleared_at
