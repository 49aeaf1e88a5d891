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

__all__ = ["Crashes", "End", "Suspect", "Verdict", "is_early"]

ENDS_TO_BLOCK = 3
"""Ends of servers after which a request is blocked. Servers end for other
reasons too, but seldom three just as the same request begins on them. Each
more would cost a server for seconds, and all that it runs."""

ENDS_TO_SEPARATE = 2
"""Ends after which a request is run apart from others suspected."""

EXPLAINED_WEIGHT = 1
"""What two ends or more that a blocked request explains count for, beside
ends that none explains. What was only near that one meets no more ends; of
two that end servers, the second would else cost three servers more."""

EARLY = 0.5
"""Seconds after the beginning of an answer in which an end of the server
may still be due to the request. A request that ends servers does so as it
begins; what has run for longer ended with its server."""

EARLY_WAIT = 1.0
"""Seconds besides the predicted time, for a request of which nothing had
come: the wait at a busy server is longer than predicted now and then. What
takes longer still speaks neither for nor against the request."""

SETTLE = 0.3
"""Seconds after an end in which others may still tell of what ended with
it: word from another region takes 0.1 s, and a lost one is repeated."""

KEPT = 600.0
"""Seconds for which ends are remembered. A new version of the servers may
run the request well; and the store gives no longer lease."""

MOST_SUSPECTS = 2_000
"""Requests that are remembered, about 1 MB. Those with the fewest and the
oldest ends go first; they are the ones that were only near by."""


class Verdict(enum.Enum):
    """What may be done with a request."""

    FREE = enum.auto()
    ALONE = enum.auto()
    HELD = enum.auto()
    BLOCKED = enum.auto()


@dataclass(frozen=True, slots=True)
class End:
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
        ends: `End` by server.
        blocked: Whether it was found to be the cause.
        cleared_at: Time at which it was last known to run well, or
            `NOTHING`. Ends before do not count.
        for_all: Whether every host must know it, and not only those that
            sum up first ends. What was only near one server that ended is
            of no interest to the others, nor that it ran well since.
    """

    fingerprint: str
    ends: dict = field(default_factory=dict)
    blocked: bool = False
    cleared_at: object = NOTHING
    for_all: bool = False

    @property
    def newest(self):
        """Time of the last that is known of it."""
        times = [end.at for end in self.ends.values()]
        if self.cleared_at is not NOTHING:
            times.append(self.cleared_at)
        return max(times)

    @property
    def callers(self):
        """Addresses that it came from when servers ended under it."""
        return {end.caller for end in self.ends.values()}

    def is_blocked_for(self, caller):
        """Whether it is refused to a caller.

        A caller comes from other addresses now and then. Whoever sends
        the same from another one may be another caller, for whom it may
        run well, and has one try; if a server ends under that as well, it
        is the request, whoever sends it.
        """
        return len(self.callers) > 1 or caller in self.callers


def is_early(*, ran_for, predicted, headed, begun_for):
    """Whether a request may be why its server ended.

    A head without anything after it shows that the server had just begun,
    however long the request had waited there.

    Args:
        ran_for: Seconds since it was sent there.
        predicted: Seconds in which it was to begin.
        headed: Whether the head of its answer had come.
        begun_for: Seconds since the first of its answer came, or
            `NOTHING`.
    """
    if begun_for is not NOTHING:
        return begun_for <= EARLY
    return headed or ran_for <= predicted + EARLY_WAIT


class Crashes:
    """All that this host knows of requests under which servers ended.

    What is known only grows, by union, until it is forgotten by its age.
    So word of it may be doubled, late or out of order.
    """

    def __init__(self):
        self.suspects = {}
        self.by_server = {}
        self.kept_digest = 0

    def note_end(self, fingerprint, end, now):
        """Add one end of a server; return whether it is new."""
        if now - end.at > KEPT:
            return False
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            suspect = self.add(Suspect(fingerprint))
        if end.server in suspect.ends or is_cleared(suspect, end):
            return False
        suspect.ends[end.server] = end
        if len(suspect.ends) >= ENDS_TO_SEPARATE:
            suspect.for_all = True
        self.by_server.setdefault(end.server, set()).add(fingerprint)
        self.kept_digest = NOTHING
        self.bound()
        return True

    def add(self, suspect):
        """Remember one more request."""
        self.suspects[suspect.fingerprint] = suspect
        return suspect

    def note_run(self, fingerprint, caller, now):
        """Note that a request has run well; return whether it is news.

        Where it is blocked, another caller's says nothing of the first
        one's.
        """
        suspect = self.suspects.get(fingerprint)
        if suspect is None or not suspect.ends:
            return False
        if suspect.blocked and caller not in suspect.callers:
            return False
        self.clear(suspect, now)
        return True

    def clear(self, suspect, at):
        """Forget the ends of a request up to the time *at*."""
        if suspect.cleared_at is NOTHING or at > suspect.cleared_at:
            suspect.cleared_at = at
        for end in list(suspect.ends.values()):
            if end.at <= suspect.cleared_at:
                self.remove_end(suspect, end.server)
        suspect.blocked = suspect.blocked and bool(suspect.ends)

    def remove_end(self, suspect, server):
        """Take one end away from a request."""
        del suspect.ends[server]
        others = self.by_server.get(server, set())
        others.discard(suspect.fingerprint)
        if not others:
            self.by_server.pop(server, None)
        self.kept_digest = NOTHING

    def merge(self, told, now):
        """Take over what another host knows of a request.

        Args:
            told: The `Suspect`, in times of this host.
            now: The time.

        Returns:
            Whether anything of it is news.
        """
        news = False
        if told.cleared_at is not NOTHING and now - told.cleared_at <= KEPT:
            news = self.merge_cleared(told)
        for end in told.ends.values():
            news = self.note_end(told.fingerprint, end, now) or news
        suspect = self.suspects.get(told.fingerprint)
        if told.blocked and suspect and suspect.ends and not suspect.blocked:
            self.block(suspect)
            news = True
        return news

    def merge_cleared(self, told):
        """Take over that a request ran well; return whether it is news."""
        suspect = self.suspects.get(told.fingerprint)
        if suspect is None:
            return False
        known = suspect.cleared_at
        if known is not NOTHING and told.cleared_at <= known + SETTLE:
            return False
        self.clear(suspect, told.cleared_at)
        return True

    def block(self, suspect):
        """Hold a request to be the cause of the ends under it."""
        suspect.blocked = True
        suspect.for_all = True
        self.kept_digest = NOTHING

    def verdict(self, fingerprint, caller, now):
        """Return the `Verdict` on a request of a caller."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return Verdict.FREE
        found = Verdict.BLOCKED
        if not suspect.blocked:
            found = self.verdict_on(suspect, now)
        if found is Verdict.BLOCKED and not suspect.is_blocked_for(caller):
            return Verdict.ALONE
        return found

    def verdict_on(self, suspect, now):
        """Return the `Verdict` on one that is not held to be the cause."""
        own = self.unexplained(suspect)
        weight = len(own)
        if own and len(suspect.ends) - len(own) >= ENDS_TO_SEPARATE:
            weight += EXPLAINED_WEIGHT
        if weight < ENDS_TO_SEPARATE:
            return Verdict.FREE
        if weight < ENDS_TO_BLOCK:
            return Verdict.ALONE
        if now - suspect.newest < SETTLE:
            return Verdict.HELD
        return Verdict.ALONE if self.rivals(suspect, own) else Verdict.BLOCKED

    def unexplained(self, suspect):
        """Return the ends of a request that no blocked one explains."""
        return {server for server in suspect.ends if not self.blamed(server)}

    def blamed(self, server):
        """Whether a blocked request was at a server that ended."""
        return any(
            self.suspects[one].blocked
            for one in self.by_server.get(server, ())
        )

    def rivals(self, suspect, servers):
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
            if count >= ENDS_TO_SEPARATE
            and len(self.unexplained(self.suspects[one])) >= len(servers)
        ]

    def judge(self, now):
        """Block the requests that are now found to be the cause.

        Returns:
            Each `Suspect` that is newly blocked.
        """
        most_first = sorted(
            (
                suspect
                for suspect in self.suspects.values()
                if len(suspect.ends) >= ENDS_TO_BLOCK and not suspect.blocked
            ),
            key=lambda one: (-len(one.ends), one.fingerprint),
        )
        found = []
        for suspect in most_first:
            # A request blocked just before may explain the ends of the next.
            if self.verdict_on(suspect, now) is Verdict.BLOCKED:
                self.block(suspect)
                found.append(suspect)
        return found

    def expire(self, now):
        """Forget what is too old."""
        for suspect in list(self.suspects.values()):
            if now - suspect.newest > KEPT:
                self.forget(suspect)

    def forget(self, suspect):
        """Forget one request."""
        for server in list(suspect.ends):
            self.remove_end(suspect, server)
        self.suspects.pop(suspect.fingerprint, None)

    def bound(self):
        """Forget a tenth, the least suspect ones, if there are too many."""
        if len(self.suspects) <= MOST_SUSPECTS:
            return
        least_first = sorted(
            self.suspects.values(),
            key=lambda one: (one.blocked, len(one.ends), one.newest),
        )
        for suspect in least_first[: MOST_SUSPECTS // 10]:
            self.forget(suspect)

    def told_to_all(self):
        """Return each `Suspect` that every host must know, newest first."""
        found = [one for one in self.suspects.values() if one.for_all]
        return sorted(found, key=lambda one: -one.newest)

    @property
    def digest(self):
        """A number that is the same where the same is known.

        Only what every host must know counts; 0 stands for nothing.
        """
        if self.kept_digest is NOTHING:
            rows = sorted(
                (one.fingerprint, sorted(one.ends), one.blocked)
                for one in self.told_to_all()
                if one.ends
            )
            self.kept_digest = hash_text(repr(rows)) if rows else 0
        return self.kept_digest


def is_cleared(suspect, end):
    """Whether a request ran well after an end."""
    if suspect.cleared_at is NOTHING:
        return False
    return end.at <= suspect.cleared_at
