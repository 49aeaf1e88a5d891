"""Answers to callers and peers: sinks and the wire form of outcomes."""

import math

from ..core.exceptions import ensure
from ..core.outcomes import NotRun, Reason, Repeated, Unknown
from ..core.sentinels import NOTHING
from .serving import respond_error

STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.BAD_DEADLINE: 400,
    Reason.UNKNOWN_WORKSPACE: 401,
    Reason.RESIDENCY: 403,
    Reason.BAD_PEER: 403,
    Reason.UNKNOWN_MODEL: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.WRONG_METHOD: 405,
    Reason.CLAIM_IN_PROGRESS: 409,
    Reason.CLAIM_DONE: 409,
    Reason.CLAIM_UNKNOWN: 409,
    Reason.BODY_TOO_LARGE: 413,
    Reason.RATE_LIMIT: 429,
    Reason.CONCURRENCY_LIMIT: 429,
    Reason.OVERLOADED: 429,
}
NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 502
DEADLINE_STATUS = 504
CALLER_FAULTS = range(400, 409)

MESSAGES = {
    Reason.UNKNOWN_WORKSPACE: "the key belongs to no workspace",
    Reason.UNKNOWN_MODEL: "no such model",
    Reason.UNKNOWN_SERVICE: "no such service",
    Reason.RESIDENCY: "no region is left that may serve the request",
    Reason.NO_SERVER: "no backend server can take the request now",
    Reason.RATE_LIMIT: "the workspace's rate limit is reached",
    Reason.CONCURRENCY_LIMIT: "the workspace's concurrency is reached",
    Reason.LEAVING: "this host is leaving; use another one",
    Reason.NO_CONFIGURATION: "this host has no configuration yet",
    Reason.UNVERIFIED: "this host is cut off; use another one",
    Reason.CLAIMS_UNAVAILABLE: "the key cannot be recorded now",
    Reason.CLAIM_IN_PROGRESS: "a request with this key is in progress",
    Reason.CLAIM_DONE: "a request with this key has run",
    Reason.CLAIM_UNKNOWN: "a request with this key may have run",
    Reason.DEADLINE: "the deadline has passed",
}


class Sink:
    """Write one answer to a caller or a peer.

    Args:
        request: The `twisted.web.server.Request`.
        clock: The runtime's clock.
        headers: Names and values that each answer carries.
    """

    def __init__(self, request, clock, headers=()):
        self.request = request
        self.clock = clock
        self.headers = headers
        self.started = False
        self.finished = False
        self.first_at = NOTHING
        self.producer = NOTHING
        self.bytes = 0

    @property
    def gone(self):
        """Whether the other side has hung up."""
        return self.request._disconnected

    def start(self, status, headers, length=NOTHING):
        """Send the head of an answer.

        Args:
            status: HTTP status.
            headers: Names and values, as bytes.
            length: Length of the whole body, if it is known.
        """
        ensure(not self.started, "two answers to one request")
        self.started = True
        if self.gone:
            return
        self.request.setResponseCode(status)
        for name, value in (*self.headers, *headers):
            self.request.setHeader(name, value)
        if length is not NOTHING:
            self.request.setHeader(b"content-length", b"%d" % length)

    def write(self, data):
        """Send a part of the body."""
        ensure(self.started, "a body without a head")
        if self.first_at is NOTHING:
            self.first_at = self.clock.seconds()
        self.bytes += len(data)
        if not self.gone:
            self.request.write(data)

    def pausing(self, producer):
        """Let a slow reader pause *producer*.

        Without it the answers to a reader that stopped reading would
        pile up in memory until the host has none left.
        """
        if self.gone:
            return
        if self.producer is not NOTHING:
            self.request.unregisterProducer()
        self.producer = producer
        self.request.registerProducer(producer, True)

    def release(self):
        """Let go of the producer."""
        if self.producer is not NOTHING and not self.gone:
            self.request.unregisterProducer()
        self.producer = NOTHING

    def finish(self):
        """End a whole answer."""
        self.release()
        self.finished = True
        if not self.gone:
            self.request.finish()

    def abort(self):
        """Cut an answer that is not whole, so that it shows."""
        self.release()
        self.finished = True
        if not self.gone:
            self.request.loseConnection()

    def fail(self, outcome):
        """Tell that there is no answer.

        An answer that has begun can only be cut: a proper end would
        pass a part of it off as the whole.
        """
        if self.started:
            self.abort()
            return
        self.finished = True
        for name, value in self.headers:
            self.request.setHeader(name, value)
        respond_outcome(self.request, outcome)


def respond_outcome(request, outcome):
    """Answer with a `NotRun` or an `Unknown`."""
    message = MESSAGES.get(outcome.reason, outcome.reason.replace("_", " "))
    headers = [("hyssop-reason", outcome.reason)]
    if isinstance(outcome, NotRun):
        status = STATUS.get(outcome.reason, NOT_RUN_STATUS)
        kind = "not_run"
        headers.append(("hyssop-outcome", "not-run"))
        if status not in CALLER_FAULTS:
            wait = str(max(1, math.ceil(outcome.retry_after)))
            headers.append(("retry-after", wait))
    elif isinstance(outcome, Repeated):
        status = STATUS[outcome.reason]
        kind = "repeated"
        headers.append(("hyssop-outcome", "repeated"))
    else:
        status = STATUS.get(outcome.reason, UNKNOWN_STATUS)
        if outcome.reason is Reason.DEADLINE:
            status = DEADLINE_STATUS
        kind = "unknown"
        headers.append(("hyssop-outcome", "unknown"))
    respond_error(
        request, status, outcome.reason, message, kind=kind, headers=headers
    )


def read_outcome(response):
    """Return the outcome that a peer's answer states, or `NOTHING`.

    An answer without a word on its outcome is a peer's own failure, in
    which the request may have been passed on.
    """
    stated = first_value(response, b"hyssop-outcome")
    if stated == b"answered":
        return NOTHING
    try:
        reason = Reason(first_value(response, b"hyssop-reason").decode())
    except ValueError:
        return Unknown(Reason.BAD_ANSWER)
    if stated == b"not-run":
        wait = first_value(response, b"retry-after")
        return NotRun(reason, float(wait) if wait.isdigit() else 1.0)
    return Unknown(reason)


def first_value(response, name):
    """Return the first value of a header, or empty bytes."""
    return response.headers.getRawHeaders(name, [b""])[0]
