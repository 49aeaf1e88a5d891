"""Consistency checks of the merged configuration."""

from .schema import Problem

CHECKS = []


def check(function):
    """Register a check.

    A check takes the merged `Configuration` and the `Merged` leaves, and
    yields a `Problem` for each inconsistency.
    """
    CHECKS.append(function)
    return function


def find_problems(configuration, merged):
    """Return the problems that all checks report."""
    return [
        problem
        for function in CHECKS
        for problem in function(configuration, merged)
    ]


@check
def known_regions(configuration, merged):
    """Require that each referenced region is declared."""
    known = configuration.regions
    for name, workspace in configuration.workspaces.items():
        if workspace.home not in known:
            path = ("workspaces", name, "home")
            yield Problem(path, f"undeclared region {workspace.home!r}")
    for path, value in merged.leaves.items():
        if path[-1] not in ("residency", "regions") or len(path) < 3:
            continue
        for region in value:
            if region not in known:
                yield Problem(path, f"undeclared region {region!r}")


@check
def known_round_trips(configuration, merged):
    """Require that each round trip time is to a declared region."""
    for name, region in configuration.regions.items():
        for other in region.round_trip_ms:
            if other not in configuration.regions:
                path = ("regions", name, "round_trip_ms", other)
                yield Problem(path, f"undeclared region {other!r}")


@check
def nonempty_residency(configuration, merged):
    """Require that the intersection of permitted regions is not empty."""
    for kind, field in (
        ("workspaces", "residency"),
        ("models", "regions"),
        ("services", "regions"),
    ):
        for name, part in getattr(configuration, kind).items():
            regions = getattr(part, field)
            if regions is not None and not regions:
                reason = "no region is permitted by all files"
                yield Problem((kind, name, field), reason)


@check
def home_is_permitted(configuration, merged):
    """Require that the residency of a workspace includes its home."""
    for name, workspace in configuration.workspaces.items():
        residency = workspace.residency
        if residency and workspace.home not in residency:
            path = ("workspaces", name, "home")
            reason = f"home {workspace.home!r} is not part of the residency"
            yield Problem(path, reason)


@check
def known_fallbacks(configuration, merged):
    """Require that fallbacks exist and do not form a cycle."""
    for kind in ("models", "services"):
        offers = getattr(configuration, kind)
        for name, offer in offers.items():
            path = (kind, name, "fallback")
            for fallback in offer.fallback:
                if fallback not in offers:
                    yield Problem(path, f"undeclared fallback {fallback!r}")
            if is_in_cycle(name, offers):
                yield Problem(path, "the fallbacks form a cycle")


def is_in_cycle(start, offers):
    """Return whether the fallbacks of *start* lead back to it."""
    seen = set()
    waiting = list(offers[start].fallback)
    while waiting:
        name = waiting.pop()
        if name == start:
            return True
        if name in seen or name not in offers:
            continue
        seen.add(name)
        waiting.extend(offers[name].fallback)
    return False


@check
def one_owner_of_keys(configuration, merged):
    """Require one file for a workspace's keys and one workspace per key.

    Otherwise a team could gain access to the workspace of another team by
    adding a key of its own in a file that the other team never reads.
    """
    owners = {}
    for path, origins in merged.origins.items():
        if path[0] != "workspaces" or path[2:3] != ("keys",):
            continue
        for origin in origins:
            owner = owners.setdefault(path[1], origin.file)
            if owner != origin.file:
                reason = f"keys of this workspace are already set in {owner!r}"
                yield Problem(path, reason)
    users = {}
    for name, workspace in configuration.workspaces.items():
        for label, digest in workspace.keys.items():
            user = users.setdefault(digest, name)
            if user != name:
                path = ("workspaces", name, "keys", label)
                yield Problem(
                    path, f"key is already used by workspace {user!r}"
                )
