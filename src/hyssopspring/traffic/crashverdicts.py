"""Verdicts on requests from the records of server crashes.

A suspect is a request, or a part of prompts, that was at servers as they
crashed. One rule applies to both: a suspect is blocked once enough crashes
have no other explanation, and no other suspect explains them equally well.
"""

import enum
from collections import Counter
from dataclasses import dataclass

from ..core.sentinels import NOTHING

__all__ = [
    "CRASHES_TO_BLOCK",
    "CRASHES_TO_ISOLATE",
    "EXTRA_CRASHES_AFTER_RUN",
    "REPORT_DELAY_SECONDS",
    "Assessment",
    "CauseFinder",
    "Verdict",
]

CRASHES_TO_BLOCK = 3
"""Server crashes after which a suspect is blocked. Servers crash for other
reasons too, but rarely three times just as the same request starts on them.
Each further crash would cost a server for seconds, and all requests that it
runs."""

CRASHES_TO_ISOLATE = 2
"""Server crashes after which a suspect runs isolated from other suspects."""

EXPLAINED_CRASH_WEIGHT = 1
"""Weight of two or more crashes that a blocked suspect explains, added to the
crashes that none explains. A request that merely ran beside the blocked one
meets no more crashes; of two requests that both crash servers, the second
would otherwise crash three more servers."""

EXTRA_CRASHES_AFTER_RUN = 3
"""Crashes that do not count against a part of prompts that has run well.

A part that crashes servers crashes each of them, so a run nearly proves that
it does not. It may do so all the same from then on, or the run may have been
reported wrongly."""

MIN_SPREAD_AFTER_RUN_SECONDS = 2.0
"""Seconds from the first to the last crash below which a part that has run
well is not suspected. Servers that lose power together crash within less;
over a longer time, a sound part runs well again."""

REPORT_DELAY_SECONDS = 0.3
"""Seconds after a crash within which other hosts may still report requests
that were affected: a message from another region takes 0.1 s, and a lost one
is sent again."""


class Verdict(enum.Enum):
    """How a request may be run, in the order of severity."""

    ALLOWED = enum.auto()
    ISOLATED = enum.auto()
    DEFERRED = enum.auto()
    BLOCKED = enum.auto()


@dataclass(frozen=True, slots=True)
class Assessment:
    """Verdict on a request, and the suspect that it is based on.

    Attributes:
        verdict: The `Verdict`.
        key: Key of the request itself or of a part of its prompt, or "".
    """

    verdict: Verdict
    key: str = ""


class CauseFinder:
    """Find which suspects are the cause of server crashes.

    Args:
        suspects: `Suspect` by key.
        by_server: Keys of the suspects at each server that crashed.
        blocked: Keys of the blocked suspects.

    Attributes:
        listed_releases: Called for the releases of the listed servers.
    """

    def __init__(self, suspects, by_server, blocked):
        self.suspects = suspects
        self.by_server = by_server
        self.blocked = blocked
        self.listed_releases = frozenset

    def assess(self, callers, now):
        """Return the `Assessment` of a request.

        Args:
            callers: The caller for each key of the request: its fingerprint,
                and the parts of its prompt.
            now: The time.
        """
        found = [
            Assessment(self.verdict_on(suspect, callers, now), suspect.key)
            for suspect in map(self.suspects.get, callers)
            if suspect is not None and suspect.concerns_all
        ]
        if not found:
            return Assessment(Verdict.ALLOWED)
        return max(
            found,
            key=lambda one: (one.verdict.value, self.weight_of_key(one.key)),
        )

    def weight_of_key(self, key):
        """Return the weight of a suspect's crashes."""
        return self.weight(self.suspects[key])

    def verdict_on(self, suspect, callers, now):
        """Return the `Verdict` on a request, from one suspect in it.

        Args:
            suspect: The `Suspect`.
            callers: The caller for each key of the request.
            now: The time.
        """
        found = Verdict.BLOCKED
        if not suspect.blocked:
            found = self.verdict_unblocked(suspect, callers, now)
        if found is not Verdict.BLOCKED:
            return found
        if not suspect.is_blocked_for(callers[suspect.key]):
            return Verdict.ISOLATED
        return Verdict.ISOLATED if self.is_outdated(suspect) else found

    def verdict_unblocked(self, suspect, callers, now):
        """Return the `Verdict` on a request with a suspect that may be sound.

        A request that holds all the suspects that explain the crashes equally
        well holds the cause, whichever of them it is.
        """
        weight = self.weight(suspect)
        if weight < CRASHES_TO_ISOLATE:
            return Verdict.ALLOWED
        if weight < CRASHES_TO_BLOCK:
            return Verdict.ISOLATED
        if now - suspect.last_event_at < REPORT_DELAY_SECONDS:
            return Verdict.DEFERRED
        if not self.is_evident(suspect):
            return Verdict.ISOLATED
        rivals = self.rivals(suspect)
        return (
            Verdict.BLOCKED if rivals <= callers.keys() else Verdict.ISOLATED
        )

    def is_cause(self, suspect, now):
        """Whether an unblocked suspect alone explains enough crashes.

        A request is told apart from the parts of its own prompt by the
        crashes of other requests with these parts. Until there are some, only
        the request itself is blocked.
        """
        weight = self.weight(suspect)
        if weight < CRASHES_TO_BLOCK:
            return False
        if now - suspect.last_event_at < REPORT_DELAY_SECONDS:
            return False
        if not self.is_evident(suspect):
            return False
        return self.rivals(suspect) <= suspect.parts

    def is_evident(self, suspect):
        """Whether a suspect may be blocked for its crashes.

        Servers that crash within a moment may all have begun requests with a
        sound part, which other requests have as well. The block of a part
        affects all of them, so that one more crash must show that it is not
        another request that is to blame.
        """
        return suspect.is_confirmed or not suspect.is_part

    def weight(self, suspect):
        """Return how many crashes speak against a suspect."""
        count = len(self.unexplained(suspect))
        weight = self.weight_of(suspect, count)
        if weight and len(suspect.crashes) - count >= CRASHES_TO_ISOLATE:
            weight += EXPLAINED_CRASH_WEIGHT
        return weight

    def weight_of(self, suspect, count):
        """Return the weight of *count* crashes that nothing else explains."""
        if not suspect.is_part or suspect.cleared_at is NOTHING:
            return count
        times = [crash.at for crash in suspect.crashes.values()]
        if not times or max(times) - min(times) < MIN_SPREAD_AFTER_RUN_SECONDS:
            return 0
        return max(0, count - EXTRA_CRASHES_AFTER_RUN)

    def unexplained(self, suspect):
        """Return the crashes of a suspect that no blocked suspect explains."""
        return {
            server
            for server in suspect.crashes
            if not self.is_explained(server, suspect)
        }

    def is_explained(self, server, suspect):
        """Whether another, blocked suspect was at a server that crashed.

        A blocked request does not explain the crashes of a part of its own
        prompt, as the part may be the cause of its crashes.
        """
        return any(
            server in one.crashes
            and one is not suspect
            and suspect.key not in one.parts
            for one in map(self.suspects.get, self.blocked)
        )

    def rivals(self, suspect):
        """Return the keys of the suspects that may equally be the cause.

        Their crashes that nothing else explains weigh at least as much, and
        two or more of them are shared with the given one. Explained crashes
        do not count here: what is common to all requests has the most. A
        request that merely ran beside the cause has less from the next crash
        on, as both run isolated by then.
        """
        servers = self.unexplained(suspect)
        weight = self.weight_of(suspect, len(servers))
        shared = Counter(
            one
            for server in servers
            for one in self.by_server[server]
            if one != suspect.key
        )
        return {
            one
            for one, count in shared.items()
            if count >= CRASHES_TO_ISOLATE
            and self.own_weight(self.suspects[one]) >= weight
        }

    def own_weight(self, suspect):
        """Return the weight of the crashes that nothing else explains."""
        return self.weight_of(suspect, len(self.unexplained(suspect)))

    def is_outdated(self, suspect):
        """Whether no server of a release that crashed is listed any more.

        Servers of the same services, but other releases, may run the suspect
        without a crash.
        """
        crashed = {crash.release for crash in suspect.crashes.values()}
        listed = self.listed_releases()
        if "" in crashed or not crashed.isdisjoint(listed):
            return False
        services = {service_of(one) for one in listed}
        return all(service_of(one) in services for one in crashed)


def service_of(release):
    """Return the service that a release belongs to."""
    return release.rpartition("/")[0]
