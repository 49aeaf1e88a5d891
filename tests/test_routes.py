"""Routes, split routes and configuration versions that only increase."""

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
    """Guards against a wider route that takes the paths of a narrower one."""
    wide, narrow = make_route("/a/"), make_route("/a/b/")
    configuration = Configuration(version=1, routes=(wide, narrow))
    assert_that(configuration.find_route("a.example", "/a/b/c"), Is(narrow))
    assert_that(configuration.find_route("a.example", "/a/c"), Is(wide))
    assert_that(configuration.find_route("a.example", "/c"), Is(NOTHING))
    assert_that(configuration.find_route("b.example", "/a/c"), Is(NOTHING))


def test_a_split_route_sends_each_request_to_one_service():
    """Guards against hosts that choose different services for a request.

    A forwarded request would otherwise change its service on the way, and run
    at one that the sending host did not choose.
    """
    route = make_route("/a/", services=("old", "new"))
    chosen = [route.service_for(f"request-{n}") for n in range(400)]
    again = [route.service_for(f"request-{n}") for n in range(400)]
    assert_that(chosen, Equals(again))
    assert 120 < chosen.count("old") < 280


def test_a_version_never_goes_back():
    """Guards against a response of an old version after one of the new.

    A slow read of the store ends after a newer one. It brings the older
    version, which must not come into force again.
    """
    keeper = ConfigurationKeeper()
    assert keeper.offer(Configuration(version=7))
    assert not keeper.offer(Configuration(version=4))
    assert not keeper.offer(Configuration(version=7))
    assert_that(keeper.version, Equals(7))


def test_only_resumable_streams_may_run_again():
    """Guards against running a review stream twice; a quote may resume."""
    stream = {"kind": RequestKind.STREAM}
    assert not make_route("/a/", **stream).repeatable
    assert make_route("/a/", resumable=True, **stream).repeatable
    once = make_route("/a/", kind=RequestKind.NON_IDEMPOTENT)
    assert not once.repeatable
