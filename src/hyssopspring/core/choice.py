"""Policies that select a backend server within a data centre."""

from .exceptions import UnknownPolicyError
from .hashing import hash_text

POLICIES = {}
DEFAULT_POLICY = "affinity"
AFFINITY_SERVERS = 2
"""Servers that are preferred for each prompt prefix."""


def register_policy(name):
    """Register a load-balancing policy under *name*.

    A policy takes the request, a non-empty list of servers, the time in
    seconds and a random number generator, and returns one server.
    """

    def register(policy):
        POLICIES[name] = policy
        return policy

    return register


def find_policy(name):
    """Return the policy that is registered under *name*.

    Raises:
        UnknownPolicyError: No such policy is registered.
    """
    try:
        return POLICIES[name]
    except KeyError:
        raise UnknownPolicyError(name) from None


@register_policy("round_robin")
def round_robin(request, servers, now, rng):
    """Select a server by the hash of the request identifier."""
    request_hash = hash_text(request.id)
    return servers[request_hash % len(servers)]


@register_policy("least_in_flight")
def least_in_flight(request, servers, now, rng):
    """Select the server with the fewest requests in flight from this host."""
    return min(servers, key=lambda server: server.in_flight)


@register_policy("two_choices")
def two_choices(request, servers, now, rng):
    """Select the less loaded of two servers drawn at random."""
    drawn = [rng.choice(servers), rng.choice(servers)]
    return min(drawn, key=lambda server: relative_load(server, now))


@register_policy("affinity")
def affinity(request, servers, now, rng):
    """Prefer the servers that are likely to have the prompt prefix cached.

    Rendezvous hashing of the prompt prefix selects the same few servers
    on every host without communication. A preferred server without a free
    slot is skipped, since queueing there costs more than the prefill on
    another server. The other requests are distributed by `two_choices`;
    the random draw prevents hosts with the same outdated load reports from
    all selecting the same server.
    """
    for server in rank_servers(request.prefix, servers)[:AFFINITY_SERVERS]:
        if relative_load(server, now) <= 1.0:
            return server
    free = [s for s in servers if relative_load(s, now) <= 1.0]
    return two_choices(request, free or servers, now, rng)


def rank_servers(prefix, servers):
    """Order *servers* by rendezvous hashing of *prefix*."""
    return sorted(
        servers,
        key=lambda server: hash_text(server.entry.name, prefix),
    )


def relative_load(server, now):
    """Return the slot utilization of *server* with one more request."""
    return (server.load(now) + 1) / server.slots
