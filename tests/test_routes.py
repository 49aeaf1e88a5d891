"""Routes, split routes and versions that never go back."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from hyssopspring.core.sentinels import NOTHING
from hyssopspring.traffic.routes import (
    Configuration,
    ConfigurationKeeper,
    RequestKind,
    Route,
    WeightedService,
)


def make_route(prefix, *, name="", services=("plain",), **more):
    """Return a `Route` below *prefix*."""
    values = {
        "name": name or prefix,
        "host": "a.example",
        "prefix": prefix,
        "kind": RequestKind.IDEMPOTENT,
        "timeout": 2.5,
        "objective": 0.5,
        "services": tuple(WeightedService(one, 1.0) for one in services),
    }
    return Route(**{**values, **more})


def test_the_longest_prefix_selects_the_route():
    """A narrower route takes its paths from a wider one."""
    wide, narrow = make_route("/a/"), make_route("/a/b/")
    configuration = Configuration(version=1, routes=(wide, narrow))
    assert_that(configuration.find_route("a.example", "/a/b/c"), Is(narrow))
    assert_that(configuration.find_route("a.example", "/a/c"), Is(wide))
    assert_that(configuration.find_route("a.example", "/c"), Is(NOTHING))
    assert_that(configuration.find_route("b.example", "/a/c"), Is(NOTHING))


def test_a_split_route_sends_each_request_to_one_service():
    """All hosts that handle a request choose the same service.

    A request that is forwarded would otherwise change its service on the
    way, and run where its sender did not want it.
    """
    route = make_route("/a/", services=("old", "new"))
    chosen = [route.service_for(f"request-{n}") for n in range(400)]
    again = [route.service_for(f"request-{n}") for n in range(400)]
    assert_that(chosen, Equals(again))
    assert 120 < chosen.count("old") < 280


def test_a_version_never_goes_back():
    """A caller sees the new version, and then an answer of the old one.

    A read of the store that was slow ends after a newer one. It brings
    the older version, which must not come into force again.
    """
    keeper = ConfigurationKeeper()
    assert keeper.offer(Configuration(version=7))
    assert not keeper.offer(Configuration(version=4))
    assert not keeper.offer(Configuration(version=7))
    assert_that(keeper.version, Equals(7))


def test_only_resumable_streams_may_run_again():
    """A review that is streamed runs once; a quote may go on elsewhere."""
    stream = {"kind": RequestKind.STREAM}
    assert not make_route("/a/", **stream).repeatable
    assert make_route("/a/", resumable=True, **stream).repeatable
    once = make_route("/a/", kind=RequestKind.NON_IDEMPOTENT)
    assert not once.repeatable
