"""Responses to callers and hosts: sinks and outcomes over HTTP."""

import math

from ..core.exceptions import ensure
from ..core.outcomes import NotRun, Reason, Repeated, Unknown
from ..core.sentinels import NOTHING
from .serving import LEAVING_MESSAGE, respond_error
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
    Reason.BODY_TOO_SLOW: 408,
    Reason.BODY_TOO_LARGE: 413,
    Reason.RATE_LIMIT: 429,
    Reason.CONCURRENCY_LIMIT: 429,
    Reason.OVERLOADED: 429,
}
NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 502
DEADLINE_STATUS = 504
CALLER_ERROR_STATUSES = range(400, 409)
"""Statuses of invalid requests. They carry no Retry-After, since a retry
would fail as well."""

MESSAGE_BY_REASON = {
    Reason.UNKNOWN_WORKSPACE: "the API key belongs to no workspace",
    Reason.UNKNOWN_MODEL: "the model does not exist",
    Reason.UNKNOWN_SERVICE: "the service does not exist",
    Reason.RESIDENCY: "no permitted region can serve the request",
    Reason.NO_SERVER: "no backend server can take the request now",
    Reason.RATE_LIMIT: "the workspace's rate limit is reached",
    Reason.CONCURRENCY_LIMIT: "the workspace's concurrency limit is reached",
    Reason.LEAVING: LEAVING_MESSAGE,
    Reason.NO_CONFIGURATION: "this host has no configuration yet",
    Reason.UNVERIFIED: "this host may be out of date; use another host",
    Reason.CLAIMS_UNAVAILABLE: "the idempotency key cannot be recorded now",
    Reason.CLAIM_IN_PROGRESS: "a request with this key is in progress",
    Reason.CLAIM_DONE: "a request with this key has already run",
    Reason.CLAIM_UNKNOWN: "a request with this key may have run",
    Reason.DEADLINE: "the deadline of the request has passed",
}


class Sink(AnswerSink):
    """Write one response to a caller or to another host.

    Args:
        request: The `twisted.web.server.Request`.
        clock: The clock (the reactor).
        headers: Names and values of headers that each response has.

    Attributes:
        first_body_at: Time at which the first part of the body was written,
            or `NOTHING`.
    """

    def __init__(self, request, clock, headers=()):
        super().__init__(request, headers)
        self.clock = clock
        self.first_body_at = NOTHING

    def start(self, status, headers, length=NOTHING):
        """Set the head of the response; it must be set only once."""
        ensure(self.head is NOTHING, "response started twice")
        super().start(status, headers, length)

    def write(self, data):
        """Write a part of the body and record the time of the first one."""
        ensure(
            self.head is not NOTHING, "response body written before its head"
        )
        if self.first_body_at is NOTHING:
            self.first_body_at = self.clock.seconds()
        super().write(data)

    def note_wait(self, wait):
        """Record what the request waits for.

        Args:
            wait: The `Wait`.
        """
        self.request.tracked.waits_for = wait

    def fail(self, outcome):
        """Respond with a failed outcome.

        A response of which a part was sent can only be aborted: if it were
        ended properly, the caller would take the part for the whole.
        """
        if self.request.startedWriting:
            self.abort()
            return
        self.release()
        for name, value in self.headers:
            self.request.setHeader(name, value)
        respond_outcome(self.request, outcome)


def respond_outcome(request, outcome):
    """Respond with a `NotRun`, a `Repeated` or an `Unknown`."""
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
        if outcome.reason is Reason.LEAVING:
            message = "this host has shut down; the request may have run"
        kind = "unknown"
        headers.append(("hyssop-outcome", "unknown"))
    respond_error(
        request, status, outcome.reason, message, kind=kind, headers=headers
    )


def parse_outcome(response):
    """Return the outcome that a host's response states, or `NOTHING`.

    `NOTHING` means that the request was answered. A response that states
    no outcome is due to a failure of the host itself; it may have passed
    the request on by then, so the outcome is `Unknown`.
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
