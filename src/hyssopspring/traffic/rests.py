"""Servers that a host leaves alone for a while, as they asked for it."""

from dataclasses import dataclass

from ..core.sentinels import NOTHING

__all__ = ["Rest", "Rests"]

LONGEST_REST = 60.0
"""Seconds of rest that are believed; one request a minute shows whether a
server that asked for more takes work again."""

RAMP_STEP = 0.25
RAMP_SECONDS = 1.0
"""After a rest a host sends one request, and twice as many with each step,
for so many seconds. All that had waited would come at once else."""

SPREAD_SECONDS = 0.5
"""Seconds over which callers are spread who come back after a rest."""


@dataclass(slots=True, eq=False, kw_only=True)
class Rest:
    """A rest of one server.

    Attributes:
        server_id: The server.
        start: Name of its start.
        until: Time of its end.
        asked_at: Time at which the server asked for it.
        request: Request that it turned away then.
        sent: Requests sent to it since the end.
    """

    server_id: str
    start: str
    until: float
    asked_at: float
    request: str
    sent: int = 0

    def is_closed(self, now):
        """Whether the host is to send nothing now."""
        since = now - self.until
        if since < 0:
            return True
        return self.sent >= 2 ** int(since / RAMP_STEP)

    def evidence(self, now):
        """Return who asked for it and when, for a log line."""
        return (
            f"{self.server_id} rests for {max(0.0, self.until - now):.1f} s, "
            f"asked {now - self.asked_at:.1f} s ago as it turned "
            f"{self.request} away"
        )

    def is_over(self, now):
        """Whether the server gets all work again."""
        return now - self.until >= RAMP_SECONDS


class Rests:
    """The rests that servers asked this host for.

    A server asks only the host that it answers; others may go on.

    Args:
        registry: The `Registry`.
        rng: Random number generator.
    """

    def __init__(self, registry, rng):
        self.registry = registry
        self.rng = rng
        self.rests = {}

    def note(self, server_id, request, seconds, now):
        """Note that a server asked for rest.

        Returns:
            Whether it was not at rest before.
        """
        until = now + min(seconds, LONGEST_REST)
        known = self.current(server_id, now)
        if known is not NOTHING and now < known.until:
            known.until = max(known.until, until)
            return False
        self.rests[server_id] = Rest(
            server_id=server_id,
            start=self.registry.start_of(server_id),
            until=until,
            asked_at=now,
            request=request,
        )
        return True

    def current(self, server_id, now):
        """Return the `Rest` of a server, or `NOTHING`."""
        rest = self.rests.get(server_id, NOTHING)
        if rest is NOTHING:
            return NOTHING
        if rest.is_over(now) or not self.registry.is_known(
            server_id, rest.start
        ):
            del self.rests[server_id]
            return NOTHING
        return rest

    def is_closed(self, server_id, now):
        """Whether this host is to send a server nothing now."""
        rest = self.current(server_id, now)
        return rest is not NOTHING and rest.is_closed(now)

    def closed(self, now):
        """Return the servers to which this host is to send nothing now."""
        return [one for one in list(self.rests) if self.is_closed(one, now)]

    def at_rest(self, now):
        """Return how many servers this host leaves alone."""
        return len(self.closed(now))

    def count(self, server_id, now):
        """Count a request that is sent to a server after its rest."""
        rest = self.current(server_id, now)
        if rest is not NOTHING:
            rest.sent += 1

    def first_back(self, server_ids, now):
        """Return the `Rest` that ends first, or `NOTHING`.

        Args:
            server_ids: The servers that could be used but for their rests.
            now: The time.

        Returns:
            `NOTHING` unless all of them are closed.
        """
        rests = [self.current(one, now) for one in server_ids]
        if not rests or NOTHING in rests:
            return NOTHING
        if not all(rest.is_closed(now) for rest in rests):
            return NOTHING
        return min(rests, key=lambda rest: rest.until)

    def wait(self, rest, now):
        """Return the seconds after which a refused caller may come back."""
        spread = SPREAD_SECONDS * self.rng.random()
        return max(0.0, rest.until - now) + spread
