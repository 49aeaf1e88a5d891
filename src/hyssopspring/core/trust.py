"""Trust level of a host in its configuration."""

import enum

from .sentinels import NOTHING

MAX_FREEZE_SECONDS = 1.5
"""Gap between two runs of the event loop after which a host counts as
frozen."""

MAX_REPLY_AGE_SECONDS = 1.5
"""Age of the last platform reply up to which a host counts as in contact."""

MAX_CONTACT_AGE_SECONDS = 1.5
"""Age of the last direct or indirect contact with the platform up to which a
host has full trust."""

RESTRICTION_HOLD_SECONDS = (
    MAX_REPLY_AGE_SECONDS + MAX_CONTACT_AGE_SECONDS + 0.05
)
"""Time for which all listed hosts must keep confirming a restriction before it
comes into force. A partitioned host, which the platform may no longer list,
loses its full trust within this time. A neighbour may report its contact when
its last reply is at the age limit, so the two limits are added."""


class TrustLevel(enum.Enum):
    """Extent to which a host may rely on its configuration."""

    FULL = "full"
    HOME_ONLY = "home only"


class Trust:
    """Determine whether a host may have missed a withdrawal of rights.

    A restriction comes into force once all hosts that the platform lists,
    at least one in each affected data centre, have confirmed it and have
    enforced it for some time. A host that was frozen or unreachable may
    have been omitted and would continue to use a withdrawn right. A host
    has certainly not been omitted if one of these rules applies:

    - The platform was read recently, by the host itself or by a neighbour.
    - The host has recently received a message from every neighbour, and
      none has a newer generation. One of them would have had to confirm
      the restriction.

    Otherwise the host serves only the workspaces whose home is its region.
    Messages from other data centres are no proof, since their senders may
    be partitioned together with the host. While the platform is down for
    all hosts, the second rule keeps the system in operation.

    Args:
        now: Time on the host's clock, in seconds.

    Attributes:
        neighbours: Callable that takes the time and returns whether the
            second rule applies.
    """

    def __init__(self, now):
        self.last_wakeup_at = now
        self.last_contact_at = now
        self.last_reply_at = now
        self.resumed_at = now
        self.neighbours = no_neighbours
        self.frozen = False

    def record_wakeup(self, now):
        """Record that the event loop runs; to be called often."""
        if now - self.last_wakeup_at > MAX_FREEZE_SECONDS:
            self.frozen = True
            self.resumed_at = now
        self.last_wakeup_at = now

    def record_platform_reply(self, asked_at, now, *, verified=False):
        """Record a reply of the platform.

        Args:
            asked_at: Time of the request; the reply may be as old as that.
            now: Time on the host's clock, in seconds.
            verified: Whether the reply is the configuration and certainly
                the newest one. After a gap in the contact this is
                required, because a restriction may have come into force
                in the meantime.
        """
        if not verified and self.level(now) is not TrustLevel.FULL:
            return
        self.last_reply_at = max(self.last_reply_at, asked_at)
        self.last_contact_at = max(self.last_contact_at, asked_at)

    def record_neighbour_contact(self, now):
        """Record a message of a neighbour that has just read the platform."""
        self.last_contact_at = now

    def record_verification(self, asked_at):
        """Record that the newest configuration, requested at a time, arrived.

        Messages that were queued while the host was frozen are no evidence
        of the current state. A reply to a request that was sent
        afterwards is.

        Args:
            asked_at: Time of the request.
        """
        if asked_at >= self.resumed_at:
            self.frozen = False

    def in_contact(self, now):
        """Return whether this host itself has recently read the platform."""
        return now - self.last_reply_at <= MAX_REPLY_AGE_SECONDS

    def level(self, now):
        """Return the `TrustLevel` at the time *now*.

        The first request after a freeze may be handled before the timers
        of the event loop, so the time since the last wake-up is checked
        here as well.
        """
        self.record_wakeup(now)
        if self.frozen:
            return TrustLevel.HOME_ONLY
        if now - self.last_contact_at <= MAX_CONTACT_AGE_SECONDS:
            return TrustLevel.FULL
        if self.neighbours(now):
            return TrustLevel.FULL
        return TrustLevel.HOME_ONLY

    def permitted(self, residency, home, region, now):
        """Return the part of a residency that this host may use.

        Args:
            residency: Regions that the configuration permits.
            home: Home region of the workspace.
            region: Region of this host.
            now: Time on the host's clock, in seconds.

        Returns:
            Set of regions, or `NOTHING` if the host must not handle the
            request at all.
        """
        if self.level(now) is TrustLevel.FULL:
            return residency
        if home != region:
            return NOTHING
        return residency & {region}


def no_neighbours(now):
    """Second rule of `Trust` for a host without neighbours."""
    return True
