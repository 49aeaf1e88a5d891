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
    """Return the tests that KNOWN-RED.txt lets fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    tests = {line.split(",")[0].strip() for line in lines if line.strip()}
    if len(tests) > MOST_KNOWN_RED:
        sys.exit(f"KNOWN-RED.txt: at most {MOST_KNOWN_RED} tests")
    return tests


def main():
    """Run pytest and judge its failures against KNOWN-RED.txt."""
    recorder = FailureRecorder()
    code = pytest.main(sys.argv[1:], plugins=[recorder])
    allowed = known_red()
    for test in sorted(allowed):
        print("known red:", test, test in recorder.failed)
    only_known = recorder.failed and recorder.failed <= allowed
    if code == pytest.ExitCode.TESTS_FAILED and only_known:
        return 0
    return int(code)


if __name__ == "__main__":
    sys.exit(main())
