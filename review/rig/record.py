"""What a case records, and how it ends."""

import asyncio
import os
import pathlib
import sys
import time

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    """Lines with the time since the start, written to a file.

    Args:
        path: The file.
    """

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self.began = time.monotonic()

    def note(self, text, at=None):
        """Write one line."""
        now = time.monotonic() if at is None else at
        self.file.write(f"{now - self.began:8.3f} s  {text}\n")
        self.file.flush()


def run_case(case, folder):
    """Run a coroutine function of a `Record` and of whether to disturb.

    It returns the text of what broke the rule, or "".
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    record.note(f"TROUBLE={int(trouble)}")
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), 115))
    except Exception as problem:  # noqa: BLE001 - reported by the status
        record.note(f"could not run: {problem!r}")
        print(f"could not run: {problem!r}")
        sys.exit(COULD_NOT_RUN)
    record.note(f"broken: {broken}" if broken else "held")
    print(f"broken: {broken}" if broken else "held")
    sys.exit(BROKEN if broken else HELD)
