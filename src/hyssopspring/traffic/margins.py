"""Safety margins of predictions, learned from their errors."""

from ..core.records import dataclass

__all__ = ["Margin"]

COVERED_FRACTION = 0.85
"""Fraction of the requests that must start within prediction and margin. A
request that is admitted and starts too late has cost the engine as much as
one that is on time, and serves its caller less than a refusal and a retry
would."""

STEP_SECONDS = 0.004
"""Seconds by which one observation moves the margin. About twenty late
requests in a row raise it by the time of a step of the batch."""

MAX_MARGIN_SECONDS = 0.2
"""Maximum margin in seconds, a quarter of a usual objective. A larger one
would refuse requests that could be on time because of a few stalled
engines."""


@dataclass(slots=True, eq=False)
class Margin:
    """A quantile of the observed less the predicted time, for one service.

    At low load the predictions hold and the margin is 0. When engines are
    full, steps of the batch between two chunks of a prompt and prompts that
    overtake add up, and requests that were predicted to be just in time are
    late.

    Attributes:
        seconds: The margin.
    """

    seconds: float = 0.0

    def learn(self, predicted, observed):
        """Learn from a request that was predicted to start in *predicted* s.

        The steps up and down balance where `COVERED_FRACTION` of the errors
        lie below the margin, whatever their distribution.
        """
        exceeded = observed - predicted > self.seconds
        step = COVERED_FRACTION if exceeded else COVERED_FRACTION - 1.0
        self.seconds = min(
            MAX_MARGIN_SECONDS, max(0.0, self.seconds + step * STEP_SECONDS)
        )
