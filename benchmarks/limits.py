"""Compare ways to keep limits in tokens over regions, without network."""

import statistics
import sys

from hyssopspring_fakes.limitload import PATTERNS, WAYS, LimitLoad

SEEDS = range(1, 6)
WINDOW_SECONDS = 8.0
MAX_WINDOW_TOKENS = (66_604.0 * WINDOW_SECONDS + 66_604.0) * 1.1 + 110_000.0
"""Tokens that may pass in any window."""


def main():
    """Print what each way serves of each pattern, and the fullest window."""
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
