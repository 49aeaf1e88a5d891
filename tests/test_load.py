"""Placement under the loads that the first users describe, emulated.

The lengths of prompts, the rates, the objectives and the speed of an
engine are those of the users' sheet; see `hyssopspring_fakes.emulation`.
The bounds lie a little below what was met with seeds 1 to 3, and above
what the least loaded engine of the caller's own region reaches.
"""

import dataclasses

import pytest

from hyssopspring_fakes.emulation import QUOTE, REVIEW, Shape, emulate

EVEN = {"dar": 1.0, "arusha": 1.0, "mwanza": 1.0}


def scaled(weights, by):
    """Return a function of time that gives *weights* times *by*."""
    total = sum(weights.values())
    return lambda now: {
        name: weight * by / total for name, weight in weights.items()
    }


PEAK = Shape(
    engines={"dar": 2, "arusha": 2, "mwanza": 1},
    weights=scaled({"dar": 0.3, "arusha": 0.3, "mwanza": 2.3}, 1.3),
)
"""A region with one engine of five has eight times the callers of each of
the others, and the whole load is 1.3 times its mean."""

ONE_LEFT = Shape(
    engines={"dar": 1, "arusha": 0, "mwanza": 0},
    weights=scaled(EVEN, 1.0),
)
"""One engine of five is left for the load of all regions."""

CALM = Shape(
    engines={"dar": 2, "arusha": 2, "mwanza": 1}, weights=scaled(EVEN, 1.0)
)


def play(shape, seed=1, **changes):
    """Return the outcome of a shape, some fields of it changed."""
    return emulate(dataclasses.replace(shape, **changes), seed)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_peak_in_the_smallest_region_is_served_by_all(seed):
    """Callers of one region wait while engines elsewhere are idle.

    The smallest region has its peak. Its own engine cannot read all
    prompts in time; the least loaded engine there is a queue of seconds.
    """
    outcome = play(PEAK, seed)
    nearest = play(PEAK, seed, policy="nearest")
    assert outcome.share() > 0.9
    assert outcome.share(region="mwanza") > 0.88
    assert nearest.share(region="mwanza") < 0.5


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_one_engine_left_serves_what_it_can_and_refuses_the_rest(seed):
    """All callers wait for seconds at the last engine, and all leave late.

    The engine stands about half of the load. What it cannot begin in time
    is refused at once, so what it begins is in time, the urgent first.
    """
    outcome = play(ONE_LEFT, seed)
    begun = [one for one in outcome.loads if one.first_at]
    in_time = sum(one.in_time for one in begun) / len(begun)
    assert outcome.share() > 0.3
    assert outcome.refused() > 0.2
    assert in_time > 0.6
    assert outcome.share("quote") > outcome.share("review")


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_shared_parts_are_read_by_few_engines(seed):
    """Engines read the same parts of prompts over and over.

    On a calm day each region sends a subject to the engine that has read
    it; the least loaded engine has often not.
    """
    outcome = play(CALM, seed)
    nearest = play(CALM, seed, policy="nearest")
    assert outcome.share() > 0.97
    assert outcome.tokens_shared_again < 0.85 * nearest.tokens_shared_again


MANY_REVIEWS = dataclasses.replace(REVIEW, rate=138.0, choices=(4, 289))
BOUND_QUOTES = dataclasses.replace(
    QUOTE,
    rate=133.0,
    choices=(40, 19),
    regions=frozenset(("dar", "arusha")),
)
DAR_PEAK = Shape(
    engines={"dar": 20, "arusha": 15, "mwanza": 10},
    weights=scaled({"dar": 5.6, "arusha": 0.34, "mwanza": 0.34}, 1.7),
    seconds=6.0,
    kinds=(MANY_REVIEWS, BOUND_QUOTES),
    slots=48,
    memory=303_376,
)
"""Half-day peaks of a larger fleet: one region has 2.8 times its mean, the
others 0.17, and the whole load is 1.7 times its mean; quotes may be served
in two regions of three."""

HALF_OF_DAR = dataclasses.replace(
    DAR_PEAK, engines={"dar": 10, "arusha": 15, "mwanza": 10}
)
"""One of the two data centres of that region is evacuated meanwhile."""


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_peak_of_a_large_region_fills_the_others(seed):
    """Callers are refused in one region while engines elsewhere are idle.

    Its engines are full, those of the other regions seem to have five in
    48 slots. Counting what is sent away against each told server, and
    going where parts were sent before, brings the peak to all engines.
    """
    outcome = play(DAR_PEAK, seed)
    assert outcome.share() > 0.97
    assert outcome.refused() < 0.01


def test_half_of_a_region_at_its_peak_serves_the_urgent():
    """An evacuation at the peak: more work than 35 engines can read.

    The urgent quotes are served; of the reviews as many as can be.
    """
    outcome = play(HALF_OF_DAR)
    assert outcome.share("quote") > 0.86
    assert outcome.share("review") > 0.6
