"""Check of one request against the recorded server crashes."""

from ..core.hashing import short_id
from ..core.outcomes import Reason
from ..core.sentinels import NOTHING
from ..traffic.crashes import Verdict
from .crashdetection import fingerprint_of

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

    The fingerprint of the request is computed only if some request is
    suspected, so that it costs nothing otherwise.

    Args:
        sharing: The `CrashSharing`.
        request: The `WebRequest`.
        caller: IP address of the caller; empty if it is unknown, in which case
            the request is never suspected.
        key_digest: Digest of the caller's key, or "".
    """

    def __init__(self, sharing, request, caller, key_digest):
        self.sharing = sharing
        self.request = request
        self.caller = caller
        self.key_digest = key_digest
        self.cached_fingerprint = ""

    @property
    def fingerprint(self):
        """Digest that repeats of the request have in common."""
        if not self.cached_fingerprint:
            self.request.content.seek(0)
            self.cached_fingerprint = fingerprint_of(
                self.request.method,
                self.request.requestHeaders,
                self.request.uri,
                self.request.content.read(),
                self.key_digest,
            )
        return self.cached_fingerprint

    def caller_id(self):
        """Return a number that repeats by the same caller share, or 0.

        A caller that returns after a refusal sends the same request under a
        new identifier.
        """
        # The body cannot be read once the caller has disconnected.
        if not self.caller or self.request._disconnected:
            return 0
        return short_id(f"{self.caller} {self.fingerprint}")

    def verdict(self):
        """Return the `Verdict` on the request at this moment."""
        # The body cannot be read once the caller has disconnected.
        if not self.caller or self.request._disconnected:
            return Verdict.ALLOWED
        if not self.sharing.has_suspects():
            return Verdict.ALLOWED
        return self.sharing.verdict(self.fingerprint, self.caller)

    def refusal(self):
        """Return the `Reason` to refuse the request, or `NOTHING`."""
        return VERDICT_REASONS.get(self.verdict(), NOTHING)

    def apart(self):
        """Return the fingerprint if the request must run apart, or ""."""
        return self.fingerprint if self.verdict() is Verdict.ISOLATED else ""

    def evidence(self):
        """Return the server crashes under the request for a log line."""
        return self.sharing.evidence(self.fingerprint)
