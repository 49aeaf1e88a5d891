"""Which versions the registry has listed, also before this host started."""

from ..core.sentinels import NOTHING

__all__ = ["adopt_history", "begin_history", "covered_seconds", "releases"]


def covered_seconds(registry, now):
    """Return the seconds for which the versions of a `Registry` are known."""
    since = registry.listed_since
    return 0.0 if since is NOTHING else max(0.0, now - since)


def begin_history(registry, now):
    """Forget for how long versions are known, as entries were missed.

    A registry without any entry has no history yet.
    """
    if registry.listed_since is not NOTHING:
        registry.listed_since = now


def releases(registry, now):
    """Return the age of each service and version that is or was listed.

    Those that are listed have the age 0.
    """
    ages = {
        release: max(0.0, now - at)
        for release, at in registry.unlisted_at.items()
    }
    for server in registry.servers.values():
        ages[server.entry.service, server.entry.version] = 0.0
    return ages


def adopt_history(registry, seconds, ages, now):
    """Add the history of another host, which reaches up to now.

    A version that only the other host lists counts as listed until now.

    Args:
        registry: The `Registry`, which has entries.
        seconds: Seconds for which the other history is complete.
        ages: Its `releases`.
        now: The time.
    """
    for release, age in ages.items():
        at = registry.unlisted_at.get(release, now - age)
        registry.unlisted_at[release] = max(at, now - age)
    registry.listed_since = min(registry.listed_since, now - seconds)
