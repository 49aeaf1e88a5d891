"""Interface to key-value services and registry of its clients."""

from dataclasses import dataclass

from ..core.exceptions import UnknownPolicyError
from ..core.sentinels import NOTHING

CLIENTS = {}


@dataclass(frozen=True, slots=True)
class Entry:
    """A key with its value.

    Attributes:
        key: The key.
        value: The value.
        revision: Revision of the service at the last change of the key;
            0 stands for a key that does not exist.
    """

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Listing:
    """All keys under a prefix at one revision.

    Attributes:
        entries: The `Entry` of each key.
        revision: Revision of the service at which they were read.
    """

    entries: tuple[Entry, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease, whose keys are removed when it ends.

    Attributes:
        id: Identifier, unique within the era.
        era: Era of the service in which it was granted.
    """

    id: int
    era: int = 0


@dataclass(frozen=True, slots=True)
class Applied:
    """The write was applied.

    Attributes:
        revision: Revision of the service after the write.
    """

    revision: int


@dataclass(frozen=True, slots=True)
class NotApplied:
    """The write was not applied because the key had changed.

    Attributes:
        current: The current `Entry` of the key, or `NOTHING`.
    """

    current: Entry = NOTHING


@dataclass(frozen=True, slots=True)
class WriteUnknown:
    """The response was lost; the write may have been applied.

    Attributes:
        reason: Description of the failure.
    """

    reason: str


def register_client(scheme):
    """Register a client class for addresses with *scheme*.

    A client has the coroutines ``get(key)``, ``list(prefix)``,
    ``swap(key, value, revision)`` and ``remove(key, revision)``, and
    ``watch(prefix, on_change)``, which returns an object with ``stop()``.
    """

    def register(client):
        CLIENTS[scheme] = client
        return client

    return register


def find_client(scheme):
    """Return the client class for *scheme*.

    Raises:
        UnknownPolicyError: No client is registered for it.
    """
    if scheme not in CLIENTS:
        raise UnknownPolicyError(scheme)
    return CLIENTS[scheme]
