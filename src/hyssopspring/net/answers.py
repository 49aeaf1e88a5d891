"""Answers to callers and peers: sinks and the wire form of outcomes."""

import math

from ..core.exceptions import ensure
from ..core.outcomes import NotRun, Reason, Repeated, Unknown
from ..core.sentinels import NOTHING
from .serving import respond_error
from .sinks import AnswerSink, first_value

STATUS_BY_REASON = {
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
CALLER_ERROR_STATUSES = range(400, 409)

MESSAGE_BY_REASON = {
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


class Sink(AnswerSink):
    """Write one answer to a caller or a peer.

    Args:
        request: The `twisted.web.server.Request`.
        clock: The runtime's clock.
        headers: Names and values that each answer carries.

    Attributes:
        first_body_at: Time of the first part of the body, or `NOTHING`.
    """

    def __init__(self, request, clock, headers=()):
        super().__init__(request, headers)
        self.clock = clock
        self.first_body_at = NOTHING

    def start(self, status, headers, length=NOTHING):
        """Send the head of an answer, once."""
        ensure(not self.started, "two answers to one request")
        super().start(status, headers, length)

    def write(self, data):
        """Send a part of the body, and note when the first left."""
        ensure(self.started, "a body without a head")
        if self.first_body_at is NOTHING:
            self.first_body_at = self.clock.seconds()
        super().write(data)

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
    message = MESSAGE_BY_REASON.get(
        outcome.reason, outcome.reason.replace("_", " ")
    )
    headers = [("hyssop-reason", outcome.reason)]
    if isinstance(outcome, NotRun):
        status = STATUS_BY_REASON.get(outcome.reason, NOT_RUN_STATUS)
        kind = "not_run"
        headers.append(("hyssop-outcome", "not-run"))
        if status not in CALLER_ERROR_STATUSES:
            wait = str(max(1, math.ceil(outcome.retry_after)))
            headers.append(("retry-after", wait))
    elif isinstance(outcome, Repeated):
        status = STATUS_BY_REASON[outcome.reason]
        kind = "repeated"
        headers.append(("hyssop-outcome", "repeated"))
    else:
        status = STATUS_BY_REASON.get(outcome.reason, UNKNOWN_STATUS)
        if outcome.reason is Reason.DEADLINE:
            status = DEADLINE_STATUS
        kind = "unknown"
        headers.append(("hyssop-outcome", "unknown"))
    respond_error(
        request, status, outcome.reason, message, kind=kind, headers=headers
    )


def parse_outcome(response):
    """Return the outcome that a peer's answer states, or `NOTHING`.

    An answer without a word on its outcome is a peer's own failure, in
    which the request may have been passed on.
    """
    stated = first_value(response.headers, b"hyssop-outcome")
    if stated == b"answered":
        return NOTHING
    try:
        reason = Reason(
            first_value(response.headers, b"hyssop-reason").decode()
        )
    except ValueError:
        return Unknown(Reason.BAD_ANSWER)
    if stated == b"not-run":
        wait = first_value(response.headers, b"retry-after")
        return NotRun(reason, float(wait) if wait.isdigit() else 1.0)
    return Unknown(reason)
