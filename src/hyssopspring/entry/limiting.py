"""Limits of workspaces, counted where requests are placed."""

from ..core.hashing import short_id
from ..core.sentinels import NOTHING
from ..traffic.decisions import Away, Limited, Placed
from ..traffic.evidence import NOT_RUN
from ..traffic.members import Report
from .messages import Transfer, TransferAsk

__all__ = ["TRANSFERS_EVERY", "Limiting", "Standing"]

TRANSFERS_EVERY = 0.3
"""Seconds between two questions for tokens of other regions."""

LATELY = 1.0
"""Seconds for which a host counts as one that not only asks the first."""

FIRST_PART = 0.4
SECOND_PART = 0.4
ALONE_PART = 0.2
"""Parts of a host that asks the first, the second and nobody in turn, as
some of its questions are answered too late. They add up to 1."""

FIRST_SILENCE = 0.75
"""Seconds without a heartbeat after which the second counts for the first
as well: the first speaks to it twice a second."""

LEAST_RETRY = 0.1
LONGEST_RETRY = 5.0
"""Bounds of the time after which to come back, in seconds."""

WEIGHT_FOR = 0.1
"""Seconds for which the part of the region that counts here is kept."""

RETRY_SPREAD = 0.5
"""Part by which that time is drawn longer, so that callers who were refused
together do not return together."""


class Standing:
    """Which part of the region's hosts count on this one to place.

    Args:
        members: The `Members`.
        clock: The runtime's clock.
    """

    def __init__(self, members, clock):
        self.members = members
        self.clock = clock
        self.asked_second = {}
        self.strayed = {}
        self.known_weight = 0.0
        self.known_at = -WEIGHT_FOR

    def note_asked(self, host, *, second, strayed):
        """Note that another host has asked this one.

        Args:
            host: Its name.
            second: Whether the host that was asked first did not answer.
            strayed: Whether that happened to it lately.
        """
        now = self.clock.seconds()
        if second:
            self.asked_second[host] = now
        elif strayed:
            self.strayed[host] = now

    def weight(self):
        """Return the part, from 0 to 1, this host included.

        The parts of hosts that place beside each other add up to 1 at
        most, since each host counts once in all. For a short time after a
        host has begun to ask elsewhere they may not.
        """
        now = self.clock.seconds()
        if now - self.known_at >= WEIGHT_FOR:
            self.known_at = now
            self.known_weight = self.find_weight(now)
        return self.known_weight

    def find_weight(self, now):
        """Return the part as it is now."""
        own = self.members.own
        others = [
            member
            for member in self.members.others.values()
            if member.region == own.region and not member.leaving
        ]
        first, *rest = self.members.placers(now)
        if first is own:
            parts = [self.part_as_first(member, now) for member in others]
            own_part = 1.0
        else:
            silent = not first.heard_within(FIRST_SILENCE, now)
            part = SECOND_PART + (FIRST_PART if silent else 0.0)
            parts = [
                part * was_lately(self.asked_second, member, now)
                for member in others
            ]
            own_part = SECOND_PART if rest[0] is own else ALONE_PART
        return (own_part + sum(parts)) / (1 + len(others))

    def part_as_first(self, member, now):
        """Return the part of a host that counts on this one as the first."""
        if member.wants is not Report.ROSTERS or not member.is_reporting(now):
            return 0.0
        strays = was_lately(self.strayed, member, now)
        return FIRST_PART if strays else 1.0


def was_lately(times, member, now):
    """Whether the time noted for a host is a short while ago."""
    at = times.get(member.name, NOTHING)
    return at is not NOTHING and now - at < LATELY


class Limiting:
    """Let requests pass within their limits, and share them among regions.

    Args:
        limits: The `TokenLimits`.
        keeper: The `ConfigurationKeeper`.
        members: The `Members`.
        datagrams: The `Datagrams`.
        clock: Callable that returns the seconds of a clock that also
            counts while the host is suspended.
        runtime: The runtime's clock, by which hosts are heard.
        rng: Random number generator.
        standing: The `Standing`.
        far_hosts: Called for the hosts of other regions to ask.
    """

    def __init__(
        self,
        limits,
        keeper,
        members,
        datagrams,
        clock,
        runtime,
        rng,
        standing,
        far_hosts,
    ):
        self.limits = limits
        self.keeper = keeper
        self.members = members
        self.datagrams = datagrams
        self.clock = clock
        self.runtime = runtime
        self.rng = rng
        self.standing = standing
        self.far_hosts = far_hosts
        self.version = 0
        self.by_id = {}

    def limit_of(self, name):
        """Return the `TokenLimit` of a workspace, or `NOTHING`."""
        if not self.keeper.current:
            return NOTHING
        workspace = self.keeper.current.workspaces.get(name)
        return NOTHING if workspace is None else workspace.limit

    def decide(self, ask, decide):
        """Return a `Limited`, or what *decide* decides.

        Args:
            ask: The `Ask`.
            decide: Called for a decision if the limit allows the request.
        """
        limit = self.limit_of(ask.workspace) if ask.cost else NOTHING
        if limit is NOTHING:
            return decide()
        key = (ask.host, ask.number)
        shortage = self.limits.try_take(
            ask.workspace, limit, ask.cost, self.clock(), key
        )
        if shortage is not NOTHING:
            return self.limited(shortage)
        decision = decide()
        if not isinstance(decision, Placed | Away):
            self.limits.refund(key)
        return decision

    def limited(self, shortage):
        """Return the `Limited` for a `Shortage`."""
        spread = 1.0 + RETRY_SPREAD * self.rng.random()
        seconds = shortage.seconds * spread
        return Limited(
            min(LONGEST_RETRY, max(LEAST_RETRY, seconds)),
            self.members.own.name,
            shortage.units,
            int(shortage.level),
            int(shortage.demand),
        )

    def note_end(self, host, number, finding):
        """Give tokens back if the request has not run."""
        if finding in NOT_RUN:
            self.limits.refund((host, number))
        else:
            self.limits.discard_charge((host, number))

    def tick(self):
        """Ask other regions for what is missing here, if this host places."""
        if not self.keeper.current or not self.keeper.current.workspaces:
            return
        now = self.clock()
        self.limits.refill_all(self.limit_of, now)
        if not self.is_first():
            return
        rows = []
        for workspace in self.keeper.current.workspaces.values():
            if workspace.limit is not NOTHING:
                wish = self.limits.tokens_to_request(
                    workspace.name, workspace.limit, now
                )
                if wish:
                    rows.append((short_id(workspace.name), wish))
        if not rows:
            return
        question = TransferAsk(self.members.own.name, int(now * 1000), rows)
        self.datagrams.send_all(question, self.givers())

    def is_first(self):
        """Whether this host places for its region."""
        placers = self.members.placers(self.runtime.seconds())
        return placers[0] is self.members.own

    def givers(self):
        """Return the host to ask in each other region."""
        found = {}
        for member in self.far_hosts():
            found.setdefault(member.region, member)
        return list(found.values())

    def names(self):
        """Return the workspaces by short name."""
        current = self.keeper.current
        if current and current.version != self.version:
            self.version = current.version
            self.by_id = {short_id(name): name for name in current.workspaces}
        return self.by_id

    def take_question(self, message):
        """Give what this region does not need, if this host places."""
        member = self.members.others.get(message.host)
        if member is None or not self.is_first():
            return
        now = self.clock()
        rows = []
        for identifier, wish in message.rows:
            name = self.names().get(identifier, "")
            limit = self.limit_of(name)
            if limit is NOTHING:
                continue
            tokens = self.limits.transfer_out(
                name, limit, member.name, wish, now
            )
            if tokens:
                rows.append((identifier, tokens))
        if rows:
            own = self.members.own.name
            answer = Transfer(own, message.stamp, rows)
            self.datagrams.send(answer, member.control)

    def take_transfer(self, message):
        """Use what another region gives."""
        now = self.clock()
        for identifier, tokens in message.rows:
            name = self.names().get(identifier, "")
            limit = self.limit_of(name)
            if limit is not NOTHING:
                self.limits.transfer_in(
                    name,
                    limit,
                    message.host,
                    tokens,
                    message.stamp / 1000,
                    now,
                )
