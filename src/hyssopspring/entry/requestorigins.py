"""What identifies a request in the records of server crashes."""

from dataclasses import dataclass

from ..traffic.suspects import part_key

__all__ = ["RequestOrigin", "request_origin"]

OWNER_DIGITS = 16
"""Digits of the digest of a caller's key by which its parts are known."""


@dataclass(frozen=True, slots=True)
class RequestOrigin:
    """A request, the parts of its prompt, and who sent them.

    Attributes:
        fingerprint: Fingerprint that repeats of the request share.
        callers: The caller for the fingerprint and for the key of each part.
    """

    fingerprint: str
    callers: dict

    @property
    def parts(self):
        """Keys of the parts of its prompt."""
        return [key for key in self.callers if key != self.fingerprint]


def request_origin(fingerprint, caller, key_digest, parts):
    """Return the `RequestOrigin` of a request.

    A part is blocked for the caller whose requests crashed servers, and for
    all only if requests of others did too. Addresses of a caller change, so
    that its key goes before them.

    Args:
        fingerprint: Fingerprint of the request.
        caller: IP address of the caller.
        key_digest: Digest of the caller's key, or "".
        parts: Identifiers of the parts of its prompt.
    """
    owner = key_digest[:OWNER_DIGITS] or caller
    callers = {part_key(part): owner for part in parts}
    return RequestOrigin(fingerprint, {fingerprint: caller, **callers})
