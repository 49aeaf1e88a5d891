"""The history checkers find the faults that they are meant for."""

from histories import Step, check_claims, check_generations
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength


def test_second_grant_of_a_held_key_is_found():
    """Two grants without a release between them are a fault."""
    history = [Step("granted", "k", "a"), Step("granted", "k", "b")]
    assert_that(check_claims(history), HasLength(1))


def test_release_by_another_frees_nothing():
    """Only the holder's own release frees a key."""
    history = [
        Step("granted", "k", "a"),
        Step("released", "k", "b"),
        Step("granted", "k", "b"),
    ]
    assert_that(check_claims(history), HasLength(1))


def test_grant_after_release_is_sound():
    """A released key may be granted again."""
    history = [
        Step("granted", "k", "a"),
        Step("released", "k", "a"),
        Step("granted", "k", "b"),
    ]
    assert_that(check_claims(history), Equals([]))


def test_generation_that_goes_back_is_found():
    """A host that returns to an older generation is a fault."""
    history = [("h", 2, "x"), ("h", 1, "y")]
    assert_that(check_generations(history), HasLength(1))


def test_two_contents_of_one_generation_are_found():
    """Hosts that differ on a generation are a fault."""
    history = [("h", 1, "x"), ("i", 1, "y")]
    assert_that(check_generations(history), HasLength(1))
