"""HTTP API for callers: model calls, service calls, lists and health."""

import uuid

import msgspec

from ..core.configuration import DEFAULT_DEADLINE_MS
from ..core.events import EventKind
from ..core.hashing import credential_digest, hash_bytes
from ..core.outcomes import Answered, NotRun, Reason
from ..core.requests import Priority, Request, Target, TargetKind
from ..core.sentinels import NOTHING
from .answers import Sink, respond_outcome
from .backends import CallerMessage
from .calls import Call
from .serving import header, respond_json

PREFIX_BYTES = 256
"""Bytes of the prompt's start that the prefix hash covers."""

SERVICES_PATH = b"/services/"
PRIORITIES = {
    "interactive": Priority.INTERACTIVE,
    "normal": Priority.NORMAL,
    "batch": Priority.BATCH,
}
MAX_KEY_CHARACTERS = 255
"""Longest idempotency key that a caller may send."""


class RequestRejected(Exception):  # noqa: N818 - an outcome, not an error
    """Raised if a request is rejected before its first attempt.

    Attributes:
        outcome: The `NotRun` that is sent to the caller.
    """

    def __init__(self, reason, retry_after=1.0):
        super().__init__(reason)
        self.outcome = NotRun(reason, retry_after)


class CompletionBody(msgspec.Struct):
    """The fields of a request body that the gateway decodes.

    All other fields are passed through to the engine.
    """

    model: str
    stream: bool = False
    prompt: str | list = ""
    messages: list[msgspec.Raw] = []


class CallerApi:
    """Serve the HTTP requests of callers.

    Args:
        state: The `HostState`.
        dispatcher: The `Dispatcher`.
        drain: The `Drain`, the planned stop of this host.
        interceptors: `Interceptors` that run before the first attempt.
        entry_hosts: Returns the list of hosts that callers should use.
    """

    def __init__(self, state, dispatcher, drain, interceptors, entry_hosts):
        self.state = state
        self.dispatcher = dispatcher
        self.drain = drain
        self.interceptors = interceptors
        self.entry_hosts = entry_hosts
        self.body_decoder = msgspec.json.Decoder(CompletionBody)

    def add_routes(self, router):
        """Register the routes for callers."""
        router.add("POST", "/v1/completions", self.model_call)
        router.add("POST", "/v1/chat/completions", self.model_call)
        router.add("*", "/services/", self.service_call)
        router.add("GET", "/v1/models", self.list_models)
        router.add("GET", "/v1/hosts", self.list_hosts)
        router.add("GET", "/healthz", self.health)
        router.add("GET", "/readyz", self.ready)

    def health(self, http_request):
        """Respond that the process is running."""
        respond_json(http_request, 200, {"status": "ok"})

    def ready(self, http_request):
        """Respond whether the host accepts new requests."""
        generation = self.state.keeper.generation
        ready = generation > 0 and not self.drain.leaving
        respond_json(
            http_request,
            200 if ready else 503,
            {"ready": ready, "generation": generation},
        )

    def list_hosts(self, http_request):
        """Respond with the entry hosts to use, best first."""
        respond_json(http_request, 200, self.entry_hosts())

    def list_models(self, http_request):
        """Respond with the models that the caller is permitted to use."""
        try:
            workspace = self.authenticate(http_request)
        except RequestRejected as rejection:
            respond_outcome(http_request, rejection.outcome)
            return
        configuration = self.state.keeper.enforced
        names = [
            name
            for name in configuration.models
            if configuration.permitted(
                workspace, Target(TargetKind.MODEL, name)
            )
        ]
        rows = [
            {"id": name, "object": "model", "created": 0, "owned_by": ""}
            for name in names
        ]
        respond_json(http_request, 200, {"object": "list", "data": rows})

    async def model_call(self, http_request):
        """Serve a completion or a chat completion."""
        await self.serve(http_request, self.parse_model_call)

    async def service_call(self, http_request):
        """Serve a call of a plain service."""
        await self.serve(http_request, self.parse_service_call)

    async def serve(self, http_request, parse):
        """Parse a request, execute it and finish its response.

        Args:
            http_request: The `twisted.web` request.
            parse: Returns the `Request` and the `CallerMessage`, or raises
                `RequestRejected`.
        """
        identifier = uuid.uuid4().hex
        sink = Sink(
            http_request,
            self.state.clock,
            [(b"hyssop-request-id", identifier.encode())],
        )
        try:
            request, message = parse(http_request, identifier)
        except RequestRejected as rejection:
            sink.fail(rejection.outcome)
            return
        call = Call(
            self.dispatcher,
            request,
            sink,
            lambda outcome: self.log_outcome(request, outcome, sink),
        )
        await call.run(lambda: self.execute(request, message, sink))

    async def execute(self, request, message, sink):
        """Run a parsed request through the interceptors to its outcome."""
        self.state.timeline.note(
            EventKind.REQUEST,
            request=request.id,
            workspace=request.workspace,
            target=request.target.name,
        )
        return await self.interceptors.intercept(
            request,
            lambda: self.dispatcher.run(request, message, sink),
            sink.note_wait,
        )

    def log_outcome(self, request, outcome, sink):
        """Log the outcome that the caller was sent."""
        if isinstance(outcome, Answered):
            kind = EventKind.ANSWERED
            details = {"status": outcome.status, "bytes": sink.bytes}
        else:
            kind = EventKind.UNKNOWN
            if isinstance(outcome, NotRun):
                kind = EventKind.NOT_RUN
            details = {"reason": outcome.reason}
        self.state.timeline.note(kind, request=request.id, **details)

    def authenticate(self, http_request):
        """Return the workspace that owns the caller's API key.

        Raises:
            RequestRejected: The host has no configuration yet, or no
                workspace owns the key.
        """
        keeper = self.state.keeper
        if not keeper.generation:
            raise RequestRejected(Reason.NO_CONFIGURATION)
        scheme, _, key = header(http_request, "authorization").partition(" ")
        digest = credential_digest(key.encode())
        workspace = keeper.key_owners.get(digest)
        if scheme.lower() != "bearer" or workspace is None:
            raise RequestRejected(Reason.UNKNOWN_WORKSPACE)
        return workspace

    def parse_model_call(self, http_request, identifier):
        """Return the `Request` and the `CallerMessage` of a model call."""
        workspace = self.authenticate(http_request)
        body = http_request.read_body()
        try:
            values = self.body_decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError):
            raise RequestRejected(Reason.BAD_REQUEST) from None
        target = Target(TargetKind.MODEL, values.model)
        if self.state.keeper.enforced.offer(target) is NOTHING:
            raise RequestRejected(Reason.UNKNOWN_MODEL)
        message = CallerMessage(
            b"POST", http_request.path, b"application/json", body
        )
        request = self.resolve(
            http_request,
            identifier,
            workspace,
            target,
            stream=values.stream,
            prefix=hash_prompt_prefix(values),
        )
        return request, message

    def parse_service_call(self, http_request, identifier):
        """Return the `Request` and the `CallerMessage` of a service call."""
        workspace = self.authenticate(http_request)
        suffix = http_request.uri[len(SERVICES_PATH) :]
        name, _, resource = suffix.partition(b"/")
        target = Target(TargetKind.SERVICE, name.decode("utf-8", "replace"))
        if self.state.keeper.enforced.offer(target) is NOTHING:
            raise RequestRejected(Reason.UNKNOWN_SERVICE)
        message = CallerMessage(
            http_request.method,
            b"/" + resource,
            header(http_request, "content-type", "text/plain").encode(),
            http_request.read_body(),
        )
        request = self.resolve(http_request, identifier, workspace, target)
        return request, message

    def resolve(
        self,
        http_request,
        identifier,
        workspace,
        target,
        *,
        stream=False,
        prefix=0,
    ):
        """Build the `Request` from the headers and the configuration.

        Limits of the workspace and of the target bound what the caller
        asks for.

        Raises:
            RequestRejected: The host is draining, no region may serve the
                request, or a header is invalid.
        """
        if self.drain.refusing:
            raise RequestRejected(Reason.LEAVING)
        configuration = self.state.keeper.enforced
        permissions = configuration.workspaces[workspace]
        offer = configuration.offer(target)
        max_ms = min(permissions.deadline_ms, offer.deadline_ms)
        seconds = parse_deadline(http_request, max_ms)
        return Request(
            id=identifier,
            workspace=workspace,
            target=target,
            residency=self.resolve_residency(http_request, workspace, target),
            home=permissions.home,
            deadline=self.state.clock.seconds() + seconds,
            priority=parse_priority(http_request),
            repeatable=self.is_repeatable(http_request, workspace, target),
            key=parse_idempotency_key(http_request),
            prefix=prefix,
            attempts=min(permissions.attempts, offer.attempts),
            fallbacks=configuration.fallbacks(target),
            stream=stream,
        )

    def resolve_residency(self, http_request, workspace, target):
        """Return the regions that may serve the request.

        Raises:
            RequestRejected: No region is left, or this host may not
                decide on the request because its configuration may be
                outdated.
        """
        configuration = self.state.keeper.enforced
        residency = configuration.permitted(workspace, target)
        requested = header(http_request, "hyssop-residency")
        if requested:
            named = {part.strip() for part in requested.split(",")}
            residency &= frozenset(named)
        residency = self.state.trust.permitted(
            residency,
            configuration.workspaces[workspace].home,
            self.state.region,
            self.state.clock.seconds(),
        )
        if residency is NOTHING:
            raise RequestRejected(Reason.UNVERIFIED)
        if not residency:
            raise RequestRejected(Reason.RESIDENCY)
        return residency

    def is_repeatable(self, http_request, workspace, target):
        """Whether the request may run more than once.

        The caller, the workspace, the target and all of its fallbacks must
        permit it.
        """
        if header(http_request, "hyssop-repeatable").lower() == "no":
            return False
        configuration = self.state.keeper.enforced
        targets = (target, *configuration.fallbacks(target))
        return configuration.workspaces[workspace].repeatable and all(
            configuration.offer(one).repeatable for one in targets
        )


def parse_deadline(http_request, max_ms):
    """Return the caller's deadline in seconds, at most *max_ms*.

    Raises:
        RequestRejected: The header is not a positive integer.
    """
    text = header(http_request, "hyssop-deadline-ms")
    if not text:
        return min(max_ms, DEFAULT_DEADLINE_MS) / 1000
    if not text.isascii() or not text.isdigit() or int(text) == 0:
        raise RequestRejected(Reason.BAD_DEADLINE)
    return min(max_ms, int(text)) / 1000


def parse_priority(http_request):
    """Return the `Priority` from the caller's header.

    Raises:
        RequestRejected: The header names no known priority.
    """
    text = header(http_request, "hyssop-priority", "normal").lower()
    if text not in PRIORITIES:
        raise RequestRejected(Reason.BAD_REQUEST)
    return PRIORITIES[text]


def parse_idempotency_key(http_request):
    """Return the idempotency key, or `NOTHING` if there is none.

    Raises:
        RequestRejected: The key is too long.
    """
    key = header(http_request, "idempotency-key")
    if len(key) > MAX_KEY_CHARACTERS:
        raise RequestRejected(Reason.BAD_REQUEST)
    return key or NOTHING


def hash_prompt_prefix(values):
    """Return a hash of the start of the prompt.

    Of a chat, the first four messages are considered.
    """
    if values.messages:
        start = b"".join(bytes(part) for part in values.messages[:4])
    elif isinstance(values.prompt, str):
        start = values.prompt.encode()
    else:
        start = msgspec.json.encode(values.prompt)
    return hash_bytes(start[:PREFIX_BYTES])
