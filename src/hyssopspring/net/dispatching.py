"""Execution of requests: attempts at servers and other data centres."""

from dataclasses import dataclass, replace

import msgspec

from ..core.events import EventKind
from ..core.exceptions import ensure
from ..core.hashing import short_id
from ..core.outcomes import Answered, NotRun, Reason, Unknown, combine
from ..core.plans import Finish, Forward, Plan, Serve
from ..core.sentinels import NOTHING
from ..core.servers import LoadReport
from .backends import build_backend_request
from .crashdetection import AttemptTiming
from .forwarding import build_forward_request
from .inprogress import Wait

SERVER_FAILURE_REASONS = (
    Reason.CONNECT,
    Reason.REFUSED,
    Reason.CONNECTION_LOST,
    Reason.BAD_ANSWER,
    Reason.TRUNCATED,
    Reason.SERVER_ERROR,
    Reason.DEADLINE,
)
"""Reasons that count as a failure of the backend server."""


class ReportedLoad(msgspec.Struct, frozen=True):
    """Load report in the form that backend servers send."""

    incarnation: str
    sequence: int
    running: int
    waiting: int
    slots: int
    leaving: bool


LOAD_DECODER = msgspec.json.Decoder(ReportedLoad)
"""Decoder of the load reports of backend servers."""

DATA_CENTRE_LOAD_DECODER = msgspec.json.Decoder(tuple[int, float, float])
"""Decoder of the ``x-load`` header of a host: slots, load and wait."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HostState:
    """State that the components of a host share.

    Attributes:
        host: Name of this host.
        region: Its region.
        data_centre: Its data centre.
        clock: The clock (the reactor).
        timeline: The `Timeline`, the event log.
        table: `ServerTable` of the data centre.
        centres: `CentreTable` of the other data centres.
        keeper: `GenerationKeeper` of the configuration.
        budget: `RetryBudget` of the host.
        rng: Random number generator.
        policy: Name of the policy that chooses among the servers of the data
            centre.
        trust: The `Trust`, which decides whether the configuration may be
            out of date.
        crash_detector: `CallCrashDetector` that blocks requests under which
            servers crash.
        drain: The `Drain`, the planned stop of this host.
    """

    host: str
    region: str
    data_centre: str
    clock: object
    timeline: object
    table: object
    centres: object
    keeper: object
    budget: object
    rng: object
    policy: str
    trust: object
    crash_detector: object
    drain: object


class Dispatcher:
    """Execute requests.

    Args:
        state: The `HostState`.
        client: `BackendClient` for backend servers and other hosts.
        signer: `Signer` for forwarded requests.

    Attributes:
        active: Attempt in progress, by identifier of the request.
        attempted: Identifiers of the requests in progress of which an
            attempt was made.
    """

    def __init__(self, state, client, signer):
        self.state = state
        self.client = client
        self.signer = signer
        self.active = {}
        self.attempted = set()

    async def run(self, request, message, sink):
        """Execute one request.

        Args:
            request: The `Request`.
            message: Its `CallerMessage`.
            sink: `Sink` that the response is written to.

        Returns:
            The final outcome. If it is `Answered`, the whole response has
            been written to the sink. Nothing is written to the sink
            afterwards.
        """
        state = self.state
        plan = Plan(
            request,
            configuration=state.keeper.enforced,
            table=state.table,
            centres=state.centres,
            budget=state.budget,
            rng=state.rng,
            policy=state.policy,
        )
        try:
            outcome = await self.run_plan(plan, message, sink)
            return state.drain.explain(request, outcome)
        finally:
            self.attempted.discard(request.id)
            state.crash_detector.request_finished(request)

    async def run_plan(self, plan, message, sink):
        """Run the attempts of a plan and return the final outcome."""
        state = self.state
        request = plan.request
        while True:
            if state.drain.ending:
                return state.drain.outcome_of(plan.outcomes)
            self.refresh_permissions(plan)
            refusal = state.crash_detector.refusal(request, message)
            if refusal is not NOTHING:
                return combine([*plan.outcomes, refusal])
            step = plan.next(state.clock.seconds())
            if isinstance(step, Finish):
                return step.outcome
            outcome = await self.attempt(plan.request, message, sink, step)
            if not isinstance(outcome, Answered):
                self.log_failure(request, step, outcome)
            plan.record(outcome)
            has_head = sink.head is not NOTHING
            is_cut = has_head and not isinstance(outcome, Answered)
            if is_cut and not state.drain.ending:
                return Unknown(outcome.reason)

    def refresh_permissions(self, plan):
        """Update the plan to the permissions that are in force now.

        A request may run for a long time. If the plan kept the permissions
        that it was created with, each retry would use permissions that
        have been revoked since, or that this host must not use while it
        is confined to its home region.
        """
        state = self.state
        request = plan.request
        residency = state.trust.permitted(
            request.residency,
            request.home,
            state.region,
            state.clock.seconds(),
        )
        if residency is NOTHING:
            residency = frozenset()
        plan.configuration = state.keeper.enforced
        plan.request = state.drain.bound(replace(request, residency=residency))

    async def attempt(self, request, message, sink, step):
        """Execute one step of the plan and return its outcome."""
        ensure(
            sink.head is NOTHING,
            "attempt started after the response was started",
        )
        self.attempted.add(request.id)
        if isinstance(step, Serve):
            return await self.serve(request, message, sink, step)
        return await self.forward(request, message, sink, step)

    async def serve(self, request, message, sink, step):
        """Send an attempt to a backend server and return its outcome."""
        state = self.state
        entry = step.server.entry
        attempt = f"{request.id}-{step.number}"
        outgoing = build_backend_request(
            request, attempt, step.target, entry.address, message
        )
        state.timeline.note(
            EventKind.ATTEMPT, request=request.id, server=entry.name
        )
        state.table.record_attempt(entry.name)
        sink.note_wait(Wait.SERVER)
        started_at = state.clock.seconds()
        outcome = NOTHING
        try:
            outcome = await self.send(
                request,
                outgoing,
                sink,
                lambda data: self.apply_load_report(entry.name, data),
            )
        finally:
            self.record_end(entry.name, outcome, sink, started_at)
        times = AttemptTiming(
            started_at=started_at,
            predicted=step.server.queue_wait(started_at),
            first_body_at=sink.first_body_at,
            head_received=sink.head is not NOTHING,
            now=state.clock.seconds(),
        )
        sink.note_wait(Wait.CRASH_CHECK)
        await state.crash_detector.check_attempt(
            request,
            message,
            instance_of(step.server),
            entry.address,
            outcome,
            times,
        )
        return outcome

    async def send(self, request, outgoing, sink, on_load):
        """Send *outgoing*, until `cancel_request`, and return its outcome."""
        work = self.client.send(
            outgoing,
            sink,
            deadline=request.deadline,
            on_load=on_load,
        )
        self.active[request.id] = work
        try:
            return await work
        finally:
            self.active.pop(request.id, None)

    def record_end(self, name, outcome, sink, started_at):
        """Record the end of an attempt in the server table.

        Args:
            name: Name of the backend server.
            outcome: Outcome of the attempt, or `NOTHING` if it raised.
            sink: The `Sink` of the response.
            started_at: Time at which the attempt was sent.
        """
        now = self.state.clock.seconds()
        failed = getattr(outcome, "reason", NOTHING) in SERVER_FAILURE_REASONS
        first = transfer_seconds = NOTHING
        if sink.first_body_at is not NOTHING:
            first = sink.first_body_at - started_at
            transfer_seconds = now - sink.first_body_at
        retry_paused = self.state.table.record_attempt_end(
            name,
            now,
            failed=failed,
            first_token=first,
            transfer_seconds=transfer_seconds,
        )
        if retry_paused:
            self.state.timeline.note(
                EventKind.SERVER_PAUSED, server=name, reason=outcome.reason
            )
        if outcome == NotRun(Reason.LEAVING):
            self.state.table.mark_leaving(name)

    async def forward(self, request, message, sink, step):
        """Forward an attempt to a gateway of another data centre."""
        state = self.state
        state.timeline.note(
            EventKind.FORWARD,
            request=request.id,
            data_centre=step.summary.data_centre,
        )
        outgoing = build_forward_request(
            request, message, step, state, self.signer
        )

        def on_load(data):
            self.apply_data_centre_load(step, data)

        state.centres.record_forward(step.summary.data_centre)
        sink.note_wait(Wait.OTHER_HOST)
        return await self.send(request, outgoing, sink, on_load)

    def apply_load_report(self, server, data):
        """Apply a load report from the headers of a server's response."""
        try:
            load = LOAD_DECODER.decode(data)
        except msgspec.DecodeError:
            return
        self.state.table.apply_report(
            server, reported_load(load, self.state.clock.seconds())
        )

    def apply_data_centre_load(self, step, data):
        """Apply the load of another data centre from its response."""
        try:
            load = DATA_CENTRE_LOAD_DECODER.decode(data)
        except msgspec.DecodeError:
            return
        self.state.centres.apply_load(
            step.summary.data_centre,
            step.target,
            load,
            self.state.clock.seconds(),
        )

    def cancel_request(self, identifier):
        """Cancel the attempt in progress of a request.

        Its caller has disconnected, or the host ends.
        """
        work = self.active.pop(identifier, NOTHING)
        if work is not NOTHING:
            work.cancel()

    def log_failure(self, request, step, outcome):
        """Log the end of a failed attempt to the event log."""
        destination = step.server.entry.name if isinstance(step, Serve) else ""
        if isinstance(step, Forward):
            destination = step.summary.data_centre
        self.state.timeline.note(
            EventKind.ATTEMPT_ENDED,
            request=request.id,
            at=destination,
            outcome=type(outcome).__name__,
            reason=outcome.reason,
        )


def instance_of(server):
    """Return the identifier of a server's running instance."""
    if server.report is NOTHING:
        return server.entry.name
    return f"{server.entry.name}/{server.report.incarnation}"


def reported_load(load, now):
    """Return the `LoadReport` of a report that the server itself sent."""
    short = short_id(load.incarnation)
    return replace(load_report(load, now), incarnation=short)


def load_report(load, now):
    """Return the `LoadReport` of a report that was received at *now*."""
    return LoadReport(
        incarnation=load.incarnation,
        sequence=load.sequence,
        running=load.running,
        waiting=load.waiting,
        slots=load.slots,
        leaving=load.leaving,
        at=now,
    )
