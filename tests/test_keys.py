"""Keys of callers: who may ask, and what others learn of it."""

import msgspec
import pytest
import pytest_twisted
from entry_hosts import WORKSPACES, configuration, keyed_configuration
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is, Not
from twisted.web.http_headers import Headers

from hyssopspring.core.exceptions import ProtocolError
from hyssopspring.core.hashing import credential_digest
from hyssopspring.core.outcomes import Reason
from hyssopspring.core.sentinels import INVALID, NOTHING
from hyssopspring.entry.admission import Barred, Rights, rights_of
from hyssopspring.entry.requests import CallerFacts
from hyssopspring.platform import headers
from hyssopspring.platform.operator import decode_configuration, hash_api_keys


def decoded(document):
    """Return the `Configuration` of a document with keys in clear."""
    return decode_configuration(hash_api_keys(msgspec.json.encode(document)))


def rights(configuration, route, key="", tokens=NOTHING):
    """Return what a caller with *key* may do on a route."""
    digest = credential_digest(key.encode()) if key else ""
    facts = CallerFacts(id=b"r1", key_digest=digest, tokens=tokens)
    found = configuration.find_route("a.example", route)
    return rights_of(configuration, found, facts)


def test_a_key_tells_the_workspace_and_its_rights():
    """Priority of the workspace goes before that of the route."""
    current = decoded(keyed_configuration())
    assert_that(
        rights(current, "/lookup/", "desk-key"),
        Equals(Rights(workspace="desk", priority=1)),
    )
    assert_that(
        rights(current, "/lookup/", "bound-key").homes,
        Equals(frozenset({"south"})),
    )


@pytest.mark.parametrize("key", ["", "desk", "desk-keyx", "x" * 150])
def test_a_key_that_nobody_holds_is_refused(key):
    """A request without a right runs at a server."""
    current = decoded(keyed_configuration())
    assert_that(
        rights(current, "/lookup/", key),
        Equals(Barred(401, Reason.UNKNOWN_WORKSPACE)),
    )


def test_public_routes_and_deployments_without_workspaces_need_no_key():
    """Callers who never had a key are turned away."""
    current = decoded(keyed_configuration())
    assert_that(rights(current, "/open/"), Equals(Rights()))
    plain = decoded(configuration())
    assert_that(rights(plain, "/lookup/"), Equals(Rights()))


def test_homes_of_route_and_workspace_both_bind():
    """A workspace's data leave its region by a route with other homes."""
    current = decoded(
        keyed_configuration(
            bound={"home_regions": ["south", "north"]},
            lookup={"home_regions": ["north"]},
        )
    )
    assert_that(
        rights(current, "/bound/", "bound-key").homes,
        Equals(frozenset({"south"})),
    )
    assert_that(
        rights(current, "/lookup/", "bound-key"),
        Equals(Barred(503, Reason.RESIDENCY)),
    )


def limited(**more):
    """Return a document with a workspace that has a limit."""
    row = {"name": "desk", "api_keys": ["k"], "rate_per_s": 10, "burst": 5}
    return keyed_configuration(workspaces=[{**row, **more}])


@pytest.mark.parametrize(
    ("unit", "tokens", "cost"),
    [
        ("tokens", 150, 150),
        ("tokens", NOTHING, 30),
        ("requests", 150, 1),
        ("requests", INVALID, 1),
    ],
)
def test_a_request_costs_what_its_limit_counts(unit, tokens, cost):
    """Tokens where the limit counts tokens; a fixed number without any."""
    current = decoded(limited(unit=unit, plain_tokens=30))
    assert_that(rights(current, "/lookup/", "k", tokens).cost, Equals(cost))


def test_a_request_with_a_senseless_count_of_tokens_is_refused():
    """A workspace asks for any amount, as its counts cannot be read."""
    current = decoded(limited(unit="tokens"))
    assert_that(
        rights(current, "/lookup/", "k", INVALID),
        Equals(Barred(400, Reason.BAD_REQUEST)),
    )


@pytest.mark.parametrize(
    ("stated", "tokens"),
    [
        ([], NOTHING),
        ([b"100,20"], 120),
        ([b"100, 20"], 120),
        ([b"100"], 100),
        ([b"-100,20"], INVALID),
        ([b"1e3,20"], INVALID),
        ([b"100,"], INVALID),
        ([b""], INVALID),
        ([b"0,0"], INVALID),
        ([b"9" * 40 + b",1"], INVALID),
        ([b"1,2,3"], INVALID),
        ([b"100,20", b"1,1"], INVALID),
    ],
)
def test_the_tokens_that_a_caller_states(stated, tokens):
    """Missing, negative, huge and twofold counts are told apart."""
    given = Headers({b"x-token-usage": stated})
    assert_that(headers.read_tokens(given), Equals(tokens))


@pytest.mark.parametrize("keys", [[], [b""], [b"k", b"k"], [b"k" * 300]])
def test_a_request_without_exactly_one_key_has_none(keys):
    """Of two keys the wrong one is believed."""
    assert_that(
        headers.read_key_digest(Headers({b"x-api-key": keys})), Equals("")
    )


@pytest.mark.parametrize(
    "rows",
    [
        [{"name": "a", "api_keys": ["k"]}, {"name": "b", "api_keys": ["k"]}],
        [{"name": "a", "api_keys": ["k"]}, {"name": "a", "api_keys": ["l"]}],
        [{"name": "a", "api_keys": ["k"], "rate_per_s": -1}],
        [{"name": "a", "api_keys": ["k"], "plain_tokens": 0}],
        [{"name": "a", "api_keys": [7]}],
        ["a"],
    ],
)
def test_a_document_that_leaves_open_who_asks_is_refused(rows):
    """One key opens two workspaces; which one, depends on their order."""
    with pytest.raises(ProtocolError):
        decoded(keyed_configuration(workspaces=rows))


def test_a_limit_of_nought_is_no_limit():
    """A workspace whose limit was left out is refused everything."""
    current = decoded(limited(rate_per_s=0, burst=0))
    assert_that(current.workspaces["desk"].limit, Is(NOTHING))


def test_no_key_stands_in_what_hosts_keep_and_pass_on():
    """Keys of callers lie open in every datagram between hosts."""
    document = keyed_configuration()
    for value in (msgspec.json.encode(document), b'{"api_keys": ["desk-key"'):
        assert_that(hash_api_keys(value), Not(Contains(b"desk-key")))


@pytest_twisted.ensureDeferred
async def test_servers_learn_the_workspace_and_never_the_key(hosts):
    """A server sees a caller's key, or a workspace that the caller made up.

    Both ways to a server are tried: from the host that the caller asked,
    and over a host of another region, as the workspace's home is there.
    """
    hosts.store.put_json("op/config", keyed_configuration(2))
    await in_force(hosts, 2)
    for key, name, server in (
        ("desk-key", b"desk", "plain-north"),
        ("bound-key", b"bound", "plain-south"),
    ):
        status, _, _ = await hosts.send(
            "h-north",
            "/lookup/a",
            identifier=f"for-{server}",
            x_api_key=key,
            x_tenant="another",
        )
        assert_that(status, Equals(200))
        seen = hosts.backends[server].seen[-1]
        assert_that(seen[b"x-tenant"], Equals(name))
        assert_that(seen, Not(Contains(b"x-api-key")))
    text = "\n".join(hosts.lines)
    for row in WORKSPACES:
        for key in row["api_keys"]:
            assert_that(text, Not(Contains(key)))


@pytest_twisted.ensureDeferred
async def test_a_caller_without_a_right_reaches_no_server(hosts):
    """Unknown keys get 401; public routes need none."""
    hosts.store.put_json("op/config", keyed_configuration(2))
    await in_force(hosts, 2)
    status, _, _ = await hosts.send(
        "h-north", "/lookup/a", identifier="r1", x_api_key="wrong"
    )
    assert_that(status, Equals(401))
    assert_that(hosts.backends["plain-north"].seen, Equals([]))
    status, _, _ = await hosts.send(
        "h-north", "/open/a", identifier="r2", x_tenant="desk"
    )
    assert_that(status, Equals(200))
    seen = hosts.backends["plain-north"].seen[-1]
    assert_that(seen, Not(Contains(b"x-tenant")))


async def in_force(hosts, version):
    """Wait until all hosts have a version of the configuration."""
    await hosts.until(
        lambda: all(
            process.keeper.version == version
            for process in hosts.processes.values()
        )
    )
