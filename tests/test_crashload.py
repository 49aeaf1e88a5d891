"""One request under which engines end, under the users' loads, emulated.

Five engines of three regions, as the first users have. The request comes
again every four seconds in the mean, to one or two regions at once, from an
address of its own in each. Callers' rates are those of the users' sheets,
and 1.8 times that, where engines are full and requests wait.
"""

import dataclasses

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from hyssopspring_fakes.crashload import CrashEmulation, Repeats
from hyssopspring_fakes.emulation import QUOTE, REVIEW, Shape

MOST_RETRIES = 3


def play(seed, scale, every=4.0, **changes):
    """Return the tally and the outcome of a load of 25 seconds."""
    kinds = tuple(
        dataclasses.replace(kind, rate=kind.rate * scale)
        for kind in (REVIEW, QUOTE)
    )
    weights = {"dar": 0.4, "arusha": 0.35, "mwanza": 0.25}
    shape = Shape(
        engines={"dar": 2, "arusha": 2, "mwanza": 1},
        weights=lambda now: weights,
        seconds=25.0,
        kinds=kinds,
    )
    repeats = Repeats(every=every, at_once=2, kind=QUOTE, **changes)
    emulation = CrashEmulation(shape, seed, repeats)
    outcome = emulation.run()
    return emulation.tally, outcome


@pytest.mark.parametrize("scale", [1.0, 1.8])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_engines_go_on_while_a_request_ends_those_that_run_it(seed, scale):
    """Half of all callers are cut or refused for as long as it comes.

    All engines of a region end within half a second, again and again.
    """
    tally, outcome = play(seed, scale)
    before, without = play(seed, scale, remembered=False)
    assert_that(tally.sent_late, LessThan(MOST_RETRIES + 1))
    assert_that(tally.refused_others, Equals(set()))
    assert tally.ended < before.ended
    assert outcome.share() > without.share() + 0.1


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_two_such_requests_are_both_found(seed):
    """The second hides behind the first, and goes on to end engines."""
    tally, _ = play(seed, 1.8, requests=2)
    assert_that(tally.sent_late, LessThan(MOST_RETRIES + 1))
    assert_that(tally.refused_others, Equals(set()))


@pytest.mark.parametrize("scale", [1.0, 1.8])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_engines_go_on_while_a_part_ends_those_that_run_it(seed, scale):
    """Half of all callers are cut or refused, as no two requests are alike.

    New requests with one part come every second and a half, beside sound ones
    with the same first part.
    """
    tally, outcome = play(seed, scale, every=1.5, part="bad")
    before, without = play(
        seed, scale, every=1.5, part="bad", remembered=False
    )
    assert_that(tally.sent_late, LessThan(MOST_RETRIES + 1))
    assert_that(tally.refused_others, Equals(set()))
    assert tally.ended < before.ended
    assert outcome.share() > without.share() + 0.1
