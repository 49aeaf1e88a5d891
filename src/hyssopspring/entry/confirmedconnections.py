"""Open connections at whose other end a known server instance runs."""

from collections import defaultdict

from ..core.sentinels import NOTHING

__all__ = ["ConfirmedConnections"]


class ConfirmedConnections:
    """Open connections by the server instance at their other end.

    A process does not end without ending its connections. As long as one to an
    instance is open, a new connection to the same address leads to it as well.

    Attributes:
        by_instance: Set of `Connection` by server instance.
    """

    def __init__(self):
        self.by_instance = defaultdict(set)

    def add(self, connection, instance):
        """Record that an instance is at the other end of a connection.

        One that has ended meanwhile shows nothing about later ones.
        """
        self.discard(connection)
        connection.confirmed_instance = instance
        if connection.lost_reason is not NOTHING:
            return
        connection.on_lost = lambda: self.discard(connection)
        self.by_instance[instance].add(connection)

    def discard(self, connection):
        """Forget a connection."""
        instance = connection.confirmed_instance
        known = self.by_instance[instance]
        known.discard(connection)
        if not known:
            del self.by_instance[instance]

    def has_open(self, instance):
        """Return whether a connection to an instance is open."""
        return instance in self.by_instance
