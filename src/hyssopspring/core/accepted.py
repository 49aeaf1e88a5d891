"""The accepted configuration, which is shared by all hosts."""

import enum
import zlib
from dataclasses import field, replace

import msgspec

from .configuration import Configuration, Limits, Offer, Workspace
from .exceptions import ProtocolError, ensure
from .records import dataclass
from .sentinels import NOTHING

ACCEPTED_KEY = "/hyssop/accepted"
FILES_PREFIX = "/hyssop/files/"


class Verdict(enum.StrEnum):
    """Result of the validation of a revision of a file."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    PENDING = "pending"


@dataclass(frozen=True, slots=True, kw_only=True)
class FileState:
    """Validation state of one configuration file.

    Attributes:
        revision: Newest revision that was validated; 0 for a removal.
        verdict: Result of the validation.
        generation: Generation in which the verdict was recorded.
        content: Text in force. A refused revision leaves it
            unchanged. None if no revision is in force.
        line: Line of the error in a refused file; 0 for the whole file.
        reason: Reason for the refusal.
    """

    revision: int
    verdict: Verdict
    generation: int
    content: str | None = None
    line: int = 0
    reason: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Proposal:
    """A change that withdraws rights and is not yet in force.

    Attributes:
        configuration: The `Configuration` after the change.
        files: `FileState` by file name after the change.
        affected: Regions whose hosts must confirm the change.
        folder_revision: Revision of the folder that the proposal is
            based on.
    """

    configuration: Configuration
    files: dict[str, FileState]
    affected: frozenset[str]
    folder_revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """The value stored under `ACCEPTED_KEY`.

    Attributes:
        generation: Number that increases by one with each change.
        folder_revision: Revision of the key-value service at which the
            folder was read. An older state of the folder is never
            proposed.
        files: `FileState` by file name.
        configuration: The `Configuration` in force.
        proposal: Change that awaits confirmation, or None.
        data_centres: Region of each data centre that was ever listed and
            that operators have not removed.
    """

    generation: int = 0
    folder_revision: int = 0
    files: dict[str, FileState] = field(default_factory=dict)
    configuration: Configuration = Configuration()
    proposal: Proposal | None = None
    data_centres: dict[str, str] = field(default_factory=dict)

    def enforced(self):
        """Return the `Configuration` that hosts enforce.

        While a restriction is proposed, hosts enforce the intersection
        of the configuration in force and the proposed one. A host that
        has confirmed the proposal therefore never uses a right that
        other hosts may already have lost.
        """
        if self.proposal is None:
            return self.configuration
        return intersect_configurations(
            self.configuration, self.proposal.configuration
        )


def encode_accepted(accepted):
    """Serialize an `Accepted` for storage or transmission."""
    return zlib.compress(msgspec.json.encode(accepted))


def decode_accepted(data):
    """Deserialize an `Accepted`.

    Raises:
        ProtocolError: *data* is not a valid accepted configuration.
    """
    try:
        return msgspec.json.decode(zlib.decompress(data), type=Accepted)
    except (zlib.error, msgspec.DecodeError) as error:
        raise ProtocolError(
            f"invalid accepted configuration: {error}"
        ) from None


class GenerationKeeper:
    """Hold the newest accepted configuration that a host has received.

    The key-value service may return stale values, and other hosts may
    have an older generation. A host that applied the value received last
    could restore a withdrawn right. The keeper therefore applies a value
    only if its generation is greater than the current one.

    Args:
        on_applied: Called with each `Accepted` that is applied.
    """

    def __init__(self, on_applied=NOTHING):
        self.accepted = Accepted()
        self.enforced = Configuration()
        self.key_owners = {}
        self.on_applied = on_applied

    @property
    def generation(self):
        """Generation in force on this host; 0 for none."""
        return self.accepted.generation

    def offer(self, accepted):
        """Apply *accepted* if it is newer.

        Returns:
            Whether *accepted* was newer and has been applied.
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
        ensure(
            self.generation > before,
            "the generation of the configuration decreased",
        )
        if self.on_applied is not NOTHING:
            self.on_applied(accepted)
        return True


def intersect_configurations(one, other):
    """Return *one* restricted to the rights that *other* also grants."""
    return replace(
        one,
        workspaces={
            name: intersect_workspaces(rights, other.workspaces[name])
            for name, rights in one.workspaces.items()
            if name in other.workspaces
        },
        models=intersect_offers(one.models, other.models),
        services=intersect_offers(one.services, other.services),
    )


def intersect_workspaces(one, other):
    """Return the rights that both versions of a workspace grant."""
    keys = {
        name: digest
        for name, digest in one.keys.items()
        if digest in other.keys.values()
    }
    return Workspace(
        home=one.home,
        residency=intersect_regions(one.residency, other.residency),
        keys=keys,
        limits=Limits(
            requests_per_second=lower_limit(
                one.limits.requests_per_second,
                other.limits.requests_per_second,
            ),
            concurrent=lower_limit(
                one.limits.concurrent, other.limits.concurrent
            ),
        ),
        weights=one.weights,
        repeatable=one.repeatable and other.repeatable,
        deadline_ms=min(one.deadline_ms, other.deadline_ms),
        attempts=min(one.attempts, other.attempts),
    )


def intersect_offers(one, other):
    """Return the offers in both mappings, with the stricter values."""
    return {
        name: Offer(
            regions=intersect_regions(offer.regions, other[name].regions),
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


def intersect_regions(one, other):
    """Intersect two sets of regions, where None stands for all."""
    if one is None:
        return other
    if other is None:
        return one
    return one & other


def lower_limit(one, other):
    """Return the lower of two limits, where None stands for no limit."""
    if one is None:
        return other
    if other is None:
        return one
    return min(one, other)


def regions_losing_rights(old, new):
    """Return the regions whose hosts lose a right by a change.

    Args:
        old: The `Configuration` in force.
        new: The `Configuration` after the change.

    Returns:
        Set of region names. Hosts in other regions may safely enforce
        the old configuration, since none of their rights are withdrawn.
    """
    all_regions = frozenset(old.regions) | frozenset(new.regions)
    allowed = intersect_configurations(old, new)
    affected = set()
    for kind in ("workspaces", "models", "services"):
        before = getattr(old, kind)
        after = getattr(allowed, kind)
        for name, rights in before.items():
            affected |= regions_with_reduced_rights(
                rights, after.get(name), all_regions
            )
    return frozenset(affected)


def regions_with_reduced_rights(before, after, all_regions):
    """Return the regions in which *after* grants less than *before*."""
    regions_before = getattr(before, "residency", None)
    if regions_before is None:
        regions_before = getattr(before, "regions", None)
    regions_before = all_regions if regions_before is None else regions_before
    if after is None:
        return set(regions_before)
    if is_reduced(before, after):
        return set(all_regions)
    regions_after = getattr(after, "residency", None)
    if regions_after is None:
        regions_after = getattr(after, "regions", None)
    regions_after = all_regions if regions_after is None else regions_after
    return set(regions_before) - set(regions_after)


def is_reduced(before, after):
    """Return whether a right that applies in all regions was withdrawn."""
    if before.repeatable and not after.repeatable:
        return True
    if getattr(before, "keys", None) != getattr(after, "keys", None):
        return True
    limits = getattr(before, "limits", None)
    if limits is None:
        return False
    return limits != after.limits
