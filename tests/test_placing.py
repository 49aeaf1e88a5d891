"""Placement of requests within a region, and between regions."""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, IsInstance

from hyssopspring.core.hashing import short_id
from hyssopspring.traffic.decisions import Ask, Away, Placed, Refused
from hyssopspring.traffic.placing import Placer
from hyssopspring.traffic.regions import RegionLoad, Room
from hyssopspring.traffic.routes import EngineSpec, Service
from hyssopspring.traffic.serverhealth import AttemptResult
from hyssopspring.traffic.servers import Registry, ServerEntry
from hyssopspring.traffic.work import Demand

ENGINE = Service(
    name="engine",
    cold_seconds=3.0,
    cold_rate=2.2,
    engine=EngineSpec(slots=64, memory_tokens=289_720),
)
PLAIN = Service(name="plain")
SERVICES = {"engine": ENGINE, "plain": PLAIN}
REGIONS = {"north-a": "north", "south-a": "south", "west-a": "west"}
REVIEW = Demand(
    parts=(("shared", 2520), ("subject", 3780), ("own", 2890)),
    tokens_in=9190,
    tokens_out=50,
)
"""Lengths of a policy review on the first users' sheet."""


@pytest.fixture
def registry():
    """Return a registry of two engines and two plain servers."""
    made = Registry(REGIONS)
    for name, service in (
        ("e1", "engine"),
        ("e2", "engine"),
        ("p1", "plain"),
        ("p2", "plain"),
    ):
        made.put(
            ServerEntry(
                id=name,
                service=service,
                address="127.0.0.1:1",
                data_centre="north-a",
                slots=6,
            ),
            0.0,
        )
    return made


@pytest.fixture
def placer(registry):
    """Return the placer of the region ``north``."""
    return Placer(
        "north",
        registry,
        SERVICES.get,
        lambda service: service.cold_rate * 1.5 + 3.0,
        random.Random(1),
        lambda now: {"north", "south", "west"},
    )


@pytest.fixture
def ask():
    """Return a function that makes the next `Ask`."""
    numbers = iter(range(1, 10_000))

    def make(service="engine", demand=REVIEW, **more):
        values = {"time_left": 0.8, "patience": 2.7, "priority": 1}
        return Ask(
            host="h1",
            number=next(numbers),
            service=service,
            demand=demand,
            **{**values, **more},
        )

    return make


def tell(placer, region, now=0.0, *, servers=2, wait=0.0):
    """Let *region* report its load."""
    rooms = (Room((wait,) * 3, 0.1),) * servers
    loads = {name: RegionLoad(20, rooms) for name in SERVICES}
    placer.take_load(region, loads, now)


def test_a_prompt_goes_where_its_parts_are_cached(placer, ask):
    """Parts that were read a moment ago are not read again elsewhere."""
    first = placer.place(ask(), 0.0)
    placer.note_start("h1", 1, 0.3, 0.3)
    second = placer.place(ask(), 0.5)
    assert_that(second.server_id, Equals(first.server_id))
    assert second.predicted < first.predicted / 2


def test_affinity_gives_way_to_load(placer, ask):
    """A popular subject must not pile up on one engine beside an idle one."""
    demands = [
        Demand(
            parts=(*REVIEW.parts[:2], (f"own-{n}", 2890)),
            tokens_in=9190,
            tokens_out=50,
        )
        for n in range(12)
    ]
    decisions = [placer.place(ask(demand=one), 0.0) for one in demands]
    used = {one.server_id for one in decisions if isinstance(one, Placed)}
    assert_that(used, Equals({"e1", "e2"}))


def test_a_peak_goes_to_regions_with_room_and_the_rest_is_refused(placer, ask):
    """Callers wait for seconds in one region while others are idle.

    A peak arrives at once. What the region can begin in time stays, what
    others can begin in time goes there, and what nobody can begin in time
    is refused at once with a time to come back.
    """
    tell(placer, "south")
    demands = [
        Demand(parts=((f"own-{n}", 9190),), tokens_in=9190, tokens_out=50)
        for n in range(60)
    ]
    decisions = [placer.place(ask(demand=one), 0.0) for one in demands]
    here = [one for one in decisions if isinstance(one, Placed)]
    away = [one for one in decisions if isinstance(one, Away)]
    refused = [one for one in decisions if isinstance(one, Refused)]
    assert 2 <= len(here) <= 12
    assert len(away) >= 1
    assert len(refused) >= 30
    waits = {round(one.retry_after, 3) for one in refused}
    assert min(waits) >= 0.25 and max(waits) <= 4.5
    assert len(waits) > 10


def test_a_stream_that_has_begun_goes_on_although_late(placer, ask):
    """A caller's quote is cut in the middle while servers are busy.

    Its server has failed and another is to go on with it. Nobody can do so
    within the objective, and a new request would be refused; this one's
    caller has read half of the answer and still waits.
    """
    while not isinstance(placer.place(ask(), 0.0), Refused):
        pass
    assert_that(placer.place(ask(begun=True), 0.0), IsInstance(Placed))
    hopeless = ask(begun=True, patience=0.01)
    assert_that(placer.place(hopeless, 0.0), IsInstance(Refused))


def test_no_request_leaves_its_homes(placer, ask):
    """A bound request reaches a region where its data must not be.

    Its own region has no server left. The only other home has refused it,
    and a third region, which is no home, is idle.
    """
    tell(placer, "south")
    tell(placer, "west")
    bound = ask(
        regions=frozenset({"north", "south"}),
        excluded=("e1", "e2"),
        avoided=("south",),
    )
    assert_that(placer.place(bound, 0.0), IsInstance(Refused))
    free = ask(excluded=("e1", "e2"), avoided=("south",))
    assert_that(placer.place(free, 0.0).region, Equals("west"))


def test_a_region_that_is_no_home_places_nothing(placer, ask):
    """A caller's host stands in a region that must not serve it."""
    tell(placer, "south")
    decision = placer.place(ask(regions=frozenset({"south"})), 0.0)
    assert_that(decision, IsInstance(Away))
    assert_that(decision.region, Equals("south"))


def test_a_region_that_has_not_told_its_load_may_be_asked(placer, ask):
    """A host that has just started refuses what others could serve.

    It hears hosts of other regions, but their load reports have not come
    yet; its own region lacks a server for the request.
    """
    placer.registry.put(
        ServerEntry(
            id="e3",
            service="engine",
            address="127.0.0.1:1",
            data_centre="south-a",
        ),
        0.0,
    )
    decision = placer.place(ask(excluded=("e1", "e2")), 0.0)
    assert_that(decision, IsInstance(Away))
    assert_that(decision.region, Equals("south"))


def test_a_region_that_reports_no_server_gets_nothing(placer, ask):
    """Requests follow a region whose servers have just crashed."""
    placer.take_load("south", {}, 0.0)
    placer.take_load("west", {}, 0.0)
    decision = placer.place(ask(excluded=("e1", "e2")), 0.0)
    assert_that(decision, IsInstance(Refused))


def test_a_cold_server_gets_its_share_and_no_more(placer, registry, ask):
    """Two engines come back cold and all requests fall on them at once."""
    for name in ("e1", "e2"):
        registry.put(
            ServerEntry(
                id=name,
                service="engine",
                address="127.0.0.1:1",
                data_centre="north-a",
                cold_left=3.0,
            ),
            0.0,
        )
    decisions = [placer.place(ask(), n * 0.01) for n in range(80)]
    sent = [one for one in decisions if isinstance(one, Placed)]
    assert_that(len(sent), Equals(4))
    assert all(one.at_once for one in sent)


def test_a_host_that_stands_in_sends_nothing_to_cold_servers(
    placer, registry, ask
):
    """The placing host is silent and each host decides by itself."""
    registry.put(
        ServerEntry(
            id="e1",
            service="engine",
            address="127.0.0.1:1",
            data_centre="north-a",
            cold_left=3.0,
        ),
        0.0,
    )
    decisions = [
        placer.place(ask(), 0.0, cold_allowed=False) for _ in range(4)
    ]
    used = {one.server_id for one in decisions if isinstance(one, Placed)}
    assert_that(used, Equals({"e2"}))


def test_an_unreachable_server_is_tried_by_one_request_at_a_time(placer, ask):
    """Each request loses time at a server that does not answer."""
    placer.note_end("h1", 0, "p1", AttemptResult.UNREACHED, 0.0)
    early = {placer.place(ask("plain"), 0.1).server_id for _ in range(5)}
    assert_that(early, Equals({"p2"}))
    later = [placer.place(ask("plain"), 0.7).server_id for _ in range(5)]
    assert_that(later.count("p1"), Equals(1))


def test_a_slow_server_that_answers_others_is_not_paused(placer, ask):
    """One slow answer empties the only server of a region.

    A request was given up since the server had not begun; the server
    answers others all the while.
    """
    placer.place(ask("plain"), 0.0)
    ticket = next(iter(placer.tickets.values()))
    placer.note_start("h1", ticket.number, 0.05, 0.4)
    server = ticket.server_id
    placer.note_end("h1", 999, server, AttemptResult.SILENT, 0.5)
    assert placer.evidence_of(server).is_available(0.6)
    placer.note_end("h1", 999, server, AttemptResult.SILENT, 5.0)
    assert not placer.evidence_of(server).is_available(5.1)


def test_memory_of_an_engine_is_not_overfilled(placer, ask):
    """Streams stand still midway, since the engine drops some of them.

    Its memory ran out. A request that does not fit has to wait for the
    ends of others, and so goes elsewhere or is refused.
    """
    big = Demand(parts=(), tokens_in=60_000, tokens_out=50)
    patient = {"time_left": 60.0, "patience": 60.0}
    for _ in range(8):
        placer.place(ask(demand=big, **patient), 0.0)
    work = placer.work["e1"]
    assert_that(work.slot_wait(1000, 0.0), Equals(0.0))
    assert work.slot_wait(60_000, 0.0) > 1.0


def test_lost_word_of_an_end_does_not_load_a_server_forever(placer, ask):
    """A server gets nothing for long, since its last ends were not heard."""
    placer.place(ask("plain"), 0.0)
    number = next(iter(placer.tickets))[1]
    placer.keep_only("h1", set(), 0.5, older_than=0.7)
    assert_that(len(placer.tickets), Equals(1))
    placer.keep_only("h1", {number}, 2.0, older_than=0.7)
    assert_that(len(placer.tickets), Equals(1))
    placer.keep_only("h1", set(), 2.0, older_than=0.7)
    assert_that(len(placer.tickets), Equals(0))


def test_work_of_a_lost_host_is_forgotten(placer, ask):
    """A host is killed; its requests have ended at their servers."""
    placer.place(ask("plain"), 0.0)
    placer.forget_host("h1", 5.0)
    assert_that(placer.work["p1"].tickets, Equals({}))
    assert_that(placer.work["p2"].tickets, Equals({}))


def test_a_server_that_starts_again_has_no_work_and_no_cache(placer, ask):
    """All requests of a region go to the engine that has just started.

    It has the identifier of the former one, whose cached parts made it
    look cheap, and whose failures must not count against it either.
    """
    first = placer.place(ask(), 0.0)
    placer.note_end("h1", 99, first.server_id, AttemptResult.UNREACHED, 0.1)
    placer.forget_server(first.server_id, 0.2)
    server = placer.registry.servers[first.server_id]
    work = placer.work_of(server)
    assert_that(work.known_tokens(REVIEW), Equals(0))
    assert_that(work.tickets, Equals({}))
    assert_that(placer.tickets, Equals({}))
    assert placer.evidence_of(first.server_id).is_available(0.2)
    placer.note_start("h1", 1, 0.3, 0.3)
    placer.note_end("h1", 1, first.server_id, AttemptResult.ANSWERED, 0.4)


def test_a_prompt_goes_to_the_region_that_has_read_its_parts(placer, ask):
    """Each region reads the same subjects of thousands of tokens again.

    The other region tells that it has read this one. The way there costs
    less than to read 9,000 tokens before all who wait here.
    """
    big = Demand(
        parts=(("s", 2520), ("t", 20_000), ("own", 690)),
        tokens_in=23_210,
        tokens_out=50,
    )
    tell(placer, "south")
    late = {"time_left": 1.2}
    assert_that(placer.place(ask(demand=big, **late), 0.0), IsInstance(Placed))
    told = placer.summarize(0.1)["engine"].read
    assert_that(len(told), Equals(2))
    other = Demand(
        parts=(("s", 2520), ("u", 20_000), ("own", 690)),
        tokens_in=23_210,
        tokens_out=50,
    )
    rooms = (Room((0.0,) * 3, 0.1),)
    read = (short_id("s"), short_id("u"))
    placer.take_load("south", {"engine": RegionLoad(64, rooms, read)}, 0.2)
    decision = placer.place(ask(demand=other, **late), 5.0)
    assert_that(decision, IsInstance(Placed))
    placer.take_load("south", {"engine": RegionLoad(64, rooms, read)}, 5.0)
    decision = placer.place(ask(demand=other, **late), 5.1)
    assert_that(decision.region, Equals("south"))


COPYING = Service(
    name="engine",
    engine=EngineSpec(
        slots=64, memory_tokens=289_720, copy_seconds=160_000 * 8 / 550e9
    ),
)


def test_parts_are_copied_from_the_server_that_has_read_them(placer, ask):
    """Engines read the same shared parts again beside one that has them.

    A subject is popular and its engine is busy, so the next request goes
    to the idle engine. Copying 6,300 tokens takes 15 ms there, reading
    them 0.18 s.
    """
    placer.service_of = {"engine": COPYING, "plain": PLAIN}.get
    first = placer.place(ask(), 0.0)
    demands = [
        Demand(
            parts=(*REVIEW.parts[:2], (f"own-{n}", 2890)),
            tokens_in=9190,
            tokens_out=50,
        )
        for n in range(6)
    ]
    decisions = [placer.place(ask(demand=one), 0.0) for one in demands]
    other = next(one for one in decisions if one.server_id != first.server_id)
    assert_that(other.copy_from, Equals(first.address))
    ticket = placer.tickets["h1", 2 + decisions.index(other)]
    assert_that(ticket.fresh_tokens, Equals(2890))
    alike = [one for one in decisions if one.server_id == first.server_id]
    assert all(not one.copy_from for one in alike)


def test_engines_that_cannot_copy_are_not_told_to(placer, ask):
    """A server that cannot copy would be asked for what it does not know."""
    decisions = [placer.place(ask(), 0.0) for _ in range(4)]
    assert not any(one.copy_from for one in decisions)


def test_an_engine_known_before_the_configuration_is_an_engine(placer, ask):
    """A few engines take all requests after every host was restarted.

    A host hears of servers before it has read the configuration, and takes
    the engines for plain services. A plain service is predicted to answer
    in 0.06 s, so these engines look idle from then on.
    """
    known = placer.service_of
    placer.service_of = lambda name: Service(name=name)
    placer.summarize(0.0)
    placer.service_of = known
    first = placer.place(ask(demand=REVIEW), 1.0)
    assert first.predicted > 0.2
    for _ in range(100):
        if isinstance(placer.place(ask(), 1.0), Refused):
            return
    raise AssertionError("a hundred prompts were placed at two engines")


def test_the_memory_in_use_is_the_sum_of_what_is_in_progress(placer, ask):
    """An engine looks full, or empty, for as long as it lives.

    The tokens in use are counted up and down with each request; an end
    that is heard twice or not at all must not leave a trace in the count.
    """
    for number in range(1, 9):
        placer.place(ask(), number * 0.1)
        if number % 2:
            placer.note_end("h1", number, "e1", AttemptResult.ANSWERED, 1.0)
            placer.note_end("h1", number, "e1", AttemptResult.ANSWERED, 1.0)
    placer.keep_only("h1", {8}, 5.0, older_than=0.7)
    for work in placer.work.values():
        tokens = sum(ticket.tokens for ticket in work.tickets.values())
        assert_that(work.held, Equals(tokens))
    assert_that(len(placer.tickets), Equals(1))
    placer.forget_host("h1", 5.0)
    assert_that({one.held for one in placer.work.values()}, Equals({0}))


def test_hosts_that_stand_in_do_not_choose_the_same_server(ask, registry):
    """One engine gets the requests of all hosts, the one beside it none.

    The placing host is silent, so each host decides for itself. None of
    them has placed anything yet, and all engines look alike.
    """
    chosen = set()
    for seed in range(8):
        placer = Placer(
            "north",
            registry,
            SERVICES.get,
            lambda service: 0.0,
            random.Random(seed),
            lambda now: {"north"},
        )
        decision = placer.place(ask(), 0.0, cold_allowed=False)
        chosen.add(decision.server_id)
    assert_that(chosen, Equals({"e1", "e2"}))
