"""Limits over all hosts under partitions, lost responses and outages."""

import os
from types import SimpleNamespace

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)
from testtools.assertions import assert_that
from testtools.matchers import Equals
from twisted.internet import defer
from twisted.internet.task import Clock

from hyssopspring.core.accepted import Accepted, GenerationKeeper
from hyssopspring.core.configuration import (
    Configuration,
    Limits,
    Region,
    Workspace,
)
from hyssopspring.core.events import HybridClock, Timeline
from hyssopspring.core.outcomes import Answered
from hyssopspring.core.shares import TOTAL_UNITS, fair_units
from hyssopspring.net import limiting
from hyssopspring_fakes.memory import MemoryKeyValue
from hyssopspring_fakes.stores import Store

HOSTS = 4
RATE = 100.0
CONCURRENT = 20


class Fleet:
    """Hosts that share the limits of one workspace."""

    def __init__(self):
        self.clock = Clock()
        self.clock.advance(1000)
        self.store = Store()
        self.clients = {}
        self.limits = {}
        self.started = []
        self.running = [0] * HOSTS
        self.boots = [0] * HOSTS
        self.failures = []
        for host in range(HOSTS):
            self.start(host)

    def start(self, host):
        """Start a host without any state.

        An earlier instance gets no more responses, and its requests in
        progress end, as engines abort requests of a closed connection.
        """
        if host in self.clients:
            self.clients[host].paused = True
        self.running[host] = 0
        self.boots[host] += 1
        client = MemoryKeyValue(self.store, self.clock)
        keeper = GenerationKeeper()
        keeper.offer(
            Accepted(
                generation=1,
                configuration=Configuration(
                    regions={"dar": Region(), "arusha": Region()},
                    workspaces={
                        "w": Workspace(
                            home="dar",
                            limits=Limits(
                                requests_per_second=RATE,
                                concurrent=CONCURRENT,
                            ),
                        )
                    },
                ),
            )
        )
        region = "dar" if host < 2 else "arusha"
        peer = SimpleNamespace(region="dar")
        state = SimpleNamespace(
            host=f"h{host}",
            region=region,
            clock=self.clock,
            keeper=keeper,
            timeline=Timeline(str(host), HybridClock(self.clock.seconds)),
        )
        self.clients[host] = client
        self.limits[host] = limiting.WorkspaceLimiter(
            state,
            SimpleNamespace(entries={"other": peer}),
            client,
            self.clock.seconds,
            on_failure=self.failures.append,
        )

    def ask(self, host, seconds):
        """Send a request to a host; it runs for *seconds* if it starts."""

        async def run():
            self.started.append(self.clock.seconds())
            boot = self.boots[host]
            self.running[host] += 1
            finished = defer.Deferred()
            self.clock.callLater(seconds, finished.callback, None)
            await finished
            if boot == self.boots[host]:
                self.running[host] -= 1
            return Answered(200)

        request = SimpleNamespace(workspace="w")
        work = self.limits[host].intercept(request, run)
        return defer.ensureDeferred(work)

    @property
    def active(self):
        """Requests in progress over all hosts."""
        return sum(self.running)

    def advance(self, seconds):
        """Advance the clock; hosts do their periodic work once a second."""
        for _ in range(round(seconds / 0.002)):
            before = int(self.clock.seconds())
            self.clock.advance(0.002)
            assert self.in_use() <= TOTAL_UNITS, (
                "units in use exceed the limit"
            )
            assert self.active <= CONCURRENT, (
                "concurrent requests exceed the limit"
            )
            assert not self.failures, self.failures[0].getErrorMessage()
            if int(self.clock.seconds()) > before:
                for limits in self.limits.values():
                    limits.tick()

    def in_use(self):
        """Return the units that all hosts together use."""
        wall = self.clock.seconds()
        return sum(
            usage.usable_units(wall)
            for limits in self.limits.values()
            for usage in limits.usages.values()
        )


class LimitMachine(RuleBasedStateMachine):
    """Apply random demand and faults; check the sum of all shares."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet()

    @rule(host=st.integers(0, HOSTS - 1), count=st.integers(1, 15))
    def demand(self, host, count):
        """Send requests to a host."""
        for _ in range(count):
            self.fleet.ask(host, 0.5)

    @rule(seconds=st.sampled_from([0.05, 0.5, 1.5, 4.0]))
    def advance(self, seconds):
        """Advance the clock."""
        self.fleet.advance(seconds)

    @rule(
        answers=st.integers(0, 2),
        requests=st.integers(0, 2),
        stale=st.integers(0, 3),
        down=st.booleans(),
    )
    def disturb(self, answers, requests, stale, down):
        """Set the service's faults."""
        faults = self.fleet.store.faults
        faults.lose_answers = answers
        faults.lose_requests = requests
        faults.stale = stale
        faults.down = down

    @rule(host=st.integers(0, HOSTS - 1), cut=st.booleans())
    def cut(self, host, cut):
        """Disconnect a host from the service, or reconnect it."""
        self.fleet.clients[host].cut = cut

    @rule(
        host=st.integers(0, HOSTS - 1),
        delay=st.sampled_from([0.0, 0.02, 1.5]),
    )
    def delay(self, host, delay):
        """Delay the effect of the writes of a host."""
        self.fleet.clients[host].write_delay = delay

    @rule(host=st.integers(0, HOSTS - 1))
    def restart(self, host):
        """Replace a host under the same name."""
        self.fleet.start(host)

    def teardown(self):
        """Check that no more requests started than the limit allows."""
        started = self.fleet.started
        seconds = self.fleet.clock.seconds() - 1000
        assert len(started) <= RATE * (seconds + 1) + HOSTS


def test_shares_never_add_up_to_more_than_the_limit():
    """Randomised runs keep the sum of shares within the limit.

    Guards against serving a workspace beyond its limit: a disconnected
    host keeps its share while another host takes it, or the response of a
    write is lost and two hosts use the same units.
    """
    examples = int(os.environ.get("HYSSOP_SOAK_EXAMPLES", "40"))
    run_state_machine_as_test(
        LimitMachine,
        settings=settings(
            max_examples=examples, stateful_step_count=25, deadline=None
        ),
    )


def offered(fleet, hosts, each, seconds):
    """Send *each* requests per second to hosts; return how many start."""
    before = len(fleet.started)
    for _ in range(round(seconds * 20)):
        for host in hosts:
            for _ in range(round(each / 20)):
                fleet.ask(host, 0.01)
        fleet.advance(0.05)
    return len(fleet.started) - before


def test_unused_share_moves_to_where_the_demand_is():
    """A host gets most of the limit within seconds when others are idle.

    Guards against refusing a workspace at a quarter of its limit, which
    occurs if shares stay where the demand was before.
    """
    fleet = Fleet()
    offered(fleet, [0], 200, 4)
    offered(fleet, [3], 200, 5)
    rate = offered(fleet, [3], 200, 4) / 4
    assert 0.6 * RATE <= rate <= 1.1 * RATE, rate


def test_full_demand_everywhere_is_split_and_not_exceeded():
    """All hosts together start as many as the limit allows."""
    fleet = Fleet()
    offered(fleet, range(HOSTS), 100, 5)
    rate = offered(fleet, range(HOSTS), 100, 5) / 5
    assert 0.7 * RATE <= rate <= 1.05 * RATE, rate


def test_lost_write_gives_no_share():
    """A host whose write was lost uses none of the requested units.

    Guards against serving a workspace twice its limit: one host uses the
    whole limit after a write that never arrives, and so does another.
    """
    fleet = Fleet()
    fleet.store.faults.lose_requests = 1
    for host in (2, 3):
        for _ in range(CONCURRENT):
            fleet.ask(host, 5.0)
        fleet.advance(1.1)
    assert fleet.active > 0


def test_share_in_use_is_not_given_away():
    """Units of running requests are kept until these have ended.

    Guards against more concurrent requests than allowed: a host releases
    half of a fully used share to another one while all its requests still
    run.
    """
    fleet = Fleet()
    for _ in range(CONCURRENT):
        fleet.ask(2, 60.0)
    fleet.advance(3)
    for _ in range(CONCURRENT):
        fleet.ask(2, 60.0)
    fleet.advance(1)
    assert fleet.active > CONCURRENT / 2
    for _ in range(10):
        for _ in range(CONCURRENT):
            fleet.ask(3, 60.0)
        fleet.advance(1)


def test_home_region_keeps_a_share_through_an_outage():
    """A host of the home region serves its workspace without the platform."""
    fleet = Fleet()
    fleet.advance(3)
    fleet.store.faults.down = True
    fleet.advance(30)
    assert offered(fleet, [0], 40, 3) >= 0.1 * RATE * 3


def test_fair_units_serve_modest_wishes_first():
    """Small requests are met in full; the rest is split equally."""
    wishes = {"a": 1000, "b": 9000, "c": 9000}
    assert_that(fair_units(wishes, "a"), Equals(1000))
    assert_that(fair_units(wishes, "b"), Equals(4500))
    assert_that(fair_units({"a": 100}, "a"), Equals(100))
