"""A multi-region inference gateway for many teams."""

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
    """Import a public name when it is first used.

    A host that was killed serves again only when its program is loaded,
    and no process needs all of these modules.
    """
    if name not in _MODULES_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no {name!r}")
    module = importlib.import_module(
        f".core.{_MODULES_BY_NAME[name]}", __name__
    )
    return getattr(module, name)
