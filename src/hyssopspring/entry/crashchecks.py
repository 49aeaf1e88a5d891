"""Check of one request against the recorded server crashes."""

from ..core.hashing import short_id
from ..core.outcomes import Reason
from ..core.sentinels import NOTHING
from ..traffic.crashverdicts import Assessment, Verdict
from ..traffic.suspects import is_part_key, part_id_of
from .crashdetection import fingerprint_of
from .requestorigins import request_origin

__all__ = ["SUSPECTED_RETRY_SECONDS", "REFUSING_REASONS", "CrashCheck"]

SUSPECTED_RETRY_SECONDS = 0.5
"""Retry-After of a request for which it is not decided yet whether it crashes
servers. The reports of all servers that crashed have arrived by then."""

VERDICT_REASONS = {
    Verdict.DEFERRED: Reason.SUSPECTED,
    Verdict.BLOCKED: Reason.CRASHES_SERVERS,
}

REFUSING_REASONS = frozenset(VERDICT_REASONS.values())
"""Reasons for which a request is sent to no server of any region."""


class CrashCheck:
    """Decide whether a request may be sent to servers.

    The fingerprint of the request is computed only if there are suspects, so
    that it costs nothing otherwise.

    Args:
        sharing: The `CrashSharing`.
        request: The `WebRequest`.
        caller: IP address of the caller; empty if it is unknown, in which case
            the request is never suspected.
        key_digest: Digest of the caller's key, or "".
        parts: Identifiers of the parts of its prompt that other requests may
            have too.

    Attributes:
        isolated: Whether it had to run apart when it was last placed.
    """

    def __init__(self, sharing, request, caller, key_digest, parts=()):
        self.sharing = sharing
        self.request = request
        self.caller = caller
        self.key_digest = key_digest
        self.parts = parts
        self.cached_origin = NOTHING
        self.isolated = False

    @property
    def origin(self):
        """The `RequestOrigin` of the request."""
        if self.cached_origin is NOTHING:
            fingerprint = fingerprint_of(
                self.request.method,
                self.request.requestHeaders,
                self.request.uri,
                self.request.read_body(),
                self.key_digest,
            )
            self.cached_origin = request_origin(
                fingerprint, self.caller, self.key_digest, self.parts
            )
        return self.cached_origin

    @property
    def fingerprint(self):
        """Digest that repeats of the request have in common."""
        return self.origin.fingerprint

    def caller_id(self):
        """Return a number that repeats by the same caller share, or 0.

        A caller that returns after a refusal sends the same request under a
        new identifier.
        """
        # The body cannot be read once the caller has disconnected.
        if not self.caller or self.request._disconnected:
            return 0
        return short_id(f"{self.caller} {self.fingerprint}")

    def assess(self):
        """Return the `Assessment` of the request at this moment."""
        # The body cannot be read once the caller has disconnected.
        if not self.caller or self.request._disconnected:
            return Assessment(Verdict.ALLOWED)
        if not self.sharing.has_suspects():
            return Assessment(Verdict.ALLOWED)
        return self.sharing.assess(self.origin)

    def refusal(self):
        """Return the `Reason` to refuse the request, or `NOTHING`."""
        return VERDICT_REASONS.get(self.assess().verdict, NOTHING)

    def apart(self):
        """Return the key under which the request must run apart, or "".

        Requests with the same suspected part have the same key.
        """
        found = self.assess()
        self.isolated = found.verdict is Verdict.ISOLATED
        return found.key if self.isolated else ""

    def refusal_details(self):
        """Return the log fields on why the request is refused."""
        key = self.assess().key
        details = {"evidence": self.sharing.evidence(key)}
        if is_part_key(key):
            details["part"] = part_id_of(key)
        return details
