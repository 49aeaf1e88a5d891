"""Clients on networks that delay or drop connections."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import IsInstance
from twisted.internet import defer, error
from twisted.internet.task import Clock

from hyssopspring.core.exceptions import KeyValueError
from hyssopspring.stores.etcd import EtcdKeyValue
from hyssopspring.stores.keyvalues import WriteUnknown


class SilentAgent:
    """An agent whose connections are never established.

    Args:
        raised: Error of a connection attempt that is cancelled.
    """

    def __init__(self, raised):
        self.raised = raised

    def request(self, method, url, headers, body):
        """Return a deferred that fails only when it is cancelled."""
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
    """A platform that drops connections is reported as unavailable.

    Guards against a traceback in the log and claims that are refused
    without a record of the outage: connections are dropped instead of
    refused, and cancelling the attempt raises an unexpected error.
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
