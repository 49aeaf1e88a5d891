"""How long the engines of a service read, learned from what they do."""

from dataclasses import dataclass, field

__all__ = ["PrefillTimes", "attention_pairs"]

TOKENS_UNIT = 1e4
PAIRS_UNIT = 1e8
"""Units of tokens, and of pairs of tokens, in which the figures are
learned; both features of a long prompt are then about 1."""

INITIAL_COEFFICIENTS = (0.01, 0.25, 0.03)
"""Seconds to a first event besides the reading, for ten thousand tokens,
and for a hundred million pairs, before anything was observed: figures
between those of the engines that the users' sheets describe."""

INITIAL_STD_DEVS = (0.01, 0.15, 0.03)
"""Standard deviation of the first figures; a dozen prompts outweigh it."""

NOISE_SECONDS = 0.03
"""Standard deviation of one observation in seconds: a step of the batch
and a chunk of another prompt."""

COVARIANCE_DRIFT = 1e-4
"""Part of the first doubt that returns with each observation, so that
the figures follow a service whose engines change."""

MIN_CLIP_SECONDS = 0.05
CLIP_FRACTION = 0.3
"""Most seconds, and part of the expected time, by which one observation
counts as off: an engine that is slow or stalled tells little of the rest."""

MIN_COEFFICIENTS = (0.002, 0.01, 0.0)
"""Lower bounds of the figures; reading a million tokens in a second and
more would make load invisible."""


@dataclass(slots=True, eq=False)
class PrefillTimes:
    """Seconds of reading as a function of a prompt, for one service.

    The time has a fixed part, a part for each token and one for each pair
    of a token and one before it. The three are estimated by recursive
    least squares from prompts that an engine read with none before them.

    Attributes:
        values: The three figures, in the units of this module.
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
        """Return the seconds to a first event of an engine that is idle.

        Args:
            uncached: Tokens of the prompt that it must read.
            pairs: Pairs of tokens among which it must attend.
        """
        fixed, by_token, by_pair = self.coefficients
        of_tokens = by_token * uncached / TOKENS_UNIT
        return fixed + of_tokens + by_pair * pairs / PAIRS_UNIT

    def learn(self, uncached, pairs, observed):
        """Learn from a prompt whose first event came after *met* seconds."""
        features = (1.0, uncached / TOKENS_UNIT, pairs / PAIRS_UNIT)
        expected = self.seconds(uncached, pairs)
        most = max(MIN_CLIP_SECONDS, CLIP_FRACTION * expected)
        error = min(most, max(-most, observed - expected))
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
    """Return the pairs of tokens among which an engine attends.

    Args:
        tokens: Tokens of the prompt.
        uncached: Those at its end that are not cached.
    """
    return uncached * (tokens - uncached / 2)


def dot(left, right):
    """Return the sum of the products of two rows."""
    return sum(a * b for a, b in zip(left, right, strict=True))
