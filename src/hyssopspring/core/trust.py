"""How far a host may trust the configuration that it holds."""

import enum

from .sentinels import NOTHING

LONGEST_FREEZE = 1.5
DIRECT_LIFE = 1.5
LONGEST_SILENCE = 1.5
RESTRICTION_HOLD = DIRECT_LIFE + LONGEST_SILENCE + 0.05


class Level(enum.Enum):
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
        self.awake_at = now
        self.heard_at = now
        self.direct_at = now
        self.thawed_at = now
        self.neighbours = alone
        self.frozen = False

    def wake(self, now):
        """Note that the event loop runs; called often."""
        if now - self.awake_at > LONGEST_FREEZE:
            self.frozen = True
            self.thawed_at = now
        self.awake_at = now

    def hear_direct(self, asked_at, now, *, verified=False):
        """Note word of the platform.

        Args:
            asked_at: When it was asked for; the answer is no newer.
            now: Time on the host's clock, in seconds.
            verified: Whether it was the configuration, and surely the
                newest. After a gap in the contact nothing less will do:
                a restriction may have come into force in the meantime.
        """
        if not verified and self.level(now) is not Level.FULL:
            return
        self.direct_at = max(self.direct_at, asked_at)
        self.heard_at = max(self.heard_at, asked_at)

    def hear_neighbour(self, now):
        """Note word of a neighbour that has just read the platform."""
        self.heard_at = now

    def verify(self, asked_at):
        """Note a newest configuration that was asked for at *asked_at*.

        Messages that waited in a queue while the host was frozen say
        nothing of the present; an answer to a question that was asked
        afterwards does.
        """
        if asked_at >= self.thawed_at:
            self.frozen = False

    def in_contact(self, now):
        """Whether this host itself has just read the platform."""
        return now - self.direct_at <= DIRECT_LIFE

    def level(self, now):
        """Return the `Level` at *now*.

        The first request after a freeze may come before the loop's own
        timers, so the time since the last wake counts here too.
        """
        self.wake(now)
        if self.frozen:
            return Level.HOME_ONLY
        if now - self.heard_at <= LONGEST_SILENCE:
            return Level.FULL
        if self.neighbours(now):
            return Level.FULL
        return Level.HOME_ONLY

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
        if self.level(now) is Level.FULL:
            return residency
        if home != region:
            return NOTHING
        return residency & {region}


def alone(now):
    """Stand for the neighbours of a host that has none."""
    return True
