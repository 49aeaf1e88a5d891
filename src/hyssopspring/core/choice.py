"""Policies that choose a backend server within a data centre."""

from .exceptions import UnknownPolicyError
from .hashing import hash_text

POLICIES = {}
DEFAULT_POLICY = "affinity"
AFFINITY_SERVERS = 2


def register_policy(name):
    """Register a policy under *name*.

    A policy takes the request, a non-empty list of servers, the time in
    seconds and a random number generator, and returns one server.
    """

    def register(policy):
        POLICIES[name] = policy
        return policy

    return register


def find_policy(name):
    """Return the policy called *name*.

    Raises:
        UnknownPolicyError: No such policy is registered.
    """
    try:
        return POLICIES[name]
    except KeyError:
        raise UnknownPolicyError(name) from None


@register_policy("round_robin")
def round_robin(request, servers, now, rng):
    """Take the servers in turn, by the number of the request."""
    request_hash = hash_text(request.id)
    return servers[request_hash % len(servers)]


@register_policy("least_in_flight")
def least_in_flight(request, servers, now, rng):
    """Take the server with the fewest own requests."""
    return min(servers, key=lambda server: server.in_flight)


@register_policy("two_choices")
def two_choices(request, servers, now, rng):
    """Take the less loaded of two servers drawn at random."""
    drawn = [rng.choice(servers), rng.choice(servers)]
    return min(drawn, key=lambda server: relative_load(server, now))


@register_policy("affinity")
def affinity(request, servers, now, rng):
    """Prefer the servers that likely hold the prompt's start.

    Rendezvous hashing over the prompt's start names the same few servers
    on every host without any message. One of them that has no free slot
    is passed over: waiting there costs more than reading the prompt
    elsewhere. Random choices spread what is passed over, which keeps
    hosts with the same old reports from all picking the same server.
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
    """Return the share of its slots that one more request would fill."""
    return (server.load(now) + 1) / server.slots
