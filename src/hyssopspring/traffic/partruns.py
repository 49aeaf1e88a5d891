"""Memory of the parts of prompts that have run without a crash."""

from collections import OrderedDict

from ..core.sentinels import NOTHING
from .crashes import RETENTION_SECONDS

__all__ = ["PartRuns"]

MAX_PART_RUNS = 8192
"""Parts that are remembered, about 1.5 MB. Parts that many requests have stay,
as each run renews them; most of the others occur once."""


class PartRuns:
    """The parts that ran well on this host's attempts, the latest last."""

    def __init__(self):
        self.times = OrderedDict()

    def record(self, keys, now):
        """Record that a server ran parts, given by their keys."""
        for key in keys:
            self.times[key] = now
            self.times.move_to_end(key)
        while len(self.times) > MAX_PART_RUNS:
            self.times.popitem(last=False)

    def last_run(self, key, now):
        """Return the time of the latest run of a part, or `NOTHING`."""
        at = self.times.get(key, NOTHING)
        if at is NOTHING or now - at > RETENTION_SECONDS:
            return NOTHING
        return at
