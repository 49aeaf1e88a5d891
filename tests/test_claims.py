"""Claims under races, lost responses, frozen hosts and outages."""

import os

import hypothesis.strategies as st
from histories import Step, check_claims
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from testtools.assertions import assert_that
from testtools.matchers import Equals
from twisted.internet.task import Clock

from hyssopspring.core import claims as core
from hyssopspring.core.claims import ClaimState, Record, Verdict, key_digest
from hyssopspring.core.events import HybridClock, Timeline
from hyssopspring.core.health import Health
from hyssopspring.core.pacing import TokenBucket
from hyssopspring.stores.claimlogs import ClaimLog
from hyssopspring_fakes.memory import MemoryKeyValue
from hyssopspring_fakes.stores import Store

HOSTS = 3
KEYS = ["review-1", "review-2", "review-3"]


class Fleet:
    """Hosts that write the same shard of the claim log."""

    def __init__(self):
        self.clock = Clock()
        self.store = Store()
        self.history = []
        self.clients = {}
        self.logs = {}
        self.held = []
        self.number = 0
        for host in range(HOSTS):
            self.restart(host)

    def restart(self, host):
        """Start a host without any state."""
        client = MemoryKeyValue(self.store, self.clock)
        self.clients[host] = client
        self.logs[host] = ClaimLog(
            client,
            0,
            self.clock,
            wall=self.clock.seconds,
            pacer=TokenBucket(1000.0, 50.0),
            timeline=Timeline(str(host), HybridClock(self.clock.seconds)),
            health=Health(),
            retention=1e9,
        )

    def claim(self, host, key):
        """Submit a claim; return the list that receives its verdict."""
        self.number += 1
        nonce = self.number.to_bytes(8, "big")
        record = Record(key_digest("w", key), nonce, ClaimState.CLAIMED, 10**6)
        give_up = self.clock.seconds() + 1.5
        verdicts = []

        def decided(verdict):
            verdicts.append(verdict)
            if verdict is Verdict.GRANTED:
                self.history.append(Step("granted", key, nonce.hex()))
                self.held.append((host, key, record))

        self.logs[host].submit(record, give_up).addCallback(decided)
        return verdicts

    def conclude(self, place, state):
        """Submit the outcome of the request of a holder."""
        host, key, record = self.held.pop(place % len(self.held))
        if state is ClaimState.RELEASED:
            who = record.nonce.hex()
            self.history.append(Step("released", key, who))
        marked = Record(record.digest, record.nonce, state, record.expires_at)
        self.logs[host].submit(marked, self.clock.seconds() + 60)

    def advance(self, seconds):
        """Advance the clock in small steps; probes detect a recovery."""
        for log in self.logs.values():
            if not self.store.faults.down:
                log.health.record_success()
        for _ in range(int(seconds / 0.002)):
            self.clock.advance(0.002)


class ClaimMachine(RuleBasedStateMachine):
    """Apply random claims and faults, and check each history."""

    def __init__(self):
        super().__init__()
        core.MAX_SEGMENT_RECORDS = 3
        self.fleet = Fleet()

    def teardown(self):
        """Restore the segment size."""
        core.MAX_SEGMENT_RECORDS = 400

    @rule(host=st.integers(0, HOSTS - 1), key=st.sampled_from(KEYS))
    def claim(self, host, key):
        """Claim a key."""
        self.fleet.claim(host, key)

    @rule(
        place=st.integers(0, 9),
        state=st.sampled_from(
            [ClaimState.DONE, ClaimState.RELEASED, ClaimState.UNKNOWN]
        ),
    )
    def conclude(self, place, state):
        """Conclude a request whose key was granted."""
        if self.fleet.held:
            self.fleet.conclude(place, state)

    @rule(seconds=st.sampled_from([0.002, 0.006, 0.02, 0.6, 1.2]))
    def advance(self, seconds):
        """Advance the clock."""
        self.fleet.advance(seconds)

    @rule(
        lost=st.sampled_from(["lose_answers", "lose_requests"]),
        count=st.integers(0, 2),
    )
    def lose(self, lost, count):
        """Lose the next writes, or only their responses."""
        setattr(self.fleet.store.faults, lost, count)

    @rule(stale=st.integers(0, 4))
    def answer_from_the_past(self, stale):
        """Make reads return stale values."""
        self.fleet.store.faults.stale = stale

    @rule(down=st.booleans())
    def outage(self, down):
        """Stop or restore the service."""
        self.fleet.store.faults.down = down

    @rule(
        host=st.integers(0, HOSTS - 1),
        delay=st.sampled_from([0.0, 0.01, 1.5]),
    )
    def delay_writes(self, host, delay):
        """Delay the effect of the writes of a host."""
        self.fleet.clients[host].write_delay = delay

    @rule(host=st.integers(0, HOSTS - 1))
    def freeze(self, host):
        """Freeze a host."""
        self.fleet.clients[host].paused = True

    @rule(host=st.integers(0, HOSTS - 1))
    def thaw(self, host):
        """Resume a frozen host."""
        self.fleet.clients[host].resume()

    @rule(host=st.integers(0, HOSTS - 1))
    def kill(self, host):
        """Replace a host; its state is lost."""
        self.fleet.restart(host)
        self.fleet.held = [held for held in self.fleet.held if held[0] != host]

    @invariant()
    def no_key_is_granted_twice(self):
        """No key is granted twice without a release."""
        assert check_claims(self.fleet.history) == []


def test_no_key_runs_twice_under_random_faults():
    """Randomised runs never grant a key twice.

    Guards against a request that runs twice, such as two endorsements of
    one review: two gateways claim a key at the same time, the response of
    a write is lost or a host is frozen, and both are granted the key. This
    is possible if claims depend on anything but compare-and-swap.
    """
    examples = int(os.environ.get("HYSSOP_SOAK_EXAMPLES", "60"))
    run_state_machine_as_test(
        ClaimMachine,
        settings=settings(
            max_examples=examples, stateful_step_count=40, deadline=None
        ),
    )


def test_lost_answer_of_a_claim_is_settled_by_its_nonce():
    """A claim whose response was lost is found in the log.

    Guards against refusing a request because of its own claim: the write
    takes effect, its response is lost, and the retry finds the key held.
    This occurs if the nonce of the holder is not compared.
    """
    fleet = Fleet()
    fleet.store.faults.lose_answers = 1
    verdicts = fleet.claim(0, "k")
    fleet.advance(1.1)
    assert_that(verdicts, Equals([Verdict.UNAVAILABLE]))
    again = fleet.claim(1, "k")
    fleet.advance(0.6)
    assert_that(again, Equals([Verdict.IN_PROGRESS]))


def test_release_blocks_a_claim_that_is_still_being_written():
    """A release prevents a delayed claim from taking effect.

    Guards against a key that stays in progress: the caller receives 'not
    run' and retries with the same key, but the write of the first claim
    was delayed in the network and takes effect after that response. This
    occurs if a release is not written when the key appears free.
    """
    fleet = Fleet()
    first = fleet.claim(1, "other")
    fleet.advance(0.1)
    fleet.clients[0].write_delay = 2.0
    verdicts = fleet.claim(0, "k")
    fleet.advance(1.2)
    assert_that(
        first + verdicts, Equals([Verdict.GRANTED, Verdict.UNAVAILABLE])
    )
    fleet.clients[0].write_delay = 0.0
    released = Record(
        key_digest("w", "k"),
        (2).to_bytes(8, "big"),
        ClaimState.RELEASED,
        10**6,
    )
    fleet.logs[0].submit(released, 1e9)
    fleet.advance(2.0)
    again = fleet.claim(1, "k")
    fleet.advance(0.1)
    assert_that(again, Equals([Verdict.GRANTED]))


def test_writes_do_not_grow_with_requests():
    """Ten times as many claims need hardly more writes.

    Guards against exceeding the write rate of the key-value service at the
    yearly peak, which occurs if each claim is a separate write.
    """
    writes = {}
    for rate in (200, 2000):
        fleet = Fleet()
        for number in range(rate):
            fleet.claim(0, f"key-{number}")
            fleet.clock.advance(1.0 / rate)
        fleet.advance(0.5)
        assert len(fleet.history) == rate
        writes[rate] = fleet.store.writes
    assert writes[2000] <= 1.2 * writes[200], writes


def test_segments_roll_and_keep_what_they_hold():
    """Keys in closed segments stay claimed for a restarted host."""
    core.MAX_SEGMENT_RECORDS = 3
    try:
        fleet = Fleet()
        for number in range(20):
            fleet.claim(0, f"key-{number}")
            fleet.advance(0.05)
        fleet.restart(1)
        verdicts = fleet.claim(1, "key-0")
        fleet.advance(0.5)
    finally:
        core.MAX_SEGMENT_RECORDS = 400
    assert_that(verdicts, Equals([Verdict.IN_PROGRESS]))
