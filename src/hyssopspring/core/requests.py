"""Model of a request after its headers and rights are resolved."""

import enum
from dataclasses import field

from .records import dataclass
from .sentinels import NOTHING


class Priority(enum.IntEnum):
    """Urgency of a request; engines run lower numbers first."""

    INTERACTIVE = 0
    NORMAL = 1
    BATCH = 2


class TargetKind(enum.StrEnum):
    """Kind of backend server that a request is for."""

    MODEL = "model"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class Target:
    """A model or a service, identified by its name."""

    kind: TargetKind
    name: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """One request of a caller.

    Attributes:
        id: Identifier, unique over all hosts.
        workspace: Name of the customer's workspace.
        target: Requested model or service.
        residency: Regions in which the request may be served.
        home: Region in which the workspace prefers to be served.
        deadline: Deadline of the caller on this host's clock, in seconds.
        priority: Urgency, which is forwarded to engines.
        repeatable: Whether a second run is harmless.
        key: Idempotency key of the caller, or `NOTHING`.
        prefix: Hash of the start of the prompt.
        attempts: Maximum number of attempts, including retries, fallbacks
            and hedges.
        fallbacks: Models to try if no server of the target accepts it.
        stream: Whether the response is to be streamed.
        path: Hosts that forwarded the request to this one.
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
