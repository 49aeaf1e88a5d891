"""How far a host may trust the configuration that it holds."""

import enum

from .sentinels import NOTHING

MAX_FREEZE_SECONDS = 1.5
MAX_REPLY_AGE_SECONDS = 1.5
MAX_CONTACT_AGE_SECONDS = 1.5
RESTRICTION_HOLD_SECONDS = (
    MAX_REPLY_AGE_SECONDS + MAX_CONTACT_AGE_SECONDS + 0.05
)


class TrustLevel(enum.Enum):
    """What a host may do by its configuration."""

    FULL = "full"
    HOME_ONLY = "home only"


class Trust:
    """Tell whether rights may have been withdrawn unheard.

    A restriction comes into force once all hosts that the platform lists
    have confirmed it, at least one in each data centre concerned, and
    have held to it for a while. A host that was frozen, or that nobody
    could reach, may have been left out. It would go on using a right
    that is gone. It is sure not to have been left out if

    - the platform was read just now, by itself or by a neighbour; or
    - it has just heard every neighbour, and none is ahead: one of them
      would have had to confirm.

    Otherwise it serves only the workspaces at home in its region. Word
    of other data centres is no proof, since those who speak may be cut
    off together with it. While the platform is down for all, the second
    rule keeps everything going.

    Args:
        now: Time on the host's clock, in seconds.

    Attributes:
        neighbours: Called with the time; whether the second rule holds.
    """

    def __init__(self, now):
        self.last_wakeup_at = now
        self.last_contact_at = now
        self.last_reply_at = now
        self.resumed_at = now
        self.neighbours = no_neighbours
        self.frozen = False

    def record_wakeup(self, now):
        """Note that the event loop runs; called often."""
        if now - self.last_wakeup_at > MAX_FREEZE_SECONDS:
            self.frozen = True
            self.resumed_at = now
        self.last_wakeup_at = now

    def record_platform_reply(self, asked_at, now, *, verified=False):
        """Note word of the platform.

        Args:
            asked_at: When it was asked for; the answer is no newer.
            now: Time on the host's clock, in seconds.
            verified: Whether it was the configuration, and surely the
                newest. After a gap in the contact nothing less will do:
                a restriction may have come into force in the meantime.
        """
        if not verified and self.level(now) is not TrustLevel.FULL:
            return
        self.last_reply_at = max(self.last_reply_at, asked_at)
        self.last_contact_at = max(self.last_contact_at, asked_at)

    def record_neighbour_contact(self, now):
        """Note word of a neighbour that has just read the platform."""
        self.last_contact_at = now

    def record_verification(self, asked_at):
        """Note a newest configuration that was asked for at *asked_at*.

        Messages that waited in a queue while the host was frozen say
        nothing of the present; an answer to a question that was asked
        afterwards does.
        """
        if asked_at >= self.resumed_at:
            self.frozen = False

    def in_contact(self, now):
        """Whether this host itself has just read the platform."""
        return now - self.last_reply_at <= MAX_REPLY_AGE_SECONDS

    def level(self, now):
        """Return the `TrustLevel` at *now*.

        The first request after a freeze may come before the loop's own
        timers, so the time since the last wake counts here too.
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
        """Return what is left of a request's residency.

        Args:
            residency: Regions that the configuration permits.
            home: Home region of the workspace.
            region: Region of this host.
            now: Time on the host's clock, in seconds.

        Returns:
            Set of regions, or `NOTHING` if the host must not decide on
            the request at all.
        """
        if self.level(now) is TrustLevel.FULL:
            return residency
        if home != region:
            return NOTHING
        return residency & {region}


def no_neighbours(now):
    """Stand for the neighbours of a host that has none."""
    return True
