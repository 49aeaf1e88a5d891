"""Start of the entry program: loaded modules and options."""

import os
import subprocess
import sys

import pytest
from click.testing import CliRunner
from testtools.assertions import assert_that
from testtools.matchers import Equals, MatchesRegex

from hyssopspring.entry.command import main
from hyssopspring.entry.launch import METRICS_VARIABLE, environment_options
from hyssopspring.platform.settings import PATH_VARIABLE

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
    ("port", "expected"),
    [("", None), ("x", None), ("-1", None), ("19464", 19464), (None, 0)],
)
def test_only_a_valid_port_bypasses_the_parser(port, expected, monkeypatch):
    """A mistake must reach the parser, which explains it to the operator."""
    monkeypatch.delenv(METRICS_VARIABLE, raising=False)
    if port is not None:
        monkeypatch.setenv(METRICS_VARIABLE, port)
    options = environment_options()
    found = None if options is None else options["metrics_port"]
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


def test_launch_reports_missing_settings(monkeypatch):
    """Bad settings are reported alike with and without a command line."""
    code = "from hyssopspring.entry.launch import main; main()"
    monkeypatch.setenv(PATH_VARIABLE, "/nonexistent")
    plain = run_python(code)
    parsed = run_python(code, "--settings=/nonexistent")
    assert_that(plain.stderr, MatchesRegex(".*nonexistent"))
    assert_that(
        (plain.returncode, plain.stdout, plain.stderr),
        Equals((parsed.returncode, parsed.stdout, parsed.stderr)),
    )
