"""Clients towards a network that answers late, badly or not at all."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import IsInstance
from twisted.internet import defer, error
from twisted.internet.task import Clock

from hyssopspring.core.exceptions import KeyValueError
from hyssopspring.stores.etcd import EtcdKeyValue
from hyssopspring.stores.keyvalues import WriteUnknown


class SilentAgent:
    """An agent whose connections are never made.

    Args:
        raised: What a connection attempt that is given up fails with.
    """

    def __init__(self, raised):
        self.raised = raised

    def request(self, method, url, headers, body):
        """Return a deferred that fires only when it is cancelled."""
        return defer.Deferred(lambda made: made.errback(self.raised))


@pytest.mark.parametrize(
    "raised",
    [
        error.ConnectingCancelledError(None),
        defer.CancelledError(),
        error.TimeoutError(),
    ],
)
def test_platform_that_drops_connections_is_a_typed_failure(raised):
    """A platform that cannot be connected to fails as one that is down.

    An operator would see a trace in the log and claims that are refused
    without the outage being noted: connections are dropped rather than
    refused, and giving up on one raises an error that nobody expects.
    """
    clock = Clock()
    store = EtcdKeyValue("http://127.0.0.1:1", SilentAgent(raised), clock)
    read = defer.ensureDeferred(store.get("k"))
    write = defer.ensureDeferred(store.swap("k", b"", 0))
    results = []
    write.addCallback(results.append)
    failures = []
    read.addErrback(failures.append)
    clock.advance(1.1)
    assert_that(failures[0].value, IsInstance(KeyValueError))
    assert_that(results[0], IsInstance(WriteUnknown))
