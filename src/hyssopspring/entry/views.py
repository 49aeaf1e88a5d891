"""Confirmation that this host's configuration is the newest one.

A key that an operator has revoked must be refused everywhere within a time
limit, also by a host that was suspended or cut off and has not received the
revocation. A host therefore accepts keys only while it can prove that its
configuration was the newest a short while ago.
"""

import math

from ..core.events import EventKind
from ..core.sentinels import NOTHING
from ..traffic.members import STARTUP_DISCOVERY_SECONDS
from .messages import ViewRequest, ViewResponse

__all__ = ["ConfirmedView", "ViewVerifier"]

APPLY_SECONDS = 4.0
"""Time limit for a change to be in force, unless the settings name one."""

DENIAL_MARGIN_SECONDS = 1.0
MIN_DENIAL_AGE_SECONDS = 0.5
"""Margin by which a view must be younger than that time limit to deny a route
or a key, as a response takes time to arrive; and the lowest age limit for
doing so."""

CLOCK_MARGIN_SECONDS = 0.2
"""Margin before the time limit at which keys are no longer accepted, for
clocks that run at slightly different rates."""

FIRST_READ_AGE_SECONDS = 0.9
"""Age of the view at which the first host of a region reads the configuration
again."""

ASK_SECOND_AGE_SECONDS = 1.3
"""Age of the view from which the second host is asked as well."""

FALLBACK_READ_AGE_SECONDS = 2.2
"""Age of the view from which a host that gets no responses from others reads
the configuration itself. This is soon enough to serve without a gap if the
first host is gone, and late enough that a single lost response causes no
call."""

VERIFY_INTERVAL_SECONDS = 0.2
"""Interval between two rounds of requests for a caller that waits."""

VERIFY_BURST_SECONDS = 1.0
"""Time without a round of requests after which the next round starts a new
verification."""

REGION_READ_DELAY_SECONDS = 0.4
"""Time by which the first host of a region delays its read of the store
relative to that of the previous region. A verification often starts in all
regions at once, and one read serves them all."""

MAX_READ_DELAY_SECONDS = 0.7
"""Longest such delay, and the delay of hosts that are not the first one."""

REFRESH_INTERVAL_SECONDS = 0.1
"""Interval between two rounds of requests of a host that refuses keys."""


class ConfirmedView:
    """The latest time at which the configuration was certainly the newest.

    Args:
        clock: Callable that returns the seconds of a clock that also counts
            while the host is suspended.
        bound: Seconds within which a revoked key must be refused, or `NOTHING`
            if there is no limit.
        apply_seconds: Seconds within which a change must be in force.
    """

    def __init__(self, clock, bound, apply_seconds=APPLY_SECONDS):
        self.clock = clock
        self.denial_max_age = max(
            MIN_DENIAL_AGE_SECONDS, apply_seconds - DENIAL_MARGIN_SECONDS
        )
        self.max_age = (
            NOTHING
            if bound is NOTHING
            else max(0.0, bound - CLOCK_MARGIN_SECONDS)
        )
        self.confirmed_at = NOTHING

    def confirm(self, at):
        """Record that the configuration was the newest at the time *at*.

        That is the time before the request was sent, not the time of its
        response: a response may have stayed in a buffer while the host was
        suspended.
        """
        if self.confirmed_at is NOTHING or at > self.confirmed_at:
            self.confirmed_at = at

    @property
    def age(self):
        """Seconds since the configuration was certainly the newest."""
        if self.confirmed_at is NOTHING:
            return math.inf
        return self.clock() - self.confirmed_at

    @property
    def is_fresh(self):
        """Whether keys may be accepted."""
        return self.max_age is NOTHING or self.age < self.max_age

    @property
    def can_deny(self):
        """Whether anything that the configuration lacks may be denied.

        A recent addition need not be in force yet, but an earlier addition
        must not be denied.
        """
        return self.age < self.denial_max_age


class ViewVerifier:
    """Keep the view of this host confirmed with few calls to the store.

    The first host of a region reads the configuration each second. All others
    ask it by datagram, twice a second. Each response carries the time of the
    request, so a late response is not taken for a fresh one. A host that gets
    no response reads the configuration itself. Right after its start no host
    has received messages from others, and each would rank itself first; its
    first listing of the store confirms its view for longer than that.

    Args:
        view: The `ConfirmedView`.
        keeper: The `ConfigurationKeeper`.
        members: The `Members`.
        datagrams: The `DatagramEndpoint`.
        clock: The runtime's clock.
        timeline: The `Timeline`.
        read_configuration: Called to read the configuration from the store.
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
        read_configuration,
        remote_hosts,
    ):
        self.view = view
        self.keeper = keeper
        self.members = members
        self.datagrams = datagrams
        self.clock = clock
        self.timeline = timeline
        self.read_configuration = read_configuration
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
        """Have the view confirmed if it is due."""
        if not self.is_required:
            return
        self.record_state()
        own = self.members.own
        ranked = self.members.placers(self.clock.seconds())
        has_contact = (
            len(ranked) > 1 or own.up_seconds >= STARTUP_DISCOVERY_SECONDS
        )
        first = ranked[0] is own and has_contact
        age = self.view.age
        if age > (
            FIRST_READ_AGE_SECONDS if first else FALLBACK_READ_AGE_SECONDS
        ):
            self.read_configuration()
        self.request_confirmation(ranked[0])
        if age > ASK_SECOND_AGE_SECONDS:
            for member in ranked[1:2] + self.remote_hosts():
                self.request_confirmation(member)

    def refresh(self):
        """Have the view confirmed at once, after a caller was refused."""
        now = self.clock.seconds()
        if now - self.refreshed_at >= REFRESH_INTERVAL_SECONDS:
            self.refreshed_at = now
            self.tick()

    @property
    def verifying_seconds(self):
        """Duration of the current verification for callers; 0 without one."""
        now = self.clock.seconds()
        if now - self.verified_at > VERIFY_BURST_SECONDS:
            return 0.0
        return now - self.verifying_since

    def verify(self):
        """Have the view confirmed for a caller that waits; call repeatedly.

        Other hosts may have a view that is young enough, and are asked first.
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
            self.read_configuration()

    def read_delay(self, ranked, now):
        """Return the delay after which this host reads the store itself."""
        if ranked[0] is not self.members.own:
            return MAX_READ_DELAY_SECONDS
        own = self.members.own.region
        rank = sum(one < own for one in self.members.regions(now))
        return min(MAX_READ_DELAY_SECONDS, rank * REGION_READ_DELAY_SECONDS)

    def record_state(self):
        """Log when keys start or stop being refused."""
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
        """Ask another host for the age of its view."""
        if member is self.members.own:
            return
        stamp = math.floor(self.view.clock() * 1000)
        request = ViewRequest(self.members.own.name, stamp)
        self.datagrams.send(request, member.control)

    def handle_request(self, message):
        """Send another host the age of this host's view."""
        member = self.members.others.get(message.host)
        if member is None or not self.view.is_fresh:
            return
        if self.view.confirmed_at is NOTHING:
            return
        age = math.ceil(self.view.age * 1000)
        response = ViewResponse(message.stamp, age, self.keeper.version)
        self.datagrams.send(response, member.control)
        first = self.members.placers(self.clock.seconds())[0]
        if first is self.members.own and not self.view.can_deny:
            self.verify()

    def handle_response(self, message):
        """Apply the age of another host's view of the same configuration.

        A host with a newer configuration confirms nothing here; this host
        reads that configuration first.
        """
        if self.keeper.version >= message.version:
            self.view.confirm((message.stamp - message.age_ms) / 1000)
            self.record_state()
        elif self.clock.seconds() - self.verified_at < VERIFY_BURST_SECONDS:
            self.read_configuration()
