"""The safety margin of predictions."""

import random

from testtools.assertions import assert_that
from testtools.matchers import Equals

from hyssopspring.traffic.margins import (
    COVERED_FRACTION,
    MAX_MARGIN_SECONDS,
    Margin,
)

OBSERVATIONS = 4000


def test_the_margin_covers_most_errors():
    """Guard against requests that are admitted but start too late.

    Predictions are exceeded by up to 0.1 s, uniformly distributed. The margin
    must come near the value that covers all but a few of them, and stay there.
    """
    rng = random.Random(1)
    margin = Margin()
    for _ in range(OBSERVATIONS):
        margin.learn(0.5, 0.5 + rng.random() * 0.1)
    assert abs(margin.seconds - COVERED_FRACTION * 0.1) < 0.02


def test_the_margin_vanishes_at_low_load():
    """Guard against refusing callers while engines are idle."""
    margin = Margin(seconds=MAX_MARGIN_SECONDS)
    for _ in range(OBSERVATIONS):
        margin.learn(0.5, 0.45)
    assert_that(margin.seconds, Equals(0.0))


def test_a_stalled_engine_does_not_refuse_all():
    """Guard against a margin that grows without bound.

    One engine stalls for minutes.
    """
    margin = Margin()
    for _ in range(OBSERVATIONS):
        margin.learn(0.1, 60.0)
    assert_that(margin.seconds, Equals(MAX_MARGIN_SECONDS))
