"""Data classes that are created with little CPU time when a module loads.

`dataclasses.dataclass` compiles up to seven methods of each class. A host
loads 76 data classes, whose creation took 0.108 of 0.680 s in a profile of its
imports. `dataclass` in this module has the same interface, but
compiles only ``__init__``, when the first instance is created. The other
methods are the same functions for all classes.
"""

import dataclasses
from dataclasses import MISSING, FrozenInstanceError
from operator import attrgetter
from reprlib import recursive_repr

__all__ = ["dataclass"]


def dataclass(*, slots, frozen=False, eq=True, kw_only=False):
    """Return a decorator like `dataclasses.dataclass`.

    `dataclasses.replace`, `dataclasses.fields` and ``field()`` work as usual.

    Args:
        slots: Must be true, as all data classes have slots.
        frozen: Whether attributes cannot be assigned.
        eq: Whether instances are compared by their fields.
        kw_only: Whether ``__init__`` takes keyword arguments only.
    """
    if not slots:
        raise TypeError("data classes of this package have slots")

    def decorate(plain):
        cls = dataclasses.dataclass(
            init=False, repr=False, eq=False, slots=True, kw_only=kw_only
        )(plain)
        methods = {"__init__": deferred_init(cls, frozen), "__repr__": show}
        if eq:
            methods |= comparison(cls, frozen)
        if frozen:
            methods |= FROZEN_METHODS
        for name, method in methods.items():
            if name not in plain.__dict__:
                setattr(cls, name, method)
        return cls

    return decorate


def deferred_init(cls, frozen):
    """Return an ``__init__`` that replaces itself by a compiled one."""

    def init(self, *args, **kwargs):
        cls.__init__ = compiled_init(cls, frozen)
        cls.__init__(self, *args, **kwargs)

    return init


def compiled_init(cls, frozen):
    """Compile the ``__init__`` of a data class.

    A frozen class assigns through the descriptors of its slots, which is
    faster than ``object.__setattr__``.
    """
    names = {"_MISSING": MISSING}
    positional, keyword, body = [], [], []
    for field in dataclasses.fields(cls):
        name, value = field.name, field.name
        parameter = name
        if field.default is not MISSING:
            names[f"_default_{name}"] = field.default
            parameter = f"{name}=_default_{name}"
        elif field.default_factory is not MISSING:
            names[f"_factory_{name}"] = field.default_factory
            parameter = f"{name}=_MISSING"
            value = f"_factory_{name}() if {name} is _MISSING else {name}"
        if field.init:
            (keyword if field.kw_only else positional).append(parameter)
        elif field.default_factory is not MISSING:
            value = f"_factory_{name}()"
        elif field.default is not MISSING:
            value = f"_default_{name}"
        else:
            continue
        if frozen:
            names[f"_set_{name}"] = getattr(cls, name).__set__
            body.append(f"  _set_{name}(self, {value})")
        else:
            body.append(f"  self.{name} = {value}")
    if hasattr(cls, "__post_init__"):
        body.append("  self.__post_init__()")
    if keyword:
        keyword.insert(0, "*")
    parameters = ", ".join(["self", *positional, *keyword])
    source = f"def __init__({parameters}):\n" + "\n".join(body or ["  pass"])
    exec(source, names)
    init = names["__init__"]
    init.__qualname__ = f"{cls.__qualname__}.__init__"
    return init


def comparison(cls, frozen):
    """Return ``__eq__`` and ``__hash__`` of a data class."""
    compared = [f.name for f in dataclasses.fields(cls) if f.compare]
    values = attrgetter(*compared) if compared else lambda _: ()

    def equals(self, other):
        if other.__class__ is not self.__class__:
            return NotImplemented
        return values(self) == values(other)

    def hash_value(self):
        return hash(values(self))

    return {"__eq__": equals, "__hash__": hash_value if frozen else None}


@recursive_repr()
def show(self):
    """Return the class name with the fields, as `dataclasses` does."""
    shown = ", ".join(
        f"{field.name}={getattr(self, field.name)!r}"
        for field in dataclasses.fields(self)
        if field.repr
    )
    return f"{self.__class__.__qualname__}({shown})"


def refuse_assignment(self, name, value):
    """Raise the exception of a frozen data class."""
    raise FrozenInstanceError(f"cannot assign to field {name!r}")


def refuse_deletion(self, name):
    """Raise the exception of a frozen data class."""
    raise FrozenInstanceError(f"cannot delete field {name!r}")


def get_state(self):
    """Return the values of the fields for `copy` and `pickle`."""
    return [getattr(self, f.name) for f in dataclasses.fields(self)]


def set_state(self, state):
    """Restore the values of the fields for `copy` and `pickle`."""
    for field, value in zip(dataclasses.fields(self), state, strict=True):
        object.__setattr__(self, field.name, value)


FROZEN_METHODS = {
    "__setattr__": refuse_assignment,
    "__delattr__": refuse_deletion,
    "__getstate__": get_state,
    "__setstate__": set_state,
}
