"""A multi-region inference gateway shared by many teams."""

import importlib

_MODULES_BY_NAME = {
    "Accepted": "accepted",
    "Answered": "outcomes",
    "Configuration": "configuration",
    "GenerationKeeper": "accepted",
    "HyssopError": "exceptions",
    "NOTHING": "sentinels",
    "NotRun": "outcomes",
    "Outcome": "outcomes",
    "Priority": "requests",
    "Reason": "outcomes",
    "Request": "requests",
    "Target": "requests",
    "TargetKind": "requests",
    "Unknown": "outcomes",
}

__all__ = [  # noqa: F822 - found by `__getattr__`
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


def __getattr__(name):
    """Import a public name on first use.

    A host that restarts after a kill serves requests only after its modules
    are loaded, and no process needs all of the modules of this package.
    Eager imports would lengthen the restart.

    Raises:
        AttributeError: The package has no such public name.
    """
    if name not in _MODULES_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module = importlib.import_module(
        f".core.{_MODULES_BY_NAME[name]}", __name__
    )
    return getattr(module, name)
