"""Requests that one host forwards to another data centre."""

from base64 import b64decode, b64encode
from binascii import Error as Base64Error

import msgspec

from ..core.events import EventKind
from ..core.exceptions import ProtocolError
from ..core.forwarding import refuse_forwarded
from ..core.outcomes import Answered, NotRun, Reason
from ..core.requests import Priority, Request, Target, TargetKind
from ..core.sentinels import NOTHING
from .answers import Sink, read_outcome, respond_outcome
from .backends import Call, Message
from .messages import ENCODER, ForwardedRequestHead, decode_head
from .serving import header

HEAD = b"hyssop-head"
SIGNATURE = b"hyssop-signature"
FORWARD_PATH = "/forward"


def forward_call(request, message, step, state, signer):
    """Return the `Call` that forwards *request*.

    Args:
        request: The `Request`.
        message: Its `Message`.
        step: The `Forward` step.
        state: The `HostState`.
        signer: The `Signer`.
    """
    head = ENCODER.encode(make_head(request, message, step, state))
    body = message.body_for(step.target, request.target)
    signature = signer.sign(head, body)
    return Call(
        id=f"{request.id}-{step.number}",
        method=b"POST",
        url=f"http://{step.address}{FORWARD_PATH}".encode(),
        headers=(
            (b"content-type", message.content_type),
            (HEAD, b64encode(head)),
            (SIGNATURE, b64encode(signature)),
        ),
        body=body,
        stream=request.stream,
        repeatable=request.repeatable,
        refusal=read_outcome,
    )


def make_head(request, message, step, state):
    """Return the `ForwardedRequestHead` of a request for another host."""
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
        drain: The `Drain`.
    """

    def __init__(self, state, dispatcher, signer, drain):
        self.state = state
        self.dispatcher = dispatcher
        self.signer = signer
        self.drain = drain

    def add_routes(self, router):
        """Add the path for forwarded requests."""
        router.add("POST", FORWARD_PATH, self.serve)

    async def serve(self, http_request):
        """Serve one forwarded request on this data centre's servers."""
        try:
            head, body = self.read(http_request)
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
                (b"x-load", self.load_of(head)),
            ],
        )
        request = forwarded_request(head, self.state)
        refusal = self.refuse(request)
        if refusal is not NOTHING:
            self.state.timeline.note(
                EventKind.FORWARD_REFUSED,
                request=request.id,
                reason=refusal.reason,
            )
            sink.fail(refusal)
            return
        message = Message(
            head.method.encode(),
            head.resource.encode("latin-1"),
            header(http_request, "content-type").encode(),
            body,
        )
        await self.carry_out(http_request, request, message, sink)

    def load_of(self, head):
        """Return slots, load and wait of the target, for the sender."""
        target = Target(TargetKind(head.kind), head.target)
        totals = self.state.table.summary(self.state.clock.seconds())
        return msgspec.json.encode(totals.get(target, (0, 0.0, 0.0)))

    async def carry_out(self, http_request, request, message, sink):
        """Dispatch the request and send its outcome back."""
        gone = http_request.notifyFinish()
        gone.addErrback(lambda _: self.dispatcher.abandon(request.id))
        with self.drain.working():
            outcome = await self.dispatcher.run(request, message, sink)
            if isinstance(outcome, Answered):
                sink.finish()
            else:
                sink.fail(outcome)

    def read(self, http_request):
        """Check the signature; return the head and the body.

        Callers reach the same network. Without the signature one could
        claim any workspace and any residency for itself.

        Raises:
            ProtocolError: The request is not one of our hosts'.
        """
        http_request.content.seek(0)
        body = http_request.content.read()
        try:
            head = b64decode(http_request.getHeader(HEAD) or b"")
            signature = b64decode(http_request.getHeader(SIGNATURE) or b"")
        except Base64Error as error:
            raise ProtocolError(f"bad encoding: {error}") from None
        if not self.signer.verify(signature, head, body):
            raise ProtocolError("bad signature of a forwarded request")
        return decode_head(head), body

    def refuse(self, request):
        """Return why the request is not served here, or `NOTHING`."""
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

    It gets one attempt: the host that the caller asked counts attempts,
    and two hosts that both retry would multiply them.
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
