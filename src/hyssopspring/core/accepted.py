"""The accepted configuration: the one value that all hosts agree on."""

import enum
import zlib
from dataclasses import dataclass, field, replace

import msgspec

from .configuration import Configuration, Limits, Offer, Workspace
from .exceptions import ProtocolError, ensure
from .sentinels import NOTHING

ACCEPTED_KEY = "/hyssop/accepted"
FOLDER_PREFIX = "/hyssop/files/"


class Verdict(enum.StrEnum):
    """What was decided on a revision of a file."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    PENDING = "pending"


@dataclass(frozen=True, slots=True, kw_only=True)
class FileState:
    """What is known of one operators' file.

    Attributes:
        revision: Newest revision that was judged; 0 for a removal.
        verdict: What was decided on it.
        generation: Generation in which it was decided.
        content: Text in force, which a refused revision does not
            change; None if no revision is in force.
        line: Line to which a refusal points; 0 for the whole file.
        reason: Why it was refused.
    """

    revision: int
    verdict: Verdict
    generation: int
    content: str | None = None
    line: int = 0
    reason: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Proposal:
    """A change that takes rights away and is not yet in force.

    Attributes:
        configuration: The `Configuration` that would follow.
        files: The `FileState` by name that would follow.
        affected: Regions whose hosts must confirm.
        folder_revision: Revision of the folder that it was made from.
    """

    configuration: Configuration
    files: dict[str, FileState]
    affected: frozenset[str]
    folder_revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """The value under `ACCEPTED_KEY`.

    Attributes:
        generation: Grows by one with each change of the value.
        folder_revision: Revision of the key-value service at which the
            folder was read; an older reading is never proposed.
        files: `FileState` by file name.
        configuration: What is in force.
        proposal: A change that waits for confirmation, or None.
        data_centres: Region of each data centre that was ever listed and
            that operators have not taken off.
    """

    generation: int = 0
    folder_revision: int = 0
    files: dict[str, FileState] = field(default_factory=dict)
    configuration: Configuration = Configuration()
    proposal: Proposal | None = None
    data_centres: dict[str, str] = field(default_factory=dict)

    def enforced(self):
        """Return the `Configuration` that hosts act by.

        While a restriction is proposed, hosts act by the stricter of
        what is in force and what is proposed. So a host that has
        confirmed never uses a right that others may already have lost.
        """
        if self.proposal is None:
            return self.configuration
        return stricter(self.configuration, self.proposal.configuration)


def encode_accepted(accepted):
    """Return the bytes to store or send for *accepted*."""
    return zlib.compress(msgspec.json.encode(accepted))


def decode_accepted(data):
    """Return the `Accepted` that *data* stands for.

    Raises:
        ProtocolError: The bytes are no accepted configuration.
    """
    try:
        return msgspec.json.decode(zlib.decompress(data), type=Accepted)
    except (zlib.error, msgspec.DecodeError) as error:
        raise ProtocolError(f"no accepted configuration: {error}") from None


class GenerationKeeper:
    """Hold the newest accepted configuration that a host has seen.

    The key-value service may answer from the past, and peers may be
    behind. A host that took whatever came last would bring a withdrawn
    right back. The keeper takes a value only if its generation is
    greater than the one it holds.

    Args:
        applied: Called with each new `Accepted`.
    """

    def __init__(self, applied=NOTHING):
        self.accepted = Accepted()
        self.enforced = Configuration()
        self.key_owners = {}
        self.applied = applied

    @property
    def generation(self):
        """Generation that is in force here; 0 for none."""
        return self.accepted.generation

    def offer(self, accepted):
        """Take over *accepted* if it is newer.

        Returns:
            Whether it was newer.
        """
        before = self.generation
        if accepted.generation <= before:
            return False
        self.accepted = accepted
        self.enforced = accepted.enforced()
        self.key_owners = {
            digest: name
            for name, workspace in self.enforced.workspaces.items()
            for digest in workspace.keys.values()
        }
        ensure(self.generation > before, "the generation went back")
        if self.applied is not NOTHING:
            self.applied(accepted)
        return True


def stricter(one, other):
    """Return *one* without any right that *other* does not give."""
    return replace(
        one,
        workspaces={
            name: stricter_workspace(rights, other.workspaces[name])
            for name, rights in one.workspaces.items()
            if name in other.workspaces
        },
        models=stricter_offers(one.models, other.models),
        services=stricter_offers(one.services, other.services),
    )


def stricter_workspace(one, other):
    """Return the rights that both of two workspaces' versions give."""
    keys = {
        name: digest
        for name, digest in one.keys.items()
        if digest in other.keys.values()
    }
    return Workspace(
        home=one.home,
        residency=intersect(one.residency, other.residency),
        keys=keys,
        limits=Limits(
            requests_per_second=least(
                one.limits.requests_per_second,
                other.limits.requests_per_second,
            ),
            concurrent=least(one.limits.concurrent, other.limits.concurrent),
        ),
        weights=one.weights,
        repeatable=one.repeatable and other.repeatable,
        deadline_ms=min(one.deadline_ms, other.deadline_ms),
        attempts=min(one.attempts, other.attempts),
    )


def stricter_offers(one, other):
    """Return the offers that are in both mappings, at their strictest."""
    return {
        name: Offer(
            regions=intersect(offer.regions, other[name].regions),
            repeatable=offer.repeatable and other[name].repeatable,
            deadline_ms=min(offer.deadline_ms, other[name].deadline_ms),
            attempts=min(offer.attempts, other[name].attempts),
            fallback=tuple(
                fallback
                for fallback in offer.fallback
                if fallback in other[name].fallback
            ),
        )
        for name, offer in one.items()
        if name in other
    }


def intersect(one, other):
    """Intersect two sets of regions, where None stands for all."""
    if one is None:
        return other
    if other is None:
        return one
    return one & other


def least(one, other):
    """Return the lower of two limits, where None stands for no limit."""
    if one is None:
        return other
    if other is None:
        return one
    return min(one, other)


def lost_rights(old, new):
    """Return the regions whose hosts lose a right from *old* to *new*.

    Args:
        old: The `Configuration` in force.
        new: The one that would follow.

    Returns:
        Set of region names. A host elsewhere may act on the old
        configuration without harm, since no right of its own is lost.
    """
    everywhere = frozenset(old.regions) | frozenset(new.regions)
    allowed = stricter(old, new)
    affected = set()
    for kind in ("workspaces", "models", "services"):
        before = getattr(old, kind)
        after = getattr(allowed, kind)
        for name, rights in before.items():
            affected |= regions_losing(rights, after.get(name), everywhere)
    return frozenset(affected)


def regions_losing(before, after, everywhere):
    """Return the regions in which *after* gives less than *before*."""
    had = getattr(before, "residency", None)
    if had is None:
        had = getattr(before, "regions", None)
    had = everywhere if had is None else had
    if after is None:
        return set(had)
    if tightened(before, after):
        return set(everywhere)
    keeps = getattr(after, "residency", None)
    if keeps is None:
        keeps = getattr(after, "regions", None)
    keeps = everywhere if keeps is None else keeps
    return set(had) - set(keeps)


def tightened(before, after):
    """Whether a right that is not tied to a region was taken."""
    if before.repeatable and not after.repeatable:
        return True
    if getattr(before, "keys", None) != getattr(after, "keys", None):
        return True
    limits = getattr(before, "limits", None)
    if limits is None:
        return False
    return limits != after.limits
