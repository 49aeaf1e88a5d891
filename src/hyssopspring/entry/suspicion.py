"""What a host holds of one request, as to servers that end under it."""

from ..core.outcomes import Reason
from ..core.sentinels import NOTHING
from ..traffic.crashes import Verdict
from .endings import fingerprint_of

__all__ = ["HELD_RETRY_AFTER", "REFUSING_REASONS", "Suspicion"]

HELD_RETRY_AFTER = 0.5
"""Seconds after which a request may come back of which it is not decided
yet whether servers end under it; word of all that ended is there by then."""

REFUSED_VERDICTS = {
    Verdict.HELD: Reason.SUSPECTED,
    Verdict.BLOCKED: Reason.CRASHES_SERVERS,
}

REFUSING_REASONS = frozenset(REFUSED_VERDICTS.values())
"""Reasons for which a request goes to no server of any region."""


class Suspicion:
    """Say whether a request may go to servers.

    Its fingerprint is worked out only where some request is suspected, so
    that on a calm day it costs nothing.

    Args:
        sharing: The `CrashSharing`.
        request: The `WebRequest`.
        caller: IP address of the caller; empty if it is not known, and
            then nothing is held against the request.
        key_digest: Digest of the caller's key, or "".
    """

    def __init__(self, sharing, request, caller, key_digest):
        self.sharing = sharing
        self.request = request
        self.caller = caller
        self.key_digest = key_digest
        self.known_fingerprint = ""

    @property
    def fingerprint(self):
        """What repeats of the request have in common."""
        if not self.known_fingerprint:
            self.request.content.seek(0)
            self.known_fingerprint = fingerprint_of(
                self.request.method,
                self.request.requestHeaders,
                self.request.uri,
                self.request.content.read(),
                self.key_digest,
            )
        return self.known_fingerprint

    def verdict(self):
        """Return the `Verdict` of this moment."""
        # The body of a request whose caller has gone cannot be read.
        if not self.caller or self.request._disconnected:
            return Verdict.FREE
        if not self.sharing.has_suspects():
            return Verdict.FREE
        return self.sharing.verdict(self.fingerprint, self.caller)

    def refusal(self):
        """Return the `Reason` to refuse it, or `NOTHING`."""
        return REFUSED_VERDICTS.get(self.verdict(), NOTHING)

    def apart(self):
        """Return the fingerprint if it must run apart, or ""."""
        return self.fingerprint if self.verdict() is Verdict.ALONE else ""

    def evidence(self):
        """Return the ends under it, in words for a log line."""
        return self.sharing.evidence(self.fingerprint)
