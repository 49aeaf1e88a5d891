"""Claims of keys: which host writes them, and what follows for a request."""

import contextlib
import secrets
from base64 import b64decode, b64encode
from binascii import Error as Base64Error

import msgspec
from twisted.internet import defer
from twisted.web.http_headers import Headers

from ..core.claims import (
    SHARDS,
    Mark,
    Record,
    Verdict,
    key_digest,
    shard_of,
)
from ..core.exceptions import KeyValueError, NoAnswerError, ProtocolError
from ..core.health import Health
from ..core.membership import order
from ..core.outcomes import (
    Answered,
    NotRun,
    Reason,
    Repeated,
    Unknown,
)
from ..core.pacing import Pacer
from ..core.sentinels import NOTHING
from ..stores.claimlogs import CLAIMS_PREFIX, MARK_LIFE, ClaimLog
from .clients import fetch
from .control import SIGNATURE_HEADER
from .serving import header, respond, respond_error

CLAIM_PATH = "/claims"
NONCE_BYTES = 8
CLAIM_TIMEOUT_SECONDS = 1.5
OWNER_TIMEOUT_SECONDS = 0.6
RELEASE_DELAY_SECONDS = 4.0
FLEET_WRITES_PER_SECOND = 200.0
WRITE_BURST = 2.0
RETRY_AFTER_SECONDS = 2.0

REJECTIONS = {
    Verdict.IN_PROGRESS: Repeated(Reason.CLAIM_IN_PROGRESS),
    Verdict.DONE: Repeated(Reason.CLAIM_DONE),
    Verdict.UNKNOWN: Unknown(Reason.CLAIM_UNKNOWN),
    Verdict.UNAVAILABLE: NotRun(
        Reason.CLAIMS_UNAVAILABLE, RETRY_AFTER_SECONDS
    ),
}


class ClaimRequest(msgspec.Struct, frozen=True, array_like=True):
    """A record that another host is asked to write."""

    record: Record
    within: float


class ClaimResponse(msgspec.Struct, frozen=True, array_like=True):
    """The owner's word on a record."""

    verdict: str


REQUEST_DECODER = msgspec.msgpack.Decoder(ClaimRequest)
RESPONSE_DECODER = msgspec.msgpack.Decoder(ClaimResponse)


class Claims:
    """Claim keys before requests that must not be repeated run.

    Each shard has one host that writes it, chosen by hashing over all
    hosts that are known. That only saves lost races: two hosts that both
    take themselves for the owner, or one that writes a shard itself as
    the owner is silent, are kept apart by the compare-and-swap.

    Args:
        state: The `HostState`.
        peers: The `PeerTable`.
        store: The key-value client.
        agent: Agent for asks to other hosts.
        signer: The `Signer`.
        wall: Callable that returns the wall clock in seconds.
    """

    def __init__(self, state, peers, store, agent, signer, wall):
        self.state = state
        self.peers = peers
        self.store = store
        self.agent = agent
        self.signer = signer
        self.wall = wall
        self.logs = {}
        self.health = Health()

    def tick(self):
        """Look whether the service is back, once it was down."""
        if self.health.down:
            defer.ensureDeferred(self.probe())

    async def probe(self):
        """Find out whether the service answers again."""
        with contextlib.suppress(KeyValueError):
            await self.store.get(CLAIMS_PREFIX)
            self.health.succeed()

    def add_routes(self, router):
        """Add the path for asks of other hosts."""
        router.add("POST", CLAIM_PATH, self.serve_claim)

    async def carry_out(self, request, run):
        """Run the request, after its key is claimed if it needs that.

        Args:
            request: The `Request`.
            run: Coroutine function that carries it out.
        """
        if request.repeatable or request.key is NOTHING:
            return await run()
        if self.health.down:
            return REJECTIONS[Verdict.UNAVAILABLE]
        nonce = secrets.token_bytes(NONCE_BYTES)
        record = self.make_record(request, nonce, Mark.CLAIMED)
        verdict = await self.claim(record, request)
        if verdict is not Verdict.GRANTED:
            self.release_later(record, verdict)
            return REJECTIONS[verdict]
        outcome = Unknown(Reason.CALLER_GONE)
        try:
            outcome = await run()
        finally:
            self.record_outcome(record, outcome)
        return outcome

    def make_record(self, request, nonce, mark):
        """Return the `Record` of a request's key."""
        remaining = request.deadline - self.state.clock.seconds()
        return Record(
            key_digest(request.workspace, request.key),
            nonce,
            mark,
            int(self.wall() + max(0.0, remaining)) + 1,
        )

    async def claim(self, record, request):
        """Return the `Verdict` on a claim."""
        remaining = request.deadline - self.state.clock.seconds()
        within = min(CLAIM_TIMEOUT_SECONDS, remaining)
        owner = self.owner(shard_of(record.digest))
        if owner is not NOTHING:
            owner_timeout = min(OWNER_TIMEOUT_SECONDS, within)
            verdict = await self.request_from_owner(
                owner, record, owner_timeout
            )
            if verdict is not NOTHING:
                return verdict
        return await self.submit(record, within)

    def owner(self, shard):
        """Return the `PeerEntry` of a shard's owner; NOTHING for us."""
        now = self.state.clock.seconds()
        hosts = [
            host for host in self.peers.entries if self.peers.usable(host, now)
        ]
        first = order(f"claims-{shard}", [*hosts, self.state.host])[0]
        if first == self.state.host:
            return NOTHING
        return self.peers.entries[first]

    def submit(self, record, within):
        """Write a record by this host; return a deferred `Verdict`."""
        claim_log = self.claim_log(shard_of(record.digest))
        return claim_log.submit(record, self.state.clock.seconds() + within)

    def claim_log(self, shard):
        """Return the `ClaimLog` of a shard."""
        if shard not in self.logs:
            self.logs[shard] = ClaimLog(
                self.store,
                shard,
                self.state.clock,
                wall=self.wall,
                pacer=Pacer(FLEET_WRITES_PER_SECOND / SHARDS, WRITE_BURST),
                timeline=self.state.timeline,
                health=self.health,
            )
        return self.logs[shard]

    async def request_from_owner(self, owner, record, within):
        """Have the owner write a record.

        Returns:
            Its `Verdict`, or `NOTHING` if it does not answer. It may
            have written the record all the same; written again with the
            same nonce, the record means the same.
        """
        body = msgspec.msgpack.encode(ClaimRequest(record, within))
        signature = self.signer.sign(CLAIM_PATH.encode(), body)
        headers = Headers({SIGNATURE_HEADER.encode(): [b64encode(signature)]})
        try:
            status, answer = await fetch(
                self.agent,
                b"POST",
                f"http://{owner.forward}{CLAIM_PATH}",
                body,
                clock=self.state.clock,
                timeout=within,
                headers=headers,
            )
            if status != 200:
                return NOTHING
            return Verdict(RESPONSE_DECODER.decode(answer).verdict)
        except (
            NoAnswerError,
            ProtocolError,
            msgspec.DecodeError,
            ValueError,
        ):
            return NOTHING

    async def serve_claim(self, http_request):
        """Write a record for another host."""
        http_request.content.seek(0)
        body = http_request.content.read()
        try:
            signature = b64decode(header(http_request, SIGNATURE_HEADER))
            is_valid = self.signer.verify(signature, CLAIM_PATH.encode(), body)
            claim_request = REQUEST_DECODER.decode(body)
        except (Base64Error, msgspec.DecodeError):
            is_valid = False
        if not is_valid:
            respond_error(http_request, 403, "bad_signature", "bad ask")
            return
        verdict = await self.submit(claim_request.record, claim_request.within)
        answer = msgspec.msgpack.encode(ClaimResponse(verdict.value))
        respond(http_request, 200, answer, content_type="application/msgpack")

    def record_outcome(self, record, outcome):
        """Write down how the request with the key ended."""
        mark = Mark.UNKNOWN
        if isinstance(outcome, Answered):
            mark = Mark.DONE
        elif isinstance(outcome, NotRun):
            mark = Mark.RELEASED
        defer.ensureDeferred(self.write_mark(record, mark))

    async def write_mark(self, record, mark):
        """Write a mark by the owner, or by this host if it is silent."""
        marked = msgspec.structs.replace(record, mark=mark)
        owner = self.owner(shard_of(record.digest))
        if owner is not NOTHING:
            verdict = await self.request_from_owner(
                owner, marked, OWNER_TIMEOUT_SECONDS
            )
            if verdict not in (NOTHING, Verdict.UNAVAILABLE):
                return
        await self.submit(marked, MARK_LIFE)

    def release_later(self, record, verdict):
        """Free a key whose claim may yet be written after we gave up.

        Its caller hears that the request was not run, and comes back
        with the same key. A claim of ours that still arrives would hold
        the key for good. By then every write that could carry it is
        answered or outdated, so a release is the last word.
        """
        if verdict is not Verdict.UNAVAILABLE:
            return
        self.state.clock.callLater(
            RELEASE_DELAY_SECONDS,
            lambda: defer.ensureDeferred(
                self.write_mark(record, Mark.RELEASED)
            ),
        )
