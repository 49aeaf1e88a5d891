"""Forwarding of requests to hosts of other data centres."""

from base64 import b64decode, b64encode
from binascii import Error as Base64Error

import msgspec

from ..core.events import EventKind
from ..core.exceptions import ProtocolError
from ..core.forwarding import refuse_forwarded
from ..core.outcomes import NotRun, Reason
from ..core.requests import Priority, Request, Target, TargetKind
from ..core.sentinels import NOTHING
from .answers import Sink, parse_outcome, respond_outcome
from .backends import CallerMessage, OutgoingRequest
from .calls import Call
from .messages import ENCODER, ForwardedRequestHead, decode_head
from .serving import header

HEAD_HEADER = b"hyssop-head"
SIGNATURE_HEADER = b"hyssop-signature"
FORWARD_PATH = "/forward"


def build_forward_request(request, message, step, state, signer):
    """Return the signed `OutgoingRequest` that forwards *request*.

    Args:
        request: The `Request`.
        message: Its `CallerMessage`.
        step: The `Forward` step of the plan.
        state: The `HostState`.
        signer: The `Signer`.
    """
    head = ENCODER.encode(build_head(request, message, step, state))
    body = message.body_for(step.target, request.target)
    signature = signer.sign(head, body)
    return OutgoingRequest(
        id=f"{request.id}-{step.number}",
        method=b"POST",
        url=f"http://{step.address}{FORWARD_PATH}".encode(),
        headers=(
            (b"content-type", message.content_type),
            (HEAD_HEADER, b64encode(head)),
            (SIGNATURE_HEADER, b64encode(signature)),
        ),
        body=body,
        stream=request.stream,
        repeatable=request.repeatable,
        refusal=parse_outcome,
    )


def build_head(request, message, step, state):
    """Return the `ForwardedRequestHead` that describes a request."""
    return ForwardedRequestHead(
        id=f"{request.id}-{step.number}",
        attempt=step.number,
        path=[*request.path, state.host],
        workspace=request.workspace,
        kind=step.target.kind,
        target=step.target.name,
        residency=sorted(request.residency),
        home=request.home,
        remaining=request.deadline - state.clock.seconds(),
        priority=int(request.priority),
        repeatable=request.repeatable,
        key=request.key or "",
        prefix=request.prefix,
        stream=request.stream,
        generation=state.keeper.generation,
        method=message.method.decode(),
        resource=message.resource.decode("latin-1"),
    )


class ForwardedApi:
    """Serve requests that other hosts forward.

    Args:
        state: The `HostState`.
        dispatcher: The `Dispatcher`.
        signer: The `Signer`.
        drain: The `Drain`, the planned stop of this host.
    """

    def __init__(self, state, dispatcher, signer, drain):
        self.state = state
        self.dispatcher = dispatcher
        self.signer = signer
        self.drain = drain

    def add_routes(self, router):
        """Register the route for forwarded requests."""
        router.add("POST", FORWARD_PATH, self.serve)

    async def serve(self, http_request):
        """Serve one forwarded request on the servers of this data centre."""
        try:
            head, body = self.authenticate(http_request)
        except ProtocolError as error:
            self.state.timeline.note(EventKind.PEER_REFUSED, why=error)
            respond_outcome(http_request, NotRun(Reason.BAD_PEER))
            return
        sink = Sink(
            http_request,
            self.state.clock,
            [
                (b"hyssop-outcome", b"answered"),
                (b"x-request-id", head.id.encode()),
                (b"x-load", self.encode_load(head)),
            ],
        )
        request = forwarded_request(head, self.state)
        refusal = self.find_refusal(request)
        if refusal is not NOTHING:
            self.state.timeline.note(
                EventKind.FORWARD_REFUSED,
                request=request.id,
                reason=refusal.reason,
            )
            sink.fail(refusal)
            return
        message = CallerMessage(
            head.method.encode(),
            head.resource.encode("latin-1"),
            header(http_request, "content-type").encode(),
            body,
        )
        call = Call(self.dispatcher, request, sink, lambda outcome: None)
        await call.run(lambda: self.dispatcher.run(request, message, sink))

    def encode_load(self, head):
        """Return the slots, load and wait of the target, encoded as JSON."""
        target = Target(TargetKind(head.kind), head.target)
        totals = self.state.table.summarize(self.state.clock.seconds())
        return msgspec.json.encode(totals.get(target, (0, 0.0, 0.0)))

    def authenticate(self, http_request):
        """Check the signature and return the head and the body.

        Callers can reach the same network. Without the signature, a
        caller could claim any workspace and any residency.

        Raises:
            ProtocolError: The request was not signed by another host of
                the deployment, or its head is malformed.
        """
        body = http_request.read_body()
        try:
            head = b64decode(http_request.getHeader(HEAD_HEADER) or b"")
            signature = b64decode(
                http_request.getHeader(SIGNATURE_HEADER) or b""
            )
        except Base64Error as error:
            raise ProtocolError(
                f"base64 header of a forwarded request is invalid: {error}"
            ) from None
        if not self.signer.verify(signature, head, body):
            raise ProtocolError("signature of a forwarded request is invalid")
        return decode_head(head), body

    def find_refusal(self, request):
        """Return the `NotRun` that refuses the request, or `NOTHING`."""
        if self.drain.refusing:
            return NotRun(Reason.LEAVING)
        permitted = self.state.keeper.enforced.permitted(
            request.workspace, request.target
        )
        permitted = self.state.trust.permitted(
            permitted,
            request.home,
            self.state.region,
            self.state.clock.seconds(),
        )
        if permitted is NOTHING:
            return NotRun(Reason.UNVERIFIED)
        return refuse_forwarded(
            request, self.state.host, self.state.region, permitted
        )


def forwarded_request(head, state):
    """Return the `Request` of a forwarded request.

    It has a single attempt: the host that received the request from the
    caller counts the attempts, and if both hosts retried, the attempts
    would multiply.
    """
    target = Target(TargetKind(head.kind), head.target)
    return Request(
        id=head.id,
        workspace=head.workspace,
        target=target,
        residency=frozenset(head.residency),
        home=head.home,
        deadline=state.clock.seconds() + head.remaining,
        priority=Priority(head.priority),
        repeatable=head.repeatable,
        key=head.key or NOTHING,
        prefix=head.prefix,
        attempts=1,
        stream=head.stream,
        path=tuple(head.path),
    )
