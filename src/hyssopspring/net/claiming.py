"""Claims of idempotency keys: which host writes them, and their effect."""

import contextlib
import secrets
from base64 import b64decode, b64encode
from binascii import Error as Base64Error

import msgspec
from twisted.internet import defer, task
from twisted.web.http_headers import Headers

from ..core.claims import (
    SHARD_COUNT,
    ClaimState,
    Record,
    Verdict,
    key_digest,
    shard_of,
)
from ..core.exceptions import KeyValueError, NoAnswerError, ProtocolError
from ..core.health import Health
from ..core.membership import rank_hosts
from ..core.outcomes import Answered, NotRun, Reason, Repeated, Unknown
from ..core.pacing import TokenBucket
from ..core.sentinels import NOTHING
from ..stores.claimlogs import CLAIMS_PREFIX, OUTCOME_TIMEOUT_SECONDS, ClaimLog
from .clients import fetch
from .control import SIGNATURE_HEADER
from .inprogress import Wait
from .serving import header, respond, respond_error

CLAIM_PATH = "/claims"
NONCE_BYTES = 8
"""Size of the random nonce that identifies one claim."""

CLAIM_TIMEOUT_SECONDS = 1.5
"""Time limit for writing one claim. A request to the owner of the shard, which
may precede the write by this host, has a limit of its own."""

OWNER_TIMEOUT_SECONDS = 0.6
"""Time limit of a request to the owner of a shard, after which this host
writes the record itself."""

RELEASE_DELAY_SECONDS = 4.0
"""Delay before a claim that timed out is released. By then every write that
could carry the claim has been answered or is outdated."""

MAX_WRITE_SECONDS = 5.0
"""Time for which a stopping host waits for records to be written: that until
a claim is released, and one second to write it."""

CHECK_INTERVAL_SECONDS = 0.05
"""Interval between checks whether all records are written."""

FLEET_WRITES_PER_SECOND = 200.0
"""Limit on claim writes of all shards together, divided among the shards."""

WRITE_BURST = 2.0
"""Writes of one shard that may follow each other without a pause."""

RETRY_AFTER_SECONDS = 2.0
"""Retry-After value while claims are unavailable."""

REJECTIONS = {
    Verdict.IN_PROGRESS: Repeated(Reason.CLAIM_IN_PROGRESS),
    Verdict.DONE: Repeated(Reason.CLAIM_DONE),
    Verdict.UNKNOWN: Unknown(Reason.CLAIM_UNKNOWN),
    Verdict.UNAVAILABLE: NotRun(
        Reason.CLAIMS_UNAVAILABLE, RETRY_AFTER_SECONDS
    ),
}


class ClaimRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request to another host to write a record.

    Attributes:
        record: The `Record` to write.
        within: Time limit in seconds.
    """

    record: Record
    within: float


class ClaimResponse(msgspec.Struct, frozen=True, array_like=True):
    """Response of the owner to a `ClaimRequest`.

    Attributes:
        verdict: Value of the `Verdict` on the record.
    """

    verdict: str


REQUEST_DECODER = msgspec.msgpack.Decoder(ClaimRequest)
RESPONSE_DECODER = msgspec.msgpack.Decoder(ClaimResponse)


class Claims:
    """Claim idempotency keys before non-repeatable requests run.

    Each shard has one owner, the host that writes it, chosen by
    rendezvous hashing over all usable hosts. Ownership only avoids lost
    races and is not needed for correctness: if two hosts both act as the
    owner, or a host writes a shard itself because the owner does not
    respond, the compare-and-swap keeps their writes consistent.

    Args:
        state: `HostState` of this host.
        peers: `PeerTable` of the other hosts.
        store: Client of the key-value service.
        agent: HTTP agent for requests to other hosts.
        signer: `Signer` of these requests.
        wall: Callable that returns the wall-clock time in seconds.

    Attributes:
        logs: `ClaimLog` by shard.
        health: `Health` of the key-value service, shared by all logs.
        pending: Deferreds of the records that are being written.
    """

    wait = Wait.CLAIM

    def __init__(self, state, peers, store, agent, signer, wall):
        self.state = state
        self.peers = peers
        self.store = store
        self.agent = agent
        self.signer = signer
        self.wall = wall
        self.logs = {}
        self.health = Health()
        self.pending = set()

    def tick(self):
        """Probe the key-value service while it is down."""
        if self.health.down:
            defer.ensureDeferred(self.probe())

    async def probe(self):
        """Record the key-value service as healthy if it responds."""
        with contextlib.suppress(KeyValueError):
            await self.store.get(CLAIMS_PREFIX)
            self.health.record_success()

    def add_routes(self, router):
        """Register the route for claim requests of other hosts."""
        router.add("POST", CLAIM_PATH, self.serve_claim)

    async def intercept(self, request, run):
        """Run the request after claiming its key, if it needs a claim.

        Args:
            request: The `Request`.
            run: Coroutine function that runs it.

        Returns:
            The outcome of *run*, or the rejection that follows from the
            verdict on the claim.
        """
        if request.repeatable or request.key is NOTHING:
            return await run()
        if self.state.drain.ending:
            return NotRun(Reason.LEAVING)
        if self.health.down:
            return REJECTIONS[Verdict.UNAVAILABLE]
        nonce = secrets.token_bytes(NONCE_BYTES)
        record = self.make_record(request, nonce, ClaimState.CLAIMED)
        verdict = await self.track(self.claim(record, request))
        if verdict is not Verdict.GRANTED:
            self.release_later(record, verdict)
            return REJECTIONS[verdict]
        outcome = Unknown(Reason.CALLER_GONE)
        try:
            outcome = await run()
        finally:
            self.record_outcome(record, outcome)
        return outcome

    def make_record(self, request, nonce, claim_state):
        """Return the `Record` of a request's key.

        Args:
            request: The `Request`.
            nonce: Random bytes that identify this claim.
            claim_state: The `ClaimState` to write.
        """
        remaining = request.deadline - self.state.clock.seconds()
        return Record(
            key_digest(request.workspace, request.key),
            nonce,
            claim_state,
            int(self.wall() + max(0.0, remaining)) + 1,
        )

    async def claim(self, record, request):
        """Write a claim and return the `Verdict` on it.

        The owner of the shard writes it; this host does so if it is the
        owner or if the owner does not respond.
        """
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
        """Return the `PeerEntry` of a shard's owner.

        Returns:
            The entry, or `NOTHING` if this host is the owner.
        """
        now = self.state.clock.seconds()
        hosts = [
            host
            for host in self.peers.entries
            if self.peers.is_usable(host, now)
        ]
        first = rank_hosts(f"claims-{shard}", [*hosts, self.state.host])[0]
        if first == self.state.host:
            return NOTHING
        return self.peers.entries[first]

    def submit(self, record, within):
        """Write a record from this host and return a deferred `Verdict`.

        Args:
            record: The `Record` to write.
            within: Seconds after which it is no longer written.
        """
        claim_log = self.claim_log(shard_of(record.digest))
        return claim_log.submit(record, self.state.clock.seconds() + within)

    def claim_log(self, shard):
        """Return the `ClaimLog` of a shard, created on first use."""
        if shard not in self.logs:
            self.logs[shard] = ClaimLog(
                self.store,
                shard,
                self.state.clock,
                wall=self.wall,
                pacer=TokenBucket(
                    FLEET_WRITES_PER_SECOND / SHARD_COUNT, WRITE_BURST
                ),
                timeline=self.state.timeline,
                health=self.health,
            )
        return self.logs[shard]

    async def request_from_owner(self, owner, record, within):
        """Request the owner of a shard to write a record.

        Args:
            owner: `PeerEntry` of the owner.
            record: The `Record` to write.
            within: Time limit in seconds.

        Returns:
            The owner's `Verdict`, or `NOTHING` if it does not respond.
            The owner may have written the record nevertheless; writing
            it again with the same nonce has no further effect.
        """
        body = msgspec.msgpack.encode(ClaimRequest(record, within))
        signature = self.signer.sign(CLAIM_PATH.encode(), body)
        headers = Headers({SIGNATURE_HEADER.encode(): [b64encode(signature)]})
        try:
            status, response = await fetch(
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
            return Verdict(RESPONSE_DECODER.decode(response).verdict)
        except (
            NoAnswerError,
            ProtocolError,
            msgspec.DecodeError,
            ValueError,
        ):
            return NOTHING

    async def serve_claim(self, http_request):
        """Write a record on behalf of another host."""
        body = http_request.read_body()
        try:
            signature = b64decode(header(http_request, SIGNATURE_HEADER))
            is_valid = self.signer.verify(signature, CLAIM_PATH.encode(), body)
            claim_request = REQUEST_DECODER.decode(body)
        except (Base64Error, msgspec.DecodeError):
            is_valid = False
        if not is_valid:
            respond_error(
                http_request, 403, "bad_signature", "invalid claim request"
            )
            return
        verdict = await self.submit(claim_request.record, claim_request.within)
        response = msgspec.msgpack.encode(ClaimResponse(verdict.value))
        respond(
            http_request, 200, response, content_type="application/msgpack"
        )

    def record_outcome(self, record, outcome):
        """Write the outcome of a request to the claim log.

        A request that was not executed releases its key. Any other
        outcome keeps the key claimed, since the request has run or may
        have run.
        """
        claim_state = ClaimState.UNKNOWN
        if isinstance(outcome, Answered):
            claim_state = ClaimState.DONE
        elif isinstance(outcome, NotRun):
            claim_state = ClaimState.RELEASED
        self.track(self.write_claim_state(record, claim_state))

    def track(self, write):
        """Start a coroutine that writes a record; return its deferred."""
        work = defer.ensureDeferred(write)
        self.pending.add(work)
        return work.addBoth(self.end_write, work)

    def end_write(self, result, work):
        """Forget a write that has ended, and return its result."""
        self.pending.discard(work)
        return result

    async def wait_until_written(self, until):
        """Wait until no record is being written.

        Args:
            until: Time at which the remaining writes are given up.
        """
        clock = self.state.clock
        until = min(until, clock.seconds() + MAX_WRITE_SECONDS)
        while self.pending and clock.seconds() < until:
            await task.deferLater(clock, CHECK_INTERVAL_SECONDS)

    async def write_claim_state(self, record, claim_state):
        """Write the state of a claim through the owner of the shard.

        This host writes it if the owner does not respond or reports that
        claims are unavailable.
        """
        updated_record = msgspec.structs.replace(record, state=claim_state)
        owner = self.owner(shard_of(record.digest))
        if owner is not NOTHING:
            verdict = await self.request_from_owner(
                owner, updated_record, OWNER_TIMEOUT_SECONDS
            )
            if verdict not in (NOTHING, Verdict.UNAVAILABLE):
                return
        await self.submit(updated_record, OUTCOME_TIMEOUT_SECONDS)

    def release_later(self, record, verdict):
        """Release a key whose claim may still be written after a timeout.

        The caller receives a response that the request was not executed
        and retries with the same key. A claim of this host that is still
        written later would block the key permanently. After
        `RELEASE_DELAY_SECONDS` every write that could carry the claim has
        been answered or is outdated, so the release is the final record.
        """
        if verdict is not Verdict.UNAVAILABLE:
            return
        self.track(self.release(record))

    async def release(self, record):
        """Release a key after `RELEASE_DELAY_SECONDS`."""
        await task.deferLater(self.state.clock, RELEASE_DELAY_SECONDS)
        await self.write_claim_state(record, ClaimState.RELEASED)
