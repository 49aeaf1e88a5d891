"""Mechanisms of the policy that can be disabled to measure their effect."""

import enum

from ..core.exceptions import SettingsError

__all__ = ["Mechanism", "parse_disabled"]


class Mechanism(enum.Enum):
    """A mechanism of the policy, and the behaviour without it."""

    HEAD = "a prompt that is read now is taken to stand back for urgent ones"
    FIGURES = "the time of reading stays at the first figures"
    ANSWERS = "how slowly a server makes an answer does not count"
    OVERTAKING = "more urgent prompts that will come do not count"
    COPIES = "no server copies cached parts from another"
    AFFINITY = "what was sent to a region is not taken as cached there"
    AWAY = "no request leaves its region unless no server is open there"
    LATE = "what cannot be on time is refused"
    MARGIN = "what is predicted just in time is taken to be in time"
    ERRORS = "how often a server fails does not count"
    PAUSES = "gaps between the events of streams do not count"
    SLOTS = "a prompt that waits for a slot is taken to be in prefill"
    HEADROOM = "all wait alike for slots, and none leaves room for bound ones"
    SCHEDULE = "who is refused is told a time that nothing is kept free for"
    SPEEDS = "all servers of a service are taken to be equally fast"

    @property
    def label(self):
        """Its name in settings and in the event log."""
        return self.name.lower()


def parse_disabled(text):
    """Return the mechanisms that a setting disables.

    Args:
        text: Their labels, separated by commas; may be empty.

    Raises:
        SettingsError: A label is not that of a mechanism.
    """
    mechanisms = {mechanism.label: mechanism for mechanism in Mechanism}
    labels = [label.strip() for label in text.split(",") if label.strip()]
    for label in labels:
        if label not in mechanisms:
            names = ", ".join(sorted(mechanisms))
            raise SettingsError(
                f"unknown mechanism {label!r}; known mechanisms: {names}"
            )
    return frozenset(mechanisms[label] for label in labels)
