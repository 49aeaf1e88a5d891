"""What a caller asks for, after its headers and rights are resolved."""

import enum
from dataclasses import dataclass, field

from .sentinels import NOTHING


class Priority(enum.IntEnum):
    """How urgent a request is; engines take the lower number first."""

    INTERACTIVE = 0
    NORMAL = 1
    BATCH = 2


class TargetKind(enum.StrEnum):
    """Which kind of backend server a request is for."""

    MODEL = "model"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class Target:
    """A model or a service, by name."""

    kind: TargetKind
    name: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """One request of a caller.

    Attributes:
        id: Identifier, unique over all hosts.
        workspace: Name of the customer's workspace.
        target: Model or service that is asked for.
        residency: Regions in which the request may be served.
        home: Region in which the workspace prefers to be served.
        deadline: Time of the caller's deadline on the host's clock, in
            seconds.
        priority: Urgency, passed on to engines.
        repeatable: Whether a second run would do no harm.
        key: Idempotency key of the caller, or `NOTHING`.
        prefix: Hash of the start of the prompt.
        attempts: Most attempts over retries, fallbacks and hedges.
        fallbacks: Models to try when no server of the target takes it.
        stream: Whether the answer is wanted in parts as it is made.
        path: Hosts that the request passed before this one.
    """

    id: str
    workspace: str
    target: Target
    residency: frozenset[str]
    home: str
    deadline: float
    priority: Priority = Priority.NORMAL
    repeatable: bool = True
    key: str = NOTHING
    prefix: int = 0
    attempts: int = 3
    fallbacks: tuple[Target, ...] = ()
    stream: bool = False
    path: tuple[str, ...] = field(default=())
