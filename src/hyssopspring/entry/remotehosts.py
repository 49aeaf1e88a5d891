"""Choice of hosts of other regions, and spare connections to them."""

from ..core.sentinels import NOTHING
from .connections import Endpoint

__all__ = ["RemoteHosts"]

PEER_IDLE_SECONDS = 12.0
"""Time for which an idle connection to another host is kept. The other side
closes it after 30 s."""

SPARE_CONNECTIONS = 2
"""Idle connections to a region that a host keeps while it sends requests
there. At a peak one host sends a few requests a second, and a new connection
is open within 0.2 s."""


class RemoteHosts:
    """Choose hosts of other regions by the open connections to them.

    A new connection to another region costs a round trip of 160 ms before the
    request can be sent. If a host were drawn at random among dozens, almost
    every request would pay this cost: of 3,400 reviews that were sent to
    another region, one in five missed its objective of 0.8 s because of it.

    Args:
        members: The `Members`.
        connections: The `Connections`.
        clock: The runtime's clock.
        rng: Random number generator.
    """

    def __init__(self, members, connections, clock, rng):
        self.members = members
        self.connections = connections
        self.clock = clock
        self.rng = rng

    def choose(self, region, tried):
        """Return a host of *region* for a request.

        Args:
            region: The region.
            tried: Names of hosts at which the request has already failed.

        Returns:
            A `Member`, or `NOTHING`.
        """
        hosts = [
            member
            for member in self.members.live(self.clock.seconds())
            if member.region == region
            and member.version
            and member.name not in tried
        ]
        if not hosts:
            return NOTHING
        ready = [one for one in hosts if self.connections.count(one.name)]
        chosen = self.choose_weighted(ready or hosts)
        idle = sum(self.connections.count(one.name) for one in ready)
        if idle <= SPARE_CONNECTIONS:
            self.connections.preconnect(
                self.endpoint(self.choose_weighted(hosts))
            )
        return chosen

    def choose_weighted(self, hosts):
        """Return a random one of *hosts*, weighted by capacity."""
        weights = [member.capacity for member in hosts]
        return self.rng.choices(hosts, weights)[0]

    def endpoint(self, member):
        """Return the `Endpoint` to a host of another region."""
        return Endpoint(member.name, member.relay, True, PEER_IDLE_SECONDS)
