"""Hand steady factors over to the host that would place requests next."""

from ..core.hashing import short_id
from .mechanisms import Mechanism

__all__ = ["SpeedHandover"]

MAX_ROWS = 16
"""Maximum number of rows in one heartbeat, about 15 B each. Two heartbeats a
second thus carry 0.5 KB at most."""

REPEATS = 3
"""Heartbeats in which a changed row is sent, as datagrams may be lost."""

ROTATED_ROWS = 4
"""Rows without a change that are sent again in each heartbeat, in turn. A host
that missed all repeats receives them in this way."""

NOTABLE_CHANGE = 0.1
"""Relative change of a factor from which on it is sent at once."""

MAX_AGE_TENTHS = 60_000
"""Maximum age in a row, in tenths of a second; it also stands for never."""


class SpeedHandover:
    """Exchange steady factors in heartbeats.

    Args:
        book: The `SpeedBook`.
        registry: The `Registry`.
    """

    def __init__(self, book, registry):
        self.book = book
        self.registry = registry
        self.recipient = ""
        self.sent = {}
        self.pending = {}
        self.position = 0

    def rows(self, recipient, now):
        """Return the rows for the next heartbeat to *recipient*.

        Args:
            recipient: Identifier of the incarnation of the host that would
                take over.
            now: The time.

        Returns:
            A row for each server: short identifier of the instance, the
            percentages of its factors, and the age of the newest observation
            in tenths of a second.
        """
        if Mechanism.SPEEDS in self.book.disabled:
            return []
        if recipient != self.recipient:
            self.recipient = recipient
            self.sent.clear()
            self.pending.clear()
        for server_id in [one for one in self.sent if not self.uses(one)]:
            del self.sent[server_id]
            self.pending.pop(server_id, None)
        for server_id, (_, speeds) in self.book.servers.items():
            values = tuple(one.value for one in speeds.factors)
            last = self.sent.get(server_id, (1.0, 1.0, 1.0))
            if any(
                abs(new / old - 1.0) > NOTABLE_CHANGE
                for new, old in zip(values, last, strict=True)
            ):
                self.sent[server_id] = values
                self.pending[server_id] = REPEATS
        chosen = list(self.pending)[:MAX_ROWS]
        for server_id in chosen:
            # A row that has to be repeated goes behind the others.
            left = self.pending.pop(server_id) - 1
            if left:
                self.pending[server_id] = left
        for server_id in self.rotated(MAX_ROWS - len(chosen)):
            if server_id not in chosen:
                chosen.append(server_id)
        return [
            self.row(one, now)
            for one in chosen
            if one in self.registry.servers
        ]

    def uses(self, server_id):
        """Return whether a server is still known."""
        return server_id in self.book.servers

    def rotated(self, count):
        """Return the next servers whose rows are sent again."""
        known = list(self.sent)
        count = min(count, ROTATED_ROWS, len(known))
        first = self.position
        self.position += count
        return [known[(first + n) % len(known)] for n in range(count)]

    def row(self, server_id, now):
        """Return the row of one server."""
        factors = self.book.servers[server_id][1].factors
        age = now - max(one.learned_at for one in factors)
        tenths = MAX_AGE_TENTHS
        if age < MAX_AGE_TENTHS / 10:
            tenths = max(0, round(age * 10))
        return (
            short_id(self.registry.current_instance(server_id)),
            *(round(one.value * 100) for one in factors),
            tenths,
        )

    def merge(self, rows, now):
        """Apply the rows of the placing host.

        Rows of instances that are not listed here are ignored: the server has
        restarted, or its entry has not arrived, and the row is repeated.
        """
        if not rows or Mechanism.SPEEDS in self.book.disabled:
            return
        listed = {
            short_id(self.registry.current_instance(one)): one
            for one in self.registry.servers
        }
        for instance, *percentages, tenths in rows:
            server_id = listed.get(instance)
            if server_id is None or tenths >= MAX_AGE_TENTHS:
                continue
            service = self.registry.servers[server_id].entry.service
            speeds = self.book.of(server_id, service)
            for factor, percentage in zip(
                speeds.factors, percentages, strict=True
            ):
                if percentage > 0:
                    factor.adopt(percentage / 100, now - tenths / 10)
