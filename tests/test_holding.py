"""Requests at a host that has just started."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength
from twisted.internet import defer, task

from hyssopspring.entry.callers import MAX_STARTUP_WAIT_SECONDS
from hyssopspring.entry.holding import MAX_QUEUED_REQUESTS, HoldingQueue


class Request:
    """A request whose caller may disconnect."""

    def __init__(self):
        self.done = defer.Deferred()

    def notifyFinish(self):
        """Return a deferred that fails when the caller disconnects."""
        return self.done


class Recorder:
    """Record the requests that a queue serves and refuses."""

    def __init__(self):
        self.clock = task.Clock()
        self.served = []
        self.refused = []
        self.queue = HoldingQueue(
            self.clock,
            MAX_STARTUP_WAIT_SECONDS,
            lambda request, arrived: self.served.append((request, arrived)),
            self.refused.append,
        )


@pytest.fixture
def recorder():
    """Return a `Recorder`."""
    return Recorder()


def test_a_request_waits_for_the_first_configuration(recorder):
    """A request is queued while the host reads its first configuration.

    After a power failure of all hosts, the first host that responds is still
    reading the store in another region. Callers retry only once, and would be
    refused by a host that could serve them 0.3 s later.
    """
    request = Request()
    recorder.clock.advance(1.0)
    assert recorder.queue.enqueue(request, recorder.clock.seconds())
    recorder.clock.advance(0.3)
    recorder.queue.refuse_expired(recorder.clock.seconds())
    recorder.queue.release()
    assert_that(recorder.served, Equals([(request, 1.0)]))
    assert_that(recorder.refused, HasLength(0))


def test_it_is_refused_once_the_store_does_not_answer(recorder):
    """Queued requests are refused in time while the store is silent.

    Otherwise callers would wait until their deadline.
    """
    request = Request()
    recorder.queue.enqueue(request, recorder.clock.seconds())
    recorder.clock.advance(MAX_STARTUP_WAIT_SECONDS)
    recorder.queue.refuse_expired(recorder.clock.seconds())
    recorder.queue.release()
    assert_that(recorder.refused, Equals([request]))
    assert_that(recorder.served, HasLength(0))


def test_a_caller_that_left_is_not_served(recorder):
    """A request whose caller disconnects while it is queued does not run."""
    request = Request()
    recorder.queue.enqueue(request, recorder.clock.seconds())
    request.done.errback(ConnectionError("left"))
    recorder.queue.release()
    assert_that(recorder.served, HasLength(0))


def test_an_error_with_one_request_drops_no_other(recorder):
    """Guards against requests that are neither served nor refused."""
    requests = [Request() for _ in range(3)]
    for request in requests:
        recorder.queue.enqueue(request, 0.0)
    serve = recorder.queue.serve
    recorder.queue.serve = None
    with pytest.raises(TypeError):
        recorder.queue.release()
    recorder.queue.serve = serve
    recorder.queue.release()
    served = [request for request, _ in recorder.served]
    assert_that(served, Equals(requests[1:]))


def test_few_wait_at_once(recorder):
    """The queue is bounded, so that a starting host keeps free memory."""
    for _ in range(MAX_QUEUED_REQUESTS):
        assert recorder.queue.enqueue(Request(), 0.0)
    assert not recorder.queue.enqueue(Request(), 0.0)
