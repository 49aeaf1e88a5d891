"""By how much predictions are exceeded, learned from what was met."""

from dataclasses import dataclass

__all__ = ["Margin"]

COVERED_FRACTION = 0.85
"""Part of the requests that must begin within prediction and margin. One
that is admitted and begins too late has cost the engine as much as one in
time, and its caller is served less than by a refusal and a second try."""

STEP_SECONDS = 0.004
"""Seconds by which one observation moves the margin: some twenty late
requests in a row make it worth a step of the batch."""

MAX_MARGIN_SECONDS = 0.2
"""Seconds of the largest margin, a quarter of a usual objective; more would
refuse what could be on time because of a few stalled engines."""


@dataclass(slots=True, eq=False)
class Margin:
    """A quantile of the time met less the time predicted, for one service.

    In calm times what was predicted holds and the margin is 0. When engines
    are full, steps of the batch between two chunks of a prompt and prompts
    that overtake add up, and what was predicted just in time is late.

    Attributes:
        seconds: The margin.
    """

    seconds: float = 0.0

    def learn(self, predicted, observed):
        """Learn from a request that was to begin after *predicted* seconds.

        The steps up and down balance where `COVERED_FRACTION` of the errors
        lie below the margin, whatever their distribution.
        """
        exceeded = observed - predicted > self.seconds
        step = COVERED_FRACTION if exceeded else COVERED_FRACTION - 1.0
        self.seconds = min(
            MAX_MARGIN_SECONDS, max(0.0, self.seconds + step * STEP_SECONDS)
        )
