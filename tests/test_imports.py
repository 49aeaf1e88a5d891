"""Modules that the gateway process must not import."""

import subprocess
import sys

from testtools.assertions import assert_that
from testtools.matchers import Equals


def test_gateway_does_not_load_heavy_libraries():
    """These modules exceed the memory budget of the gateway."""
    code = (
        "import sys, hyssopspring.gateway;"
        "print([m for m in ('pydantic', 'OpenSSL', 'matplotlib',"
        " 'hyssopspring_fakes') if m in sys.modules])"
    )
    shown = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
    )
    assert_that(shown.stdout.strip(), Equals("[]"))
