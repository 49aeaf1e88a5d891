"""Start of the entry program: loaded modules, options, and data classes."""

import copy
import dataclasses
import os
import pickle
import subprocess
import sys

import pytest
from click.testing import CliRunner
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, MatchesRegex

from hyssopspring.core.records import dataclass
from hyssopspring.entry.command import main
from hyssopspring.entry.launch import plain_options

UNUSED_MODULES = (
    "asyncio",
    "click",
    "concurrent.futures",
    "ctypes",
    "email.message",
    "email.parser",
    "http.client",
    "http.cookiejar",
    "logging",
    "lzma",
    "multiprocessing",
    "numpy",
    "pydantic",
    "ssl",
    "subprocess",
    "tempfile",
    "twisted.internet.endpoints",
    "twisted.web.client",
    "urllib.request",
    "yaml",
    "zmq",
    "hyssopspring_fakes",
)
"""Modules that an entry process must not load at its start."""

LOAD = """
import sys
from hyssopspring.entry.deferredmodules import deferred_modules
with deferred_modules():
    import hyssopspring.entry.process
from twisted.internet import reactor
"""


def run_python(code, *arguments):
    """Return the completed process of *code* without site packages set up."""
    paths = [path for path in sys.path if path]
    return subprocess.run(
        [sys.executable, "-S", "-c", code, *arguments],
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(paths)},
    )


def test_entry_loads_no_unused_modules():
    """Unused modules delay the first request after a power loss."""
    code = LOAD + (
        f"print([m for m in {UNUSED_MODULES!r} if m in sys.modules])"
    )
    shown = run_python(code)
    assert_that(shown.stdout.strip(), Equals("[]"), shown.stderr)


def test_deferred_modules_are_complete_afterwards():
    """A placeholder that stays would break whoever needs the module."""
    code = LOAD + (
        "import asyncio, ctypes, email.message, http.cookiejar, logging\n"
        "from twisted.web import http\n"
        "from twisted.python import compat\n"
        "from twisted.internet.defer import Deferred, ensureDeferred\n"
        "async def work(): return 5\n"
        "ensureDeferred(work()).addCallback(print)\n"
        "http._getContentFile(10**6).write(b'x')\n"
        "print(asyncio.Future.__name__, logging.getLevelName(20),\n"
        "      email.message.EmailMessage.__name__, ctypes.c_int.__name__,\n"
        "      compat.cookielib.CookieJar.__name__,\n"
        "      http.EmailMessage().get_content_type())\n"
    )
    shown = run_python(code)
    assert_that(
        shown.stdout.split(),
        Equals(
            [
                "5",
                "Future",
                "INFO",
                "EmailMessage",
                "c_int",
                "CookieJar",
                "text/plain",
            ]
        ),
        shown.stderr,
    )


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        ("--metrics 19464", {"metrics_port": 19464}),
        ("--settings a.yaml --without x,y", {"path": "a.yaml"}),
        ("--metrics x", None),
        ("--metrics -1", None),
        ("--metrics=5", None),
        ("--metrics", None),
        ("--check", None),
        ("--help", None),
        ("extra", None),
        ("--unknown 5", None),
    ],
)
def test_only_plain_options_bypass_the_parser(arguments, expected):
    """A mistake must reach the parser, which explains it to the operator."""
    found = plain_options(arguments.split())
    if expected is not None:
        without = "x,y" if "--without" in arguments else ""
        expected = {
            "metrics_port": 0,
            "without": without,
            "check": False,
            **expected,
        }
    assert_that(found, Equals(expected))


def test_parser_explains_a_mistake():
    """The flags and their messages stay those of the command."""
    result = CliRunner().invoke(main, ["--metrics", "x"])
    assert_that(result.exit_code, Equals(2))
    assert_that(
        result.output.splitlines()[-1],
        Equals(
            "Error: Invalid value for '--metrics': 'x' is not a valid integer."
        ),
    )


def test_launch_reports_missing_settings():
    """Plain options report bad settings as the parsed ones do."""
    code = "from hyssopspring.entry.launch import main; main()"
    plain = run_python(code, "--settings", "/nonexistent")
    parsed = run_python(code, "--settings=/nonexistent")
    assert_that(plain.stderr, MatchesRegex(".*nonexistent"))
    assert_that(
        (plain.returncode, plain.stdout, plain.stderr),
        Equals((parsed.returncode, parsed.stdout, parsed.stderr)),
    )


def make_classes(decorator):
    """Return data classes of all kinds that the package uses."""

    @decorator(frozen=True, slots=True)
    class Point:
        x: int
        y: int = 2
        tags: tuple = ()

    @decorator(slots=True, eq=False, kw_only=True)
    class Counter:
        name: str
        counts: list = dataclasses.field(default_factory=list)

    @decorator(slots=True)
    class Derived:
        base: int
        shown: int = dataclasses.field(default=1, repr=False, compare=False)
        double: int = dataclasses.field(init=False)

        def __post_init__(self):
            self.double = 2 * self.base

    return Point, Counter, Derived


def outcome(work):
    """Return the result of *work*, or the type of its exception."""
    try:
        return repr(work()).replace("make_classes.<locals>.", "")
    except (TypeError, AttributeError) as problem:
        return type(problem).__name__


def test_data_classes_behave_as_those_of_the_standard_library():
    """Code that uses the interface of `dataclasses` must work unchanged."""

    def outcomes(decorator):
        point, counter, derived = make_classes(decorator)
        one = point(1)
        works = [
            lambda: one,
            lambda: point(),
            lambda: point(1, 2, (), 4),
            lambda: point(x=1, z=2),
            lambda: point(1) == point(1, 2),
            lambda: point(1) == point(2),
            lambda: point(1) == (1, 2, ()),
            lambda: hash(point(1)) == hash(point(1)),
            lambda: setattr(one, "x", 5),
            lambda: delattr(one, "x"),
            lambda: dataclasses.replace(one, y=7),
            lambda: dataclasses.asdict(one),
            lambda: copy.deepcopy(one),
            lambda: copy.copy(one) == one,
            lambda: counter("a"),
            lambda: counter(name="a"),
            lambda: counter(name="a").counts is counter(name="a").counts,
            lambda: counter(name="a") == counter(name="a"),
            lambda: len({counter(name="a"), counter(name="a")}),
            lambda: derived(3),
            lambda: derived(3, 4) == derived(3, 5),
            lambda: hash(derived(3)),
            lambda: setattr(derived(3), "unknown", 5),
            lambda: dataclasses.replace(derived(3), base=4),
        ]
        return [outcome(work) for work in works]

    assert_that(outcomes(dataclass), Equals(outcomes(dataclasses.dataclass)))


def test_frozen_data_class_takes_no_other_attribute():
    """A misspelt name must not be assigned.

    The standard library raises a `TypeError` by mistake for classes with
    slots in Python 3.11, so this is not compared with it.
    """
    one = make_classes(dataclass)[0](1)
    with pytest.raises(dataclasses.FrozenInstanceError):
        one.unknown = 5


@dataclass(frozen=True, slots=True)
class Pickled:
    """Frozen class that can be found by its name."""

    value: int


def test_frozen_data_class_survives_pickling():
    """Restoring a frozen instance must not assign to its attributes."""
    one = Pickled(5)
    again = pickle.loads(pickle.dumps(one))
    assert_that(again, Equals(one))
    assert_that(again is one, Is(False))
