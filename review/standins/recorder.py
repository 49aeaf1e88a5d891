"""Record of what a case sent, answered and ran."""

import json
import time

__all__ = ["Recorder"]


class Recorder:
    """Write events as lines of JSON, with the seconds since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")  # noqa: SIM115

    @property
    def now(self):
        """Seconds since the start."""
        return time.monotonic() - self.began

    def __call__(self, **fields):
        """Write one event."""
        row = {"at": round(self.now, 3), **fields}
        self.file.write(json.dumps(row) + "\n")

    def say(self, text):
        """Write a line of text, to the record and to the output."""
        self.file.write(f"# {text}\n")
        print(text, flush=True)

    def close(self):
        """Close the file."""
        self.file.close()
