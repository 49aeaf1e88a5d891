"""Emulate loads with each mechanism of the policy disabled in turn.

Usage: ``python benchmarks/ablation.py [LOAD ...]``.
"""

import dataclasses
import sys

from hyssopspring.traffic.mechanisms import Mechanism
from hyssopspring_fakes.emulation import emulate
from hyssopspring_fakes.loads import LOADS

SEEDS = (1, 2, 3)


def mean_on_time_share(shape, disabled):
    """Return the share of requests served on time, averaged over the seeds.

    Args:
        shape: The emulated load.
        disabled: Frozen set of the disabled mechanisms.
    """
    changed_shape = dataclasses.replace(shape, off=disabled)
    return sum(emulate(changed_shape, seed).share() for seed in SEEDS) / len(
        SEEDS
    )


def main(names):
    """Print the share on time by load, with one row per mechanism."""
    chosen = {name: LOADS[name] for name in names or LOADS}
    print("without".ljust(12), *(name.rjust(14) for name in chosen))
    rows = [frozenset(), *(frozenset({mechanism}) for mechanism in Mechanism)]
    for disabled in rows:
        label = (
            ",".join(mechanism.label for mechanism in disabled) or "nothing"
        )
        shares = [
            mean_on_time_share(shape, disabled) for shape in chosen.values()
        ]
        print(
            label.ljust(12),
            *(f"{share:.3f}".rjust(14) for share in shares),
            flush=True,
        )


if __name__ == "__main__":
    main(sys.argv[1:])
