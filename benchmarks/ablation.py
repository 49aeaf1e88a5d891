"""Emulate loads with each mechanism of the policy switched off in turn."""

import dataclasses
import sys

from hyssopspring.traffic.mechanisms import Mechanism
from hyssopspring_fakes.emulation import emulate
from hyssopspring_fakes.loads import LOADS

SEEDS = (1, 2, 3)


def mean_on_time_share(shape, disabled):
    """Return the mean share of requests on time over the seeds."""
    changed_shape = dataclasses.replace(shape, off=disabled)
    return sum(emulate(changed_shape, seed).share() for seed in SEEDS) / len(
        SEEDS
    )


def main(names):
    """Print a row for each mechanism, and the share on time by load."""
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
