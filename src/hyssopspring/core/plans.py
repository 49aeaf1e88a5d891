"""Sequence of attempts of one request: next step and termination."""

from dataclasses import dataclass

from .choice import DEFAULT_POLICY, find_policy
from .exceptions import ensure
from .outcomes import Answered, NotRun, Reason, Unknown, combine
from .placement import CentreSummary, permitted_regions, rank_data_centres
from .requests import Request, Target
from .sentinels import NOTHING
from .servers import Server

MIN_ATTEMPT_SECONDS = 0.005
"""Time before the deadline below which no further attempt is made."""

MAX_RETRY_AFTER_SECONDS = 30.0
"""Upper bound of the retry-after time of a refused request."""


@dataclass(frozen=True, slots=True)
class Serve:
    """Send an attempt to a backend server of this data centre."""

    server: Server
    target: Target
    number: int


@dataclass(frozen=True, slots=True)
class Forward:
    """Send an attempt to a gateway of another data centre."""

    summary: CentreSummary
    address: str
    target: Target
    number: int


@dataclass(frozen=True, slots=True)
class Finish:
    """Return the final outcome to the caller."""

    outcome: Answered | NotRun | Unknown


class Plan:
    """Determine the attempts of one request, one at a time.

    A single limit on attempts covers retries, fallbacks and other
    regions, so that the settings of different teams do not multiply.

    Args:
        request: The `Request`.
        configuration: The `Configuration` in force.
        table: `ServerTable` of this data centre.
        centres: `CentreTable` of the other data centres.
        budget: `RetryBudget` of this host.
        rng: Random number generator.
        policy: Name of the registered policy that selects a server within
            a data centre.
    """

    def __init__(
        self,
        request,
        *,
        configuration,
        table,
        centres,
        budget,
        rng,
        policy=DEFAULT_POLICY,
    ):
        self.request: Request = request
        self.configuration = configuration
        self.table = table
        self.centres = centres
        self.budget = budget
        self.rng = rng
        self.choose = find_policy(policy)
        self.outcomes = []
        self.tried_servers = set()
        self.tried_centres = set()
        self.leaving_gateways = set()
        self.last_step = NOTHING

    def next(self, now):
        """Return the next step: `Serve`, `Forward` or `Finish`."""
        self.last_step = self.decide(now)
        return self.last_step

    def decide(self, now):
        """Return the step that follows the outcomes so far."""
        if self.outcomes:
            final = self.final_outcome(now)
            if final is not NOTHING:
                return Finish(final)
        else:
            self.budget.deposit()
        if self.request.deadline - now < MIN_ATTEMPT_SECONDS:
            return Finish(self.conclude(Reason.DEADLINE))
        step = self.find_next_step(now)
        if step is NOTHING:
            return Finish(self.conclude(Reason.NO_SERVER))
        if isinstance(step, Serve) and not self.outcomes:
            return self.check_queue(step, now)
        return step

    def check_queue(self, step, now):
        """Return *step*, or a refusal if it would miss the deadline.

        A request that is queued beyond its deadline takes a slot from
        requests that could still meet theirs, so under overload all
        requests would miss their deadlines. Only the queueing time is
        considered, not the duration of earlier responses: if no request
        were admitted, that estimate would never be updated.
        """
        late = step.server.queue_wait(now) - (self.request.deadline - now)
        if late <= 0:
            return step
        wait = min(max(1.0, late), MAX_RETRY_AFTER_SECONDS)
        return Finish(NotRun(Reason.OVERLOADED, wait))

    def record(self, outcome):
        """Record the outcome of the step that `next` returned last.

        A gateway that is shutting down says nothing about the others of its
        data centre.
        """
        self.outcomes.append(outcome)
        step = self.last_step
        if not isinstance(step, Forward) or not isinstance(outcome, NotRun):
            return
        if outcome.reason is Reason.LEAVING:
            self.leaving_gateways.add(step.address)
            self.tried_centres.discard(step.summary.data_centre)

    def final_outcome(self, now):
        """Return the final outcome, or `NOTHING` if a retry is allowed."""
        last = self.outcomes[-1]
        if isinstance(last, Answered):
            return last
        if not self.may_repeat(last):
            return combine(self.outcomes)
        if len(self.outcomes) >= self.request.attempts:
            return combine(self.outcomes)
        if last == Unknown(Reason.CALLER_GONE):
            return last
        if not self.budget.try_withdraw():
            return combine(self.outcomes)
        return NOTHING

    def may_repeat(self, last):
        """Return whether another attempt cannot lead to a second run.

        An attempt with an unknown outcome may have run, so it is the last
        attempt of a request that must not be repeated. Without an
        idempotency key, such a request ends with its first attempt in any
        case, because no claim protects it.
        """
        if self.request.repeatable:
            return True
        if self.request.key is NOTHING:
            return False
        return isinstance(last, NotRun)

    def conclude(self, reason):
        """Return the final outcome when no attempt is possible any more."""
        if self.outcomes:
            return combine(self.outcomes)
        return NotRun(reason)

    def find_next_step(self, now):
        """Return the best untried step for the target and its fallbacks."""
        for target in (self.request.target, *self.request.fallbacks):
            step = self.find_step_for(target, now)
            if step is not NOTHING:
                return step
        return NOTHING

    def find_step_for(self, target, now):
        """Return the best untried step for one target, or `NOTHING`."""
        for option in rank_data_centres(
            self.request,
            target,
            self.table,
            self.centres,
            self.configuration,
            now,
        ):
            if option.summary is NOTHING:
                step = self.serve(target, now)
            else:
                step = self.forward(option.summary, target)
            if step is not NOTHING:
                return step
        return NOTHING

    def serve(self, target, now):
        """Return an attempt in this data centre, or `NOTHING`."""
        ensure(
            self.centres.region in self.allowed(target),
            "request would be served outside its residency",
        )
        untried = [
            server
            for server in self.table.available_servers(target, now)
            if server.entry.name not in self.tried_servers
        ]
        if not untried:
            return NOTHING
        server = self.choose(self.request, untried, now, self.rng)
        self.tried_servers.add(server.entry.name)
        return Serve(server, target, len(self.outcomes))

    def allowed(self, target):
        """Return the regions that may serve *target*."""
        return permitted_regions(self.request, target, self.configuration)

    def forward(self, summary, target):
        """Return an attempt in another data centre, or `NOTHING`.

        A forwarded request is not forwarded again: two gateways that each
        consider the other less loaded would forward it in a loop.
        """
        ensure(
            summary.region in self.allowed(target),
            "request would be forwarded outside its residency",
        )
        gateways = [
            address
            for address in summary.gateways
            if address not in self.leaving_gateways
        ]
        if self.request.path or not gateways:
            return NOTHING
        if summary.data_centre in self.tried_centres:
            return NOTHING
        self.tried_centres.add(summary.data_centre)
        address = self.rng.choice(gateways)
        return Forward(summary, address, target, len(self.outcomes))
