"""All software versions that each service has ever had."""

__all__ = ["VersionHistory"]

MAX_VERSIONS = 64
"""Versions that are remembered for each service, the newest last."""


async def confirm_nothing():
    """Return that a history which only this host writes is complete."""
    return True


class VersionHistory:
    """Versions of each service since the deployment began.

    It tells of a service that has had one version only that each of its
    streams has that version, however old the stream is.

    Attributes:
        versions: List of versions by service, in the order in which they
            were seen.
        is_loaded: Whether the history from before this host's start is in it.
        has_gap: Whether versions may be missing, so that no service counts as
            one with a single version.
        on_added: Called without arguments after a version was added.
        confirm: Called without arguments; returns an awaitable of whether
            what all hosts have added until now is in it.
    """

    def __init__(self):
        self.versions = {}
        self.is_loaded = False
        self.has_gap = False
        self.on_added = lambda: None
        self.confirm = confirm_nothing

    def add(self, service, version):
        """Add a version that a server of a service has, or "" if unknown."""
        known = self.versions.setdefault(service, [])
        if version in known:
            return
        known.append(version)
        del known[:-MAX_VERSIONS]
        self.on_added()

    def merge(self, versions, *, has_gap):
        """Add another history of the same deployment."""
        self.has_gap |= has_gap
        for service, known in versions.items():
            for version in known:
                self.add(service, version)

    def single(self, service):
        """Return the only version that a service has ever had.

        Returns:
            An empty string if there were several, or if that is not known.
        """
        known = self.versions.get(service, [])
        is_single = len(known) == 1 and self.is_loaded and not self.has_gap
        return known[0] if is_single else ""

    def may_have_several(self, service):
        """Return whether streams of a service need records to go on."""
        return self.has_gap or len(self.versions.get(service, ())) > 1
