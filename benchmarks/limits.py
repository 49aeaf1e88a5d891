"""Compare algorithms that enforce token limits across regions.

The emulation runs in one process without a network.
"""

import statistics
import sys

from hyssopspring_fakes.limitload import PATTERNS, WAYS, LimitLoad

SEEDS = range(1, 6)
WINDOW_SECONDS = 8.0
MAX_WINDOW_TOKENS = (66_604.0 * WINDOW_SECONDS + 66_604.0) * 1.1 + 110_000.0
"""Maximum number of tokens that may pass in any window.

It is the rate of 66,604 tokens per second over the window and a burst of one
second, with a tolerance of 10%, and 110,000 tokens on top.
"""


def main():
    """Print the share served and the fullest window by pattern and way."""
    write = sys.stdout.write
    write("| pattern | " + " | ".join(way.name for way in WAYS) + " |\n")
    write("| --- |" + " --- |" * len(WAYS) + "\n")
    for pattern in PATTERNS:
        cells = []
        for way in WAYS:
            loads = [LimitLoad(pattern, way, seed=seed) for seed in SEEDS]
            served = statistics.mean(load.run() for load in loads)
            fullest = (
                max(load.most_in(WINDOW_SECONDS) for load in loads)
                / MAX_WINDOW_TOKENS
            )
            cells.append(f"{served:.3f}, {fullest:.2f} of the bound")
        write(f"| {pattern.name} | " + " | ".join(cells) + " |\n")


if __name__ == "__main__":
    main()
