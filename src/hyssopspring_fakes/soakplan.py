"""What a soak does and when, drawn from a seed."""

import enum
import random
from dataclasses import dataclass

__all__ = ["STOPS", "Fault", "Step", "draw_plan"]

SETTLING = 4.0
"""Seconds without faults at the start."""

LONGEST_PAUSE = 2.5
"""Most seconds between two faults. Most last longer, so they overlap."""

SERIES = 0.25
"""Chance that a fault strikes several hosts, one right after the other."""

EVERYWHERE = 0.15
"""Chance that a fault strikes all hosts at the same moment."""

FIRST_KILL = 2.0
LONGEST_BETWEEN_KILLS = 3.0
"""Seconds from the start to the first kill of all hosts at the earliest, and
most seconds from the return of the hosts to the next one."""


class Fault(enum.Enum):
    """A kind of fault, and its shortest and longest time in seconds."""

    KILL = ("kill", 0.1, 2.0)
    STOP = ("stop", 0.0, 0.0)
    STOP_TWICE = ("stop twice", 0.2, 3.0)
    STOP_INTERRUPT = ("stop and interrupt", 0.2, 3.0)
    INTERRUPT = ("interrupt", 0.0, 0.0)
    STOP_RELOAD = ("stop and reload", 0.0, 1.0)
    STOP_FREEZE = ("stop and freeze", 0.3, 1.2)
    STOP_STARTING = ("stop while starting", 0.0, 0.6)
    STOP_CUT = ("stop while cut", 1.0, 5.0)
    STOP_REGION = ("stop region", 0.05, 0.6)
    STOP_CHANGE = ("stop and change", 0.0, 0.5)
    FREEZE = ("freeze", 0.3, 5.0)
    RELOAD = ("reload", 0.0, 0.0)
    SILENCE = ("silence", 0.0, 0.0)
    SILENCE_SOME = ("silence some", 0.0, 0.0)
    MUTE = ("mute", 0.0, 0.0)
    CUT = ("cut", 0.5, 5.0)
    RESET = ("reset", 0.0, 0.0)
    SLOW = ("slow", 1.0, 4.0)
    STORE_DOWN = ("store down", 1.0, 5.0)
    FORGET = ("forget history", 1.0, 1.0)
    RESTORE = ("restore", 0.2, 3.0)
    KILL_ALL = ("kill all", 0.3, 2.0)

    @property
    def shortest(self):
        """Shortest time in seconds."""
        return self.value[1]

    @property
    def longest(self):
        """Longest time in seconds."""
        return self.value[2]

    @property
    def planned(self):
        """Whether it is planned work, which must lose nothing."""
        return self is Fault.RELOAD or self in STOPS

    @property
    def at_once(self):
        """Whether it strikes all hosts at once, most often at the store."""
        store = (Fault.STORE_DOWN, Fault.FORGET, Fault.RESTORE)
        return self in store or self is Fault.KILL_ALL


STOPS = frozenset(
    one for one in Fault if one is Fault.INTERRUPT or "STOP" in one.name
)
"""Kinds of fault that tell hosts to stop."""


@dataclass(frozen=True, slots=True)
class Step:
    """One fault.

    Attributes:
        at: Seconds from the start.
        fault: The `Fault`.
        hosts: Names of the hosts that it strikes; all for one at the store.
        seconds: How long it lasts; 0 for a moment.
    """

    at: float
    fault: Fault
    hosts: tuple[str, ...]
    seconds: float


def draw_plan(seed, seconds, hosts, faults=tuple(Fault)):
    """Return the steps of a run, in order.

    Args:
        seed: Seed of the run.
        seconds: How long faults come.
        hosts: Names of the hosts.
        faults: Each `Fault` that may come.
    """
    rng = random.Random(seed)
    steps, now = [], SETTLING
    drawn = tuple(one for one in faults if one is not Fault.KILL_ALL)
    while drawn and now < seconds:
        steps.append(draw_step(rng, now, hosts, drawn))
        now += rng.uniform(0.0, LONGEST_PAUSE)
    if Fault.KILL_ALL in faults:
        steps += draw_kills(random.Random(f"{seed} kills"), seconds, hosts)
    return sorted(steps, key=lambda step: step.at)


def draw_kills(rng, seconds, hosts):
    """Return up to two steps that kill all hosts, one soon after the other.

    They are few, as no host is in touch for some time after one.
    """
    steps, now = [], rng.uniform(FIRST_KILL, max(FIRST_KILL, seconds / 2))
    for _ in range(rng.choice((0, 1, 2))):
        down = rng.uniform(Fault.KILL_ALL.shortest, Fault.KILL_ALL.longest)
        struck, down = tuple(hosts), round(down, 2)
        steps.append(Step(round(now, 2), Fault.KILL_ALL, struck, down))
        now += down + rng.uniform(0.5, LONGEST_BETWEEN_KILLS)
    return steps


def draw_step(rng, now, hosts, faults):
    """Return one step at the time *now*."""
    fault = rng.choice(faults)
    draw = rng.random()
    if fault is Fault.STOP_REGION:
        region = region_of(rng.choice(hosts))
        struck = tuple(one for one in hosts if region_of(one) == region)
    elif fault.at_once or draw < EVERYWHERE:
        struck = tuple(hosts)
    elif draw < EVERYWHERE + SERIES:
        struck = tuple(rng.sample(hosts, rng.randint(1, len(hosts))))
    else:
        struck = (rng.choice(hosts),)
    seconds = rng.uniform(fault.shortest, fault.longest)
    return Step(round(now, 2), fault, struck, round(seconds, 2))


def region_of(host):
    """Return the region of a host by its name."""
    return host.rpartition("-")[0]
