"""A multi-region inference gateway for many teams."""

from .core.accepted import Accepted, GenerationKeeper
from .core.configuration import Configuration
from .core.exceptions import HyssopError
from .core.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from .core.requests import Priority, Request, Target, TargetKind
from .core.sentinels import NOTHING

__all__ = [
    "NOTHING",
    "Accepted",
    "Answered",
    "Configuration",
    "GenerationKeeper",
    "HyssopError",
    "NotRun",
    "Outcome",
    "Priority",
    "Reason",
    "Request",
    "Target",
    "TargetKind",
    "Unknown",
]
