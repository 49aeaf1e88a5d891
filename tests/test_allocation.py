"""Memory of freed blocks."""

import subprocess
import sys

from measured_processes import MEGABYTE
from testtools.assertions import assert_that
from testtools.matchers import LessThan

MAX_KEPT_MB = 10

FREE_BODIES = """
from pathlib import Path
from hyssopspring.net.allocation import map_large_blocks

def resident_kb():
    status = Path("/proc/self/status").read_text()
    return int(status.partition("VmRSS:")[2].split()[0])

map_large_blocks()
bytes(4_000_000)
before, bodies, small = resident_kb(), [], []
for _ in range(60):
    bodies.append(b"x" * 1_000_000)
    small += [b"x" * 600 for _ in range(20)]
bodies.clear()
print(resident_kb() - before)
"""


def test_memory_of_freed_bodies_is_returned():
    """Guards against small blocks that keep the memory below them."""
    done = subprocess.run(
        [sys.executable, "-c", FREE_BODIES],
        capture_output=True,
        check=True,
        text=True,
    )
    kept = int(done.stdout) * 1024
    assert_that(kept, LessThan(MAX_KEPT_MB * MEGABYTE))
