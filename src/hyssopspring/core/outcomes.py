"""Outcomes of attempts and requests."""

import enum
from dataclasses import dataclass


class Reason(enum.StrEnum):
    """Reason why an attempt or a request has no response.

    The values are the error codes that callers receive.
    """

    UNKNOWN_WORKSPACE = "unknown_workspace"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TOO_SLOW = "body_too_slow"
    WRONG_METHOD = "wrong_method"
    BAD_DEADLINE = "bad_deadline"
    RESIDENCY = "residency_excludes_all"
    NOT_RESIDENT_HERE = "region_not_permitted"
    FORWARD_LOOP = "forward_loop"
    BAD_PEER = "bad_peer_signature"
    NO_SERVER = "no_server"
    OVERLOADED = "overloaded"
    RATE_LIMIT = "rate_limit"
    CONCURRENCY_LIMIT = "concurrency_limit"
    LEAVING = "host_leaving"
    UNVERIFIED = "configuration_unverified"
    NO_CONFIGURATION = "no_configuration"
    DEADLINE = "deadline_exceeded"
    CONNECT = "connect_failed"
    REFUSED = "refused_by_server"
    CONNECTION_LOST = "connection_lost"
    BAD_ANSWER = "bad_answer"
    TRUNCATED = "truncated_answer"
    RESPONSE_TOO_LARGE = "response_too_large"
    SERVER_ERROR = "server_error"
    VERSION_UNKNOWN = "stream_version_unknown"
    VERSION_GONE = "stream_version_gone"
    WRONG_VERSION = "wrong_server_version"
    RESTARTED = "server_restarted"
    CRASHES_SERVERS = "crashes_servers"
    SUSPECTED = "suspected_of_crashes"
    CALLER_GONE = "caller_gone"
    SUPERSEDED = "superseded"
    INTERNAL_ERROR = "internal_error"
    CLAIMS_UNAVAILABLE = "claims_unavailable"
    CLAIM_IN_PROGRESS = "key_in_progress"
    CLAIM_DONE = "key_already_run"
    CLAIM_UNKNOWN = "key_outcome_unknown"


@dataclass(frozen=True, slots=True)
class Answered:
    """The complete response arrived.

    Attributes:
        status: HTTP status of the response.
    """

    status: int


@dataclass(frozen=True, slots=True)
class NotRun:
    """No backend server ran the request.

    Attributes:
        reason: Reason why it was not run.
        retry_after: Seconds after which the caller may retry.
    """

    reason: Reason
    retry_after: float = 1.0


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run, completely or in part.

    Attributes:
        reason: Reason why the response is missing.
    """

    reason: Reason


@dataclass(frozen=True, slots=True)
class Repeated:
    """Another request with the same key is running or has run.

    This differs from the other three outcomes: nothing new was run, but
    a `NotRun` would make the caller repeat work that is already done.

    Attributes:
        reason: Whether the first request is in progress or has run.
    """

    reason: Reason


Outcome = Answered | NotRun | Unknown | Repeated


def combine(outcomes):
    """Combine the outcomes of all attempts into that of the request.

    Args:
        outcomes: Outcome of each attempt, in order; not empty.

    Returns:
        `Answered` if there was a response. `NotRun` only if each attempt
        was `NotRun`, since the request may have run if any one attempt
        may have run.
    """
    for outcome in outcomes:
        if isinstance(outcome, Answered):
            return outcome
    for outcome in outcomes:
        if isinstance(outcome, Unknown):
            return outcome
    return outcomes[-1]
