"""Loads of the users' sheets, to be emulated."""

import dataclasses

from .emulation import QUOTE, REVIEW, Kind, Shape, SlowPhases

__all__ = [
    "AREQUIPA_PEAK",
    "CALM",
    "DAR_PEAK",
    "HALF_OF_DAR",
    "LOADS",
    "MOSTLY_DAR",
    "ONE_LEFT",
    "PEAK",
    "SCARCE",
    "UNEVEN",
    "UNEVEN_CALM",
    "UNEVEN_SPEEDS",
]

EVEN = {"dar": 1.0, "arusha": 1.0, "mwanza": 1.0}


def scaled(weights, by):
    """Return a function of time that gives *weights* times *by*."""
    total = sum(weights.values())
    return lambda now: {
        name: weight * by / total for name, weight in weights.items()
    }


PEAK = Shape(
    engines={"dar": 2, "arusha": 2, "mwanza": 1},
    weights=scaled({"dar": 0.3, "arusha": 0.3, "mwanza": 2.3}, 1.3),
)
"""A region with one engine of five has eight times the callers of each of
the others, and the whole load is 1.3 times its mean."""

ONE_LEFT = Shape(
    engines={"dar": 1, "arusha": 0, "mwanza": 0},
    weights=scaled(EVEN, 1.0),
)
"""One engine of five is left for the load of all regions."""

CALM = Shape(
    engines={"dar": 2, "arusha": 2, "mwanza": 1}, weights=scaled(EVEN, 1.0)
)

MANY_REVIEWS = dataclasses.replace(REVIEW, rate=138.0, choices=(4, 289))
BOUND_QUOTES = dataclasses.replace(
    QUOTE,
    rate=133.0,
    choices=(40, 19),
    regions=frozenset(("dar", "arusha")),
)
DAR_PEAK = Shape(
    engines={"dar": 20, "arusha": 15, "mwanza": 10},
    weights=scaled({"dar": 5.6, "arusha": 0.34, "mwanza": 0.34}, 1.7),
    seconds=6.0,
    kinds=(MANY_REVIEWS, BOUND_QUOTES),
    slots=48,
    memory=303_376,
)
"""Half-day peaks of a larger fleet: one region has 2.8 times its mean, the
others 0.17, and the whole load is 1.7 times its mean; quotes may be served
in two regions of three."""

HALF_OF_DAR = dataclasses.replace(
    DAR_PEAK, engines={"dar": 10, "arusha": 15, "mwanza": 10}
)
"""One of the two data centres of that region is evacuated meanwhile."""

SHORT_OF_TIME = dataclasses.replace(
    REVIEW,
    rate=225.0,
    choices=(4, 470),
    objective=0.818,
    spread=1.0,
    longest=39_600,
    deadline=5.11,
    spread_out=1.4,
    longest_out=208,
)
LONG_QUOTES = dataclasses.replace(
    QUOTE,
    rate=112.0,
    choices=(39, 16),
    regions=frozenset(("dar", "arusha")),
    spread=1.0,
    longest=3_310,
    deadline=15.19,
    spread_out=0.69,
    longest_out=955,
)
MOSTLY_DAR = Shape(
    engines={"dar": 17, "arusha": 25, "mwanza": 17},
    weights=scaled({"dar": 1.10, "arusha": 0.056, "mwanza": 0.05}, 1.21),
    seconds=6.0,
    kinds=(SHORT_OF_TIME, LONG_QUOTES),
    slots=16,
    memory=276_933,
    copy_seconds=163_840 * 8 / 5.5e11,
    pair_seconds=3.68e-10,
)
"""A fleet of 77 engines with sixteen slots each: the largest region has its
peak while half of its engines are evacuated. Its reviews have five seconds
until their callers leave, and one in ten asks for 130 tokens or more."""

LAYOUT = Kind(
    name="layout",
    rate=9.8,
    sizes=(512, 4870, 6610),
    choices=(1, 82),
    tokens_out=384,
    objective=1.2,
    patience=4.8,
    priority=2,
    spread=1.4,
    longest=54_600,
)
TAGGING = Kind(
    name="tagging",
    rate=17.5,
    sizes=(119, 79, 628),
    choices=(40, 2),
    tokens_out=291,
    objective=0.8,
    patience=3.2,
    priority=0,
    spread=1.0,
    longest=3_310,
)
FIT = Kind(
    name="fit",
    rate=15.0,
    sizes=(341, 227, 1800),
    choices=(8, 16),
    tokens_out=23,
    objective=0.8,
    patience=2.5,
    priority=1,
    spread=1.3,
    longest=6_870,
    regions=frozenset(("lima", "arequipa")),
)
"""What a further customer's sheet says of its three kinds: mean lengths,
and spreads of the part of a prompt that is its own."""

AREQUIPA_PEAK = Shape(
    engines={"lima": 3, "arequipa": 1, "cusco": 1},
    weights=scaled({"lima": 0.3, "arequipa": 2.3, "cusco": 0.3}, 1.0),
    kinds=(LAYOUT, TAGGING, FIT),
    memory=408_193,
    copy_seconds=163_840 * 8 / 1.1e12,
    pair_seconds=3.67e-10,
)
"""A region with one engine of five has eight times the callers of each of
the others, and its urgent requests meet long prompts."""

BATCH = Kind(
    name="batch",
    rate=213.0,
    sizes=(2520, 3780, 2890),
    choices=(4, 106),
    tokens_out=54,
    objective=0.835,
    patience=3.34,
    priority=0,
    spread=1.0,
    longest=39_600,
    deadline=4.2,
    workspaces=16,
    worth=4.2,
    late_worth=0.5,
)
LINE = Kind(
    name="line",
    rate=254.0,
    sizes=(119, 79, 628),
    choices=(20, 78),
    tokens_out=288,
    objective=2.5,
    patience=10.0,
    priority=2,
    regions=frozenset(("dar", "arusha")),
    spread=1.0,
    longest=3_310,
    deadline=12.0,
    workspaces=16,
    worth=1.5,
    late_worth=0.66,
    bursts=lambda now: 2.4 if 1.5 <= now < 5.0 else 1.0,
)
SCARCE = Shape(
    engines={"dar": 32, "arusha": 23, "mwanza": 16},
    weights=lambda now: {
        "dar": 2.8 * 32 / 71,
        "arusha": 0.17 * 23 / 71,
        "mwanza": 0.17 * 16 / 71,
    },
    seconds=7.0,
    kinds=(BATCH, LINE),
    slots=16,
    memory=323_292,
    copy_seconds=163_840 * 8 / 5.5e11,
    pair_seconds=3.68e-10,
    step=0.0039,
    read_rate=91_800.0,
    chunk=2048,
    longest_pause=0.4,
    returns=True,
    drain_seconds=9.0,
    heavy=lambda now: 7.0 if 3.0 <= now < 6.0 else 1.0,
)
"""The largest region has 2.8 times its mean, the others 0.17. Lines may be
served in two regions of three and come in a burst of 2.4 times their rate;
one workspace of 16 sends seven times its usual load for a while."""
SUMMARY = Kind(
    name="summary",
    rate=227.0,
    sizes=(2520, 3780, 2890),
    choices=(4, 60),
    tokens_out=56,
    objective=0.835,
    patience=3.3,
    priority=1,
    gap_objective=0.3,
)
NOTE = Kind(
    name="note",
    rate=211.0,
    sizes=(119, 79, 628),
    choices=(40, 19),
    tokens_out=288,
    objective=0.615,
    patience=2.5,
    priority=0,
    regions=frozenset(("dar", "arusha")),
    gap_objective=0.3,
)
SLOWNESS = 2.17
"""Time of an engine's work over that of a fast one that has its machine for
itself: that of the slow quarter of the engines, at 0.46 times the speed."""

UNEVEN = Shape(
    engines={"dar": 20, "arusha": 15, "mwanza": 10},
    weights=scaled({"dar": 2.8, "arusha": 0.17, "mwanza": 0.17}, 0.8),
    seconds=8.0,
    kinds=(SUMMARY, NOTE),
    slots=48,
    memory=407_703,
    pair_seconds=3.67e-10,
    event_tokens=8,
    step=0.00341 * SLOWNESS,
    read_rate=112_000.0 / SLOWNESS,
    chunk=2048,
)
"""Summaries with long prompts and notes with long streams share the engines,
and neither may have a gap over 0.3 s. One region has its peak. All engines are
equally slow, so that each exceeds 0.3 s while it reads prompts throughout."""

UNEVEN_CALM = dataclasses.replace(
    UNEVEN, weights=scaled({"dar": 20, "arusha": 15, "mwanza": 10}, 0.4)
)
"""The same kinds at 0.4 times their mean, spread like the engines."""

UNEVEN_SPEEDS = dataclasses.replace(
    UNEVEN,
    seconds=9.0,
    step=0.00341,
    read_rate=112_000.0,
    speeds=(1.0, 1.0, 0.46, 1.0),
    slow_phases=SlowPhases(0.15, 2.5, 0.6),
    reports=True,
)
"""The same peak in a fleet in which one engine of four is less than half as
fast as the others, and all share their machines with other programs."""

LOADS = {
    "peak": PEAK,
    "one left": ONE_LEFT,
    "calm": CALM,
    "dar peak": DAR_PEAK,
    "half of dar": HALF_OF_DAR,
    "mostly dar": MOSTLY_DAR,
    "arequipa peak": AREQUIPA_PEAK,
    "scarce": SCARCE,
    "uneven": UNEVEN,
    "uneven calm": UNEVEN_CALM,
    "uneven speeds": UNEVEN_SPEEDS,
}
"""Each load by its name in tables."""
