"""Run the test suite; let only the tests in KNOWN-RED.txt fail."""

import pathlib
import sys

import pytest

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST_KNOWN_RED = 3


class FailureRecorder:
    """Collect the node ids of the tests that fail."""

    def __init__(self):
        self.failed = set()

    def pytest_runtest_logreport(self, report):
        """Note one failed phase of one test."""
        if report.failed:
            self.failed.add(report.nodeid)


def known_red():
    """Return the entries of KNOWN-RED.txt, each a test or a script.

    Scripts are not run by this suite, so only tests count to the maximum.
    """
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    entries = {line.split(",")[0].strip() for line in lines if line.strip()}
    if sum("::" in entry for entry in entries) > MOST_KNOWN_RED:
        sys.exit(f"KNOWN-RED.txt: at most {MOST_KNOWN_RED} tests")
    return entries


def main():
    """Run pytest and judge its failures against KNOWN-RED.txt."""
    recorder = FailureRecorder()
    code = pytest.main(sys.argv[1:], plugins=[recorder])
    allowed = known_red()
    for entry in sorted(allowed):
        is_test = "::" in entry
        state = entry in recorder.failed if is_test else "not run here"
        print("known red:", entry, state)
    only_known = recorder.failed and recorder.failed <= allowed
    if code == pytest.ExitCode.TESTS_FAILED and only_known:
        return 0
    return int(code)


if __name__ == "__main__":
    sys.exit(main())
