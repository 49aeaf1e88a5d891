"""The origin of the configuration in force, for log lines."""

import enum
from dataclasses import dataclass

from ..core.revisions import era_of, number_of
from ..core.sentinels import NOTHING

__all__ = ["Channel", "Origin", "Provenance"]

STORE = "store"
NEVER_AGE_SECONDS = 1e6
"""Age that represents "never" in a log line."""


class Channel(enum.Enum):
    """The channel by which a change of the store reached this host."""

    WATCH = "watch"
    LISTING = "listing"
    PROBE = "probe"
    CHANGE = "change"
    COPY = "copy"


@dataclass(frozen=True, slots=True)
class Origin:
    """The host that a change was received from, and the channel.

    Attributes:
        channel: The `Channel`.
        host: Name or address of the sending host, or ``store``.
    """

    channel: Channel
    host: str = STORE


class Provenance:
    """Record the origin and the age of the configuration in force.

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
        """Record that a configuration has come into force.

        Args:
            origin: Its `Origin`, or `NOTHING` if unknown.
            revision: Revision of the store at which it was written, with its
                era.
        """
        self.origin = origin
        self.revision = revision
        self.applied_at = self.clock.seconds()

    def details(self):
        """Return the fields about the configuration for log lines."""
        if self.applied_at is NOTHING:
            return {"version": 0}
        origin = self.origin or Origin(Channel.LISTING, "")
        return {
            "version": self.keeper.version,
            "revision": number_of(self.revision),
            "era": era_of(self.revision),
            "version_by": origin.channel.value,
            "version_from": origin.host,
            "version_for": round(self.clock.seconds() - self.applied_at, 1),
            "view_age": round(min(self.view.age, NEVER_AGE_SECONDS), 1),
        }
