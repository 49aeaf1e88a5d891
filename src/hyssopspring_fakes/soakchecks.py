"""Promises to callers, checked on what a soak has seen."""

from bisect import bisect_right
from dataclasses import dataclass

__all__ = [
    "APPLY_SECONDS",
    "NOT_RUN",
    "Bounds",
    "Disturbance",
    "History",
    "Probe",
    "Seen",
    "Target",
    "Violation",
    "check_history",
]

APPLY_SECONDS = 4.0
KEPT_ROUTES = 8
"""Versions for which an added route stays."""

ROTATION = 12
"""Services that the moved route passes through, one with each version."""


NOT_RUN = (408, 421, 429, 503)
"""Statuses that tell that no server has run the request."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """What is promised.

    Attributes:
        apply: Seconds after the acknowledgement of a version in which it
            is in force.
        stable: Seconds without a disturbance after which a host counts as
            in touch.
        back: Seconds after the effect of a version was seen from which no
            request may be handled by an older one.
        served: Part of the requests to hosts in touch that must be served.
    """

    apply: float = APPLY_SECONDS
    stable: float = 6.0
    back: float = 0.25
    served: float = 0.75


@dataclass(frozen=True, slots=True)
class Target:
    """What a probe asks for.

    Attributes:
        kind: "moved" for the route that each version moves on, "added" for
            a route that one version added, or "noticing" for one whose
            servers say things of themselves.
        version: That version; 0 for the moved route.
    """

    kind: str
    version: int = 0

    @property
    def path(self):
        """Path of the request."""
        if self.kind != "added":
            return f"/{self.kind}/x"
        return f"/added-{self.version}/x"


@dataclass(frozen=True, slots=True, kw_only=True)
class Probe:
    """A request straight to one host, and its end.

    Attributes:
        id: Its identifier.
        host: The host.
        life: Number of the process among those of the host.
        target: The `Target`.
        sent: Time at which it was sent.
        ended: Time of its answer.
        status: HTTP status, or 0 if the connection ended without one.
        service: Service that answered, or "".
        whole: Whether a success was the whole answer to this request.
    """

    id: str
    host: str
    life: int
    target: Target
    sent: float
    ended: float
    status: int
    service: str = ""
    whole: bool = True


@dataclass(frozen=True, slots=True)
class Seen:
    """What a server ran.

    Attributes:
        request: Identifier of the request.
        service: Service of the server.
    """

    request: str
    service: str


@dataclass(slots=True)
class Disturbance:
    """A span of time in which something was done to a host.

    Attributes:
        start: Its start.
        end: Its end; infinite while it lasts.
        planned: Whether it is planned work, which must lose nothing.
        kills_all: Whether all hosts were killed at once.
    """

    start: float
    end: float
    planned: bool = False
    kills_all: bool = False


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken.

    Attributes:
        rule: Name of the promise.
        probe: The `Probe` that shows it, or None.
        text: What was seen and what was allowed.
    """

    rule: str
    probe: object
    text: str


class History:
    """What a run has seen.

    Attributes:
        acknowledged: Time of each version's acknowledgement, in the order
            of the versions, which are 1, 2, 3 and so on.
        probes: Each `Probe`.
        ran: Each `Seen`.
        disturbed: Each `Disturbance` by host.
    """

    def __init__(self):
        self.acknowledged = []
        self.probes = []
        self.ran = []
        self.disturbed = {}

    def disturb(self, host, start, end, *, planned=False, kills_all=False):
        """Note that a host is disturbed; return the `Disturbance`."""
        noted = Disturbance(start, end, planned, kills_all)
        self.disturbed.setdefault(host, []).append(noted)
        return noted

    def around(self, host, start, end, stable):
        """Return what disturbed a host from before *start* to *end*."""
        return [
            one
            for one in self.disturbed.get(host, ())
            if one.start <= end and start - stable < one.end
        ]

    def in_touch(self, host, start, end, stable):
        """Whether a host was undisturbed from before *start* to *end*."""
        return not self.around(host, start, end, stable)

    def kills(self, host, start, end):
        """Return how often a host was killed with all others in a time."""
        return sum(
            one.kills_all and start < one.start and one.end < end
            for one in self.disturbed.get(host, ())
        )

    def newest(self, at):
        """Return the newest version acknowledged at a time, or 0."""
        return bisect_right(self.acknowledged, at)


def service_of(version):
    """Return the service of the moved route in one version."""
    return f"plain-{version % ROTATION}"


def has_route(version, added):
    """Whether a version has the route that the version *added* added."""
    return added <= version < added + KEPT_ROUTES


def fits(probe, version):
    """Whether an answer is what one version asks for."""
    target = probe.target
    if probe.status not in (200, 404) or target.kind == "noticing":
        return probe.status != 404 or target.kind != "noticing"
    if target.kind == "moved":
        return probe.status == 200 and probe.service == service_of(version)
    return has_route(version, target.version) == (probe.status == 200)


def check_history(history, bounds=None):
    """Return each `Violation` in a history.

    Args:
        history: The `History`.
        bounds: The `Bounds`.
    """
    bounds = bounds or Bounds()
    found = []
    for check in (in_force, never_back, own_answers, not_run, lost, served):
        found += check(history, bounds)
    return found


def in_force(history, bounds):
    """Find requests handled as only too old a version allows.

    A host that is out of touch may run them. It may not deny a route that
    is there: it knows that it cannot know.
    """
    found = []
    for probe in history.probes:
        if probe.status != 404 and not history.in_touch(
            probe.host, probe.sent, probe.ended, bounds.stable
        ):
            continue
        oldest = history.newest(probe.sent - bounds.apply)
        # A version is in force somewhere before its acknowledgement.
        newest = history.newest(probe.ended) + 1
        if not any(fits(probe, one) for one in range(oldest, newest + 1)):
            rule = "DENIED" if probe.status == 404 else "CONFIG"
            text = f"allowed {oldest} to {newest}, got {answer_of(probe)}"
            found.append(Violation(rule, probe, text))
    return found


def never_back(history, bounds):
    """Find requests handled by an older version than was seen before."""
    found = []
    lives = {}
    for probe in sorted(history.probes, key=lambda one: one.sent):
        lives.setdefault((probe.host, probe.life), []).append(probe)
    for probes in lives.values():
        found += back_in_one_life(probes, history, bounds)
    return found


def back_in_one_life(probes, history, bounds):
    """Find the same in the life of one process."""
    found, seen = [], []
    for probe in probes:
        before = [
            version for at, version in seen if at < probe.sent - bounds.back
        ]
        least = max(before, default=0)
        if probe.status not in (200, 404):
            continue
        newest = history.newest(probe.ended) + 1
        fitting = [one for one in range(least, newest + 1) if fits(probe, one)]
        if not fitting:
            text = f"version {least} was seen, got {answer_of(probe)}"
            found.append(Violation("BACK", probe, text))
        else:
            seen.append((probe.ended, fitting[0]))
    return found


def own_answers(history, bounds):
    """Find successes that are not the whole answer to the request."""
    return [
        Violation("MIXED", probe, "not the whole answer to it")
        for probe in history.probes
        if probe.status == 200 and not probe.whole
    ]


def not_run(history, bounds):
    """Find requests that ran although their callers were told not."""
    ran = {seen.request for seen in history.ran}
    return [
        Violation("REFUSED", probe, f"{probe.status}, and a server ran it")
        for probe in history.probes
        if probe.status in NOT_RUN and probe.id in ran
    ]


def lost(history, bounds):
    """Find requests that planned work has cut after a server ran them."""
    ran = {seen.request for seen in history.ran}
    found = []
    for probe in history.probes:
        if probe.status or probe.id not in ran:
            continue
        around = history.around(
            probe.host, probe.sent, probe.ended, bounds.stable
        )
        if all(one.planned for one in around):
            found.append(Violation("LOST", probe, "no answer, and it ran"))
    return found


def served(history, bounds):
    """Find hosts in touch that serve too few requests."""
    counts = {}
    for probe in history.probes:
        # Servers that are in need may well take nothing.
        if probe.target.kind != "noticing" and history.in_touch(
            probe.host, probe.sent, probe.ended, bounds.stable
        ):
            whole, part = counts.get(probe.host, (0, 0))
            done = probe.status in (200, 404)
            counts[probe.host] = (whole + 1, part + done)
    return [
        Violation("SERVED", None, f"{host}: {part} of {whole}")
        for host, (whole, part) in counts.items()
        if whole >= 20 and part < whole * bounds.served
    ]


def answer_of(probe):
    """Return an answer as text."""
    return f"{probe.status} {probe.service}".strip()
