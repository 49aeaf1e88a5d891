"""Prefill times of the engines of a service, learned from requests."""

from dataclasses import field

from ..core.records import dataclass

__all__ = ["PrefillTimes", "attention_pairs"]

TOKENS_UNIT = 1e4
PAIRS_UNIT = 1e8
"""Units of tokens, and of pairs of tokens, for the learned coefficients. Both
features of a long prompt are then about 1."""

INITIAL_COEFFICIENTS = (0.01, 0.25, 0.03)
"""Seconds to a first event besides the prefill, for ten thousand tokens, and
for a hundred million pairs, before any observation. The values lie between
those of the engines that the users' sheets describe."""

INITIAL_STD_DEVS = (0.01, 0.15, 0.03)
"""Standard deviations of the initial coefficients. A dozen prompts outweigh
them."""

NOISE_SECONDS = 0.03
"""Standard deviation of one observation in seconds, caused by a step of the
batch and a chunk of another prompt."""

COVARIANCE_DRIFT = 1e-4
"""Fraction of the initial variance that is added again with each observation,
so that the coefficients follow a service whose engines change."""

MIN_CLIP_SECONDS = 0.05
CLIP_FRACTION = 0.3
"""Maximum error of one observation, in seconds and as a fraction of the
expected time; the larger bound applies. The time of an engine that is slow or
stalled says little about the other engines."""

MIN_COEFFICIENTS = (0.002, 0.01, 0.0)
"""Lower bounds of the coefficients. With an engine that prefills a million
tokens a second or more, the predictions would not show any load."""


@dataclass(slots=True, eq=False)
class PrefillTimes:
    """Prefill time as a function of the prompt, for one service.

    The time has a fixed part, a part for each token and one for each pair of a
    token and one before it. The three coefficients are estimated by recursive
    least squares from prompts that had no other prompt before them in the
    queue.

    Attributes:
        coefficients: The three coefficients, in the units of this module.
        covariance: Their covariance, a row for each.
    """

    coefficients: list = field(
        default_factory=lambda: list(INITIAL_COEFFICIENTS)
    )
    covariance: list = field(
        default_factory=lambda: [
            [
                INITIAL_STD_DEVS[row] ** 2 if row == column else 0.0
                for column in range(3)
            ]
            for row in range(3)
        ]
    )

    def seconds(self, uncached, pairs):
        """Return the seconds to a first event on an idle engine.

        Args:
            uncached: Tokens of the prompt that it must prefill.
            pairs: Pairs of tokens that it must attend over.
        """
        fixed, by_token, by_pair = self.coefficients
        of_tokens = by_token * uncached / TOKENS_UNIT
        return fixed + of_tokens + by_pair * pairs / PAIRS_UNIT

    def learn(self, uncached, pairs, observed):
        """Learn from a prompt whose first event took *observed* seconds."""
        features = (1.0, uncached / TOKENS_UNIT, pairs / PAIRS_UNIT)
        expected = self.seconds(uncached, pairs)
        max_error = max(MIN_CLIP_SECONDS, CLIP_FRACTION * expected)
        error = min(max_error, max(-max_error, observed - expected))
        projection = [dot(row, features) for row in self.covariance]
        scale = NOISE_SECONDS**2 + dot(projection, features)
        gain = [one / scale for one in projection]
        for row in range(3):
            value = self.coefficients[row] + gain[row] * error
            self.coefficients[row] = max(MIN_COEFFICIENTS[row], value)
            for column in range(3):
                self.covariance[row][column] -= gain[row] * projection[column]
            self.covariance[row][row] += (
                COVARIANCE_DRIFT * INITIAL_STD_DEVS[row] ** 2
            )


def attention_pairs(tokens, uncached):
    """Return the pairs of tokens that an engine attends over.

    Args:
        tokens: Tokens of the prompt.
        uncached: Those at its end that are not cached.
    """
    return uncached * (tokens - uncached / 2)


def dot(left, right):
    """Return the dot product of two rows."""
    return sum(a * b for a, b in zip(left, right, strict=True))
