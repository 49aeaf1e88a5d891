"""Where the configuration in force came from, for log lines."""

import enum
from dataclasses import dataclass

from ..core.sentinels import NOTHING

__all__ = ["Origin", "Provenance", "Channel"]

STORE = "store"
NEVER_AGE_SECONDS = 1e6
"""Age in seconds that stands for "never" on a line."""


class Channel(enum.Enum):
    """How a change of the store reached this host."""

    WATCH = "watch"
    LISTING = "listing"
    PROBE = "probe"
    CHANGE = "change"
    COPY = "copy"


@dataclass(frozen=True, slots=True)
class Origin:
    """Who told this host of a change, and how.

    Attributes:
        channel: The `Channel`.
        host: Name or address of the host that told, or ``store``.
    """

    channel: Channel
    host: str = STORE


class Provenance:
    """Tell how the configuration in force came here, and how old it is.

    Args:
        keeper: The `ConfigurationKeeper`.
        view: The `ConfirmedView`.
        clock: The runtime's clock.
    """

    def __init__(self, keeper, view, clock):
        self.keeper = keeper
        self.view = view
        self.clock = clock
        self.origin = NOTHING
        self.revision = 0
        self.applied_at = NOTHING

    def record_applied(self, origin, revision):
        """Note that a configuration has come into force.

        Args:
            origin: Its `Origin`, or `NOTHING` if unknown.
            revision: Revision of the store at which it was written.
        """
        self.origin = origin
        self.revision = revision
        self.applied_at = self.clock.seconds()

    def details(self):
        """Return what lines of a request tell of the configuration."""
        if self.applied_at is NOTHING:
            return {"version": 0}
        origin = self.origin or Origin(Channel.LISTING, "")
        return {
            "version": self.keeper.version,
            "revision": self.revision,
            "version_by": origin.channel.value,
            "version_from": origin.host,
            "version_for": round(self.clock.seconds() - self.applied_at, 1),
            "view_age": round(min(self.view.age, NEVER_AGE_SECONDS), 1),
        }
