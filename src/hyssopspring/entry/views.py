"""How surely this host's configuration is the newest one.

A key that an operator has taken away must be refused everywhere within a
bound, also by a host that was suspended or cut off and has not heard of it.
So a host serves requests with a key only for as long as it knows that its
configuration was the newest a short while ago.
"""

import math

from ..core.events import EventKind
from ..core.sentinels import NOTHING
from ..traffic.members import LEARNING
from .messages import ViewAnswer, ViewAsk

__all__ = ["ConfirmedView", "ViewVerifier"]

APPLY_SECONDS = 4.0
"""Seconds in which a change must be in force, if settings name none."""

DENIAL_MARGIN_SECONDS = 1.0
MIN_DENIAL_AGE_SECONDS = 0.5
"""Seconds by which a view must be younger than that to deny a route or a
key, as an answer takes its time; and its least age to do so."""

CLOCK_MARGIN_SECONDS = 0.2
"""Seconds before the bound at which keys are not believed any more, for
clocks that do not run quite alike."""

FIRST_READ_AGE_SECONDS = 0.9
"""Age of the view, in seconds, at which the first host of a region reads
the configuration anew."""

ASK_SECOND_AGE_SECONDS = 1.3
"""Age of the view, in seconds, from which the second host is asked too."""

FALLBACK_READ_AGE_SECONDS = 2.2
"""Age of the view, in seconds, from which a host that gets no answer of
others reads the configuration itself. It is soon enough to serve on without
a break if the first host is gone, and no call is made for a lost answer."""

VERIFY_INTERVAL_SECONDS = 0.2
"""Seconds between two rounds of questions for a caller that waits."""

VERIFY_BURST_SECONDS = 1.0
"""Seconds between rounds after which a new doubt begins."""

REGION_READ_DELAY_SECONDS = 0.4
"""Seconds by which the first host of a region waits longer to read the
store than that of the region before it: a doubt often rises everywhere at
once, and one reading serves all."""

MAX_READ_DELAY_SECONDS = 0.7
"""Longest such wait, and that of hosts that are not first, in seconds."""

REFRESH_INTERVAL_SECONDS = 0.1
"""Seconds between two rounds of questions of a host that refuses."""


class ConfirmedView:
    """The time at which this host's configuration was the newest for sure.

    Args:
        clock: Callable that returns the seconds of a clock that also
            counts while the host is suspended.
        bound: Seconds in which a key that was taken away must be refused,
            or `NOTHING` if there is no bound.
        apply: Seconds in which a change must be in force.
    """

    def __init__(self, clock, bound, apply=APPLY_SECONDS):
        self.clock = clock
        self.denial_max_age = max(
            MIN_DENIAL_AGE_SECONDS, apply - DENIAL_MARGIN_SECONDS
        )
        self.max_age = (
            NOTHING
            if bound is NOTHING
            else max(0.0, bound - CLOCK_MARGIN_SECONDS)
        )
        self.confirmed_at = NOTHING

    def confirm(self, at):
        """Note that the configuration was the newest at the time *at*.

        That is the time before the question, not that of the answer: an
        answer may have lain in a buffer while the host was suspended.
        """
        if self.confirmed_at is NOTHING or at > self.confirmed_at:
            self.confirmed_at = at

    @property
    def age(self):
        """Seconds since the configuration was the newest for sure."""
        if self.confirmed_at is NOTHING:
            return math.inf
        return self.clock() - self.confirmed_at

    @property
    def is_fresh(self):
        """Whether keys may be believed."""
        return self.max_age is NOTHING or self.age < self.max_age

    @property
    def can_deny(self):
        """Whether what the configuration lacks may be taken not to exist.

        What was added a moment ago need not be in force yet; what was
        added before must not be denied.
        """
        return self.age < self.denial_max_age


class ViewVerifier:
    """Keep the view of this host confirmed, at few calls to the store.

    The first host of a region reads the configuration each second. All
    others ask it by datagram, twice a second; what they get bears the time
    of their question, so a late answer is not taken for a fresh one. A host
    that gets no answer reads by itself. Right after its start each takes
    itself for the first, having heard nobody yet; its first listing of the
    store confirms its view for longer than that.

    Args:
        view: The `ConfirmedView`.
        keeper: The `ConfigurationKeeper`.
        members: The `Members`.
        datagrams: The `Datagrams`.
        clock: The runtime's clock.
        timeline: The `Timeline`.
        read: Called to read the configuration from the store.
        remote_hosts: Called for the hosts of other regions to ask.
    """

    def __init__(
        self,
        view,
        keeper,
        members,
        datagrams,
        clock,
        timeline,
        read,
        remote_hosts,
    ):
        self.view = view
        self.keeper = keeper
        self.members = members
        self.datagrams = datagrams
        self.clock = clock
        self.timeline = timeline
        self.read = read
        self.remote_hosts = remote_hosts
        self.refreshed_at = -math.inf
        self.verifying_since = -math.inf
        self.verified_at = -math.inf
        self.expired = False

    @property
    def is_required(self):
        """Whether any request depends on the view."""
        current = self.keeper.current
        if current is NOTHING or self.view.max_age is NOTHING:
            return False
        return bool(current.workspaces)

    def tick(self):
        """Have the view confirmed if it is time."""
        if not self.is_required:
            return
        self.record_state()
        own = self.members.own
        ranked = self.members.placers(self.clock.seconds())
        heard = len(ranked) > 1 or own.up_seconds >= LEARNING
        first = ranked[0] is own and heard
        age = self.view.age
        if age > (
            FIRST_READ_AGE_SECONDS if first else FALLBACK_READ_AGE_SECONDS
        ):
            self.read()
        self.request_confirmation(ranked[0])
        if age > ASK_SECOND_AGE_SECONDS:
            for member in ranked[1:2] + self.remote_hosts():
                self.request_confirmation(member)

    def refresh(self):
        """Have the view confirmed at once: a caller was just refused."""
        now = self.clock.seconds()
        if now - self.refreshed_at >= REFRESH_INTERVAL_SECONDS:
            self.refreshed_at = now
            self.tick()

    @property
    def verifying_seconds(self):
        """Seconds for which callers have been in doubt; 0 if none is."""
        now = self.clock.seconds()
        if now - self.verified_at > VERIFY_BURST_SECONDS:
            return 0.0
        return now - self.verifying_since

    def verify(self):
        """Have the view confirmed for a caller that waits; call often.

        Others may have a view that is young enough, and are asked first.
        """
        now = self.clock.seconds()
        if now - self.verified_at < VERIFY_INTERVAL_SECONDS:
            return
        if now - self.verified_at > VERIFY_BURST_SECONDS:
            self.verifying_since = now
        self.verified_at = now
        ranked = self.members.placers(now)
        others = [one for one in ranked[:2] if one is not self.members.own]
        others += self.remote_hosts()
        for member in others:
            self.request_confirmation(member)
        if not others or now - self.verifying_since >= self.read_delay(
            ranked, now
        ):
            self.read()

    def read_delay(self, ranked, now):
        """Return the seconds of doubt after which this host reads."""
        if ranked[0] is not self.members.own:
            return MAX_READ_DELAY_SECONDS
        own = self.members.own.region
        place = sum(one < own for one in self.members.regions(now))
        return min(MAX_READ_DELAY_SECONDS, place * REGION_READ_DELAY_SECONDS)

    def record_state(self):
        """Put it on the time line when keys are refused, or not any more."""
        expired = not self.view.is_fresh
        if expired == self.expired:
            return
        self.expired = expired
        self.timeline.note(
            EventKind.VIEW_LOST if expired else EventKind.VIEW_BACK,
            version=self.keeper.version,
            age=round(min(self.view.age, 1e6), 1),
        )

    def request_confirmation(self, member):
        """Ask another host how sure it is of its configuration."""
        if member is self.members.own:
            return
        stamp = math.floor(self.view.clock() * 1000)
        question = ViewAsk(self.members.own.name, stamp)
        self.datagrams.send(question, member.control)

    def handle_request(self, message):
        """Tell another host how sure this one is."""
        member = self.members.others.get(message.host)
        if member is None or not self.view.is_fresh:
            return
        if self.view.confirmed_at is NOTHING:
            return
        age = math.ceil(self.view.age * 1000)
        answer = ViewAnswer(message.stamp, age, self.keeper.version)
        self.datagrams.send(answer, member.control)
        first = self.members.placers(self.clock.seconds())[0]
        if first is self.members.own and not self.view.can_deny:
            self.verify()

    def handle_response(self, message):
        """Take over how sure another host is of the same configuration.

        One that has a newer one confirms nothing here: that one is read
        from it first.
        """
        if self.keeper.version >= message.version:
            self.view.confirm((message.stamp - message.age_ms) / 1000)
            self.record_state()
        elif self.clock.seconds() - self.verified_at < VERIFY_BURST_SECONDS:
            self.read()
