"""Standard modules that Twisted imports but that a host does not use.

While Twisted loads, a placeholder stands in for each of these modules in
`sys.modules`. It provides the names that Twisted imports from the module and
loads the module itself when any other attribute is used. The placeholders are
removed from `sys.modules` afterwards, so that a later import of the module
gets the module itself.
"""

import importlib
import sys
from collections.abc import Coroutine
from contextlib import contextmanager
from types import CoroutineType, GeneratorType, ModuleType
from typing import Any

__all__ = ["deferred_modules"]

LEVEL_NAMES = {
    10: "DEBUG",
    20: "INFO",
    30: "WARNING",
    40: "ERROR",
    50: "CRITICAL",
}
"""Standard levels of `logging`, which Twisted maps to its own."""


class DeferredModule(ModuleType):
    """Placeholder that loads a module when it is used.

    Args:
        name: Name of the module.
        names: Values of attributes that do not need the module.
    """

    def __init__(self, name, **names):
        super().__init__(name)
        self.__dict__.update(names)

    def __getattr__(self, name):
        """Load the module and return its attribute."""
        if name.startswith("__"):
            raise AttributeError(name)
        if sys.modules.get(self.__name__) is self:
            del sys.modules[self.__name__]
        return getattr(importlib.import_module(self.__name__), name)


def deferred_call(module, name):
    """Return a function that loads a module and calls its attribute."""

    def call(*args, **kwargs):
        return getattr(importlib.import_module(module), name)(*args, **kwargs)

    return call


def iscoroutine(value):
    """Return whether *value* is a coroutine, as `asyncio.iscoroutine` does."""
    return isinstance(value, COROUTINE_TYPES)


COROUTINE_TYPES = (CoroutineType, Coroutine)
if sys.version_info < (3, 12):
    COROUTINE_TYPES += (GeneratorType,)


def placeholders():
    """Return the placeholders by the names of their modules.

    Names that Twisted uses in annotations only are `Any`, which raises an
    exception if it is used otherwise. ``None`` makes an import fail: `ctypes`
    lacks the function of Windows that Twisted looks for in it.
    """
    levels = {name: number for number, name in LEVEL_NAMES.items()}
    modules = (
        DeferredModule(
            "asyncio",
            AbstractEventLoop=Any,
            Future=Any,
            iscoroutine=iscoroutine,
        ),
        DeferredModule(
            "email.message",
            EmailMessage=deferred_call("email.message", "EmailMessage"),
            Message=Any,
        ),
        DeferredModule("http.cookiejar"),
        DeferredModule(
            "logging", getLevelName=LEVEL_NAMES.__getitem__, **levels
        ),
        DeferredModule("tempfile"),
    )
    return {one.__name__: one for one in modules} | {"ctypes": None}


@contextmanager
def deferred_modules():
    """Let placeholders stand in for modules that are not loaded yet."""
    missing = {
        name: module
        for name, module in placeholders().items()
        if name not in sys.modules
    }
    sys.modules.update(missing)
    try:
        yield
    finally:
        for name, module in missing.items():
            if sys.modules.get(name, module) is module:
                sys.modules.pop(name, None)
