"""Hosts that keep the version that began a stream."""

from bisect import bisect_left

from ..core.hashing import hash_text

__all__ = ["KeeperRing"]

POINTS_PER_HOST = 8
"""Points of each host on the ring of its region, so that hosts keep about
equally many streams."""

OWN_REGION_KEEPERS = 2
"""Hosts of its own region, besides itself, to which a host sends a version."""

REMOTE_KEEPER_REGIONS = 2
"""Other regions to which a host sends a version, for callers that return after
their region is lost or cut off."""

OWN_REGION_QUERIED = 3
REMOTE_REGIONS_QUERIED = 3
REMOTE_HOSTS_QUERIED = 2
"""Hosts of the own region, other regions, and hosts of each of them that are
asked. They are more than those that were told, as hosts disagree for seconds
on which hosts are up."""


class KeeperRing:
    """Consistent hashing of streams over the hosts of each region.

    Args:
        own: Name of this host, which is no keeper to itself.
        region: Region of this host.
        hosts: Set of the names of the hosts that are up, by region.
    """

    def __init__(self, own, region, hosts):
        self.own = own
        self.region = region
        self.hosts = hosts
        self.points = {
            name: sorted(
                (hash_text(host, point), host)
                for host in members
                for point in range(POINTS_PER_HOST)
            )
            for name, members in hosts.items()
        }

    def keepers(self, stream):
        """Return the names of the hosts that should keep a stream.

        Args:
            stream: Hash that identifies the stream.
        """
        chosen = self.successors(self.region, stream, OWN_REGION_KEEPERS)
        for region in self.other_regions(stream)[:REMOTE_KEEPER_REGIONS]:
            chosen += self.successors(region, stream, 1)
        return chosen

    def queried(self, stream):
        """Return the names of the hosts that may know a stream."""
        chosen = self.successors(self.region, stream, OWN_REGION_QUERIED)
        for region in self.other_regions(stream)[:REMOTE_REGIONS_QUERIED]:
            chosen += self.successors(region, stream, REMOTE_HOSTS_QUERIED)
        return chosen

    def other_regions(self, stream):
        """Return the other regions in the order of a stream.

        All hosts use the same order, from which each leaves out its region.
        """
        others = [name for name in self.points if name != self.region]
        return sorted(others, key=lambda name: hash_text(name, stream))

    def successors(self, region, stream, count):
        """Return the next hosts of a region on its ring."""
        points = self.points.get(region, ())
        start = bisect_left(points, (stream, ""))
        chosen = []
        for step in range(len(points)):
            if len(chosen) == count:
                break
            _, host = points[(start + step) % len(points)]
            if host != self.own and host not in chosen:
                chosen.append(host)
        return chosen
