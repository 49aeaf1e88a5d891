"""The attempts of one request: what to try next, and when to stop."""

from dataclasses import dataclass

from .choice import DEFAULT_POLICY, find_policy
from .exceptions import ensure
from .outcomes import Answered, NotRun, Reason, Unknown, combine
from .placement import CentreSummary, permitted_regions, rank_data_centres
from .requests import Request, Target
from .sentinels import NOTHING
from .servers import Server

MIN_ATTEMPT_SECONDS = 0.005
MAX_RETRY_AFTER_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class Serve:
    """Send an attempt to a backend server of the own data centre."""

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
    """Give the caller its final outcome."""

    outcome: Answered | NotRun | Unknown


class Plan:
    """Decide the attempts of one request, one after the other.

    One budget of attempts covers retries, fallbacks and other regions
    together, so that settings of different teams cannot multiply.

    Args:
        request: The `Request`.
        configuration: The `Configuration` in force.
        table: `ServerTable` of the own data centre.
        centres: `CentreTable` of the other data centres.
        budget: `RetryBudget` of this host.
        rng: Random number generator.
        policy: Name of the registered choice within a data centre.
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

    def next(self, now):
        """Return the next step: `Serve`, `Forward` or `Finish`."""
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
        """Return *step*, or the refusal of what would come too late.

        A request that is queued beyond its deadline takes a place from
        those that could still be answered; under overload all come too
        late then. Only the queue counts, not how long an answer took
        before: with no request let through, that would never change.
        """
        late = step.server.queue_wait(now) - (self.request.deadline - now)
        if late <= 0:
            return step
        wait = min(max(1.0, late), MAX_RETRY_AFTER_SECONDS)
        return Finish(NotRun(Reason.OVERLOADED, wait))

    def record(self, outcome):
        """Note the outcome of the step that `next` gave last."""
        self.outcomes.append(outcome)

    def final_outcome(self, now):
        """Return the final outcome if no further attempt is allowed."""
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
        """Whether a further attempt cannot become a second run.

        An attempt whose outcome is not known may have run, so a request
        that must not be repeated ends with it. Without a key it ends
        with its first attempt in any case: no claim stands behind it.
        """
        if self.request.repeatable:
            return True
        if self.request.key is NOTHING:
            return False
        return isinstance(last, NotRun)

    def conclude(self, reason):
        """Return the final outcome when nothing is left to try."""
        if self.outcomes:
            return combine(self.outcomes)
        return NotRun(reason)

    def find_next_step(self, now):
        """Return the best untried step over target and fallbacks."""
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
        """Return an attempt in the own data centre, or `NOTHING`."""
        ensure(
            self.centres.region in self.allowed(target),
            "served outside the request's residency",
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

        A request that was forwarded once stays where it is: two gateways
        that each hold the other for less loaded would send it to and fro
        without end.
        """
        ensure(
            summary.region in self.allowed(target),
            "forwarded outside the request's residency",
        )
        if self.request.path or not summary.gateways:
            return NOTHING
        if summary.data_centre in self.tried_centres:
            return NOTHING
        self.tried_centres.add(summary.data_centre)
        address = self.rng.choice(summary.gateways)
        return Forward(summary, address, target, len(self.outcomes))
