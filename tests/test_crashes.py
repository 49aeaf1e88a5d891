"""Which requests are blocked after server crashes, decided without network."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from hyssopspring.core.sentinels import NOTHING
from hyssopspring.traffic.crashes import (
    EARLY_RESPONSE_SECONDS,
    MAX_EXTRA_WAIT_SECONDS,
    MAX_SUSPECTS,
    RETENTION_SECONDS,
    CrashTracker,
    may_be_cause,
)
from hyssopspring.traffic.crashverdicts import (
    CRASHES_TO_BLOCK,
    REPORT_DELAY_SECONDS,
    Verdict,
)
from hyssopspring.traffic.suspects import ServerCrash, Suspect

LATER = REPORT_DELAY_SECONDS + 0.1


@pytest.fixture
def crashes():
    """Return the tracker of a host that has seen no server crash."""
    return CrashTracker()


def record_crashes(crashes, fingerprint, servers, at=0.0, caller="c"):
    """Record that *servers* crashed as a request started on them."""
    for server in servers:
        crashes.record_crash(
            fingerprint, ServerCrash(server, at, "h", caller), at
        )


def test_the_third_crash_blocks_a_request(crashes):
    """Guards against servers that crash for as long as a caller retries."""
    record_crashes(crashes, "bad", "ab")
    assert_that(crashes.verdict("bad", "c", LATER), Equals(Verdict.ISOLATED))
    record_crashes(crashes, "bad", "c", 1.0)
    assert_that(crashes.verdict("bad", "c", 1.0), Equals(Verdict.DEFERRED))
    assert_that(
        crashes.verdict("bad", "c", 1.0 + LATER), Equals(Verdict.BLOCKED)
    )
    assert_that(
        crashes.verdict("good", "c", 1.0 + LATER), Equals(Verdict.ALLOWED)
    )


def test_requests_beside_the_cause_are_still_served(crashes):
    """Guards against refusing requests that ran beside the cause.

    Three servers crash under one request, and others had been sent to the same
    three. Nothing distinguishes them yet, so none is blocked; the next crash,
    of a server that only one of them was sent to, shows the cause. Otherwise
    all their callers would be refused for minutes after one bad request.
    """
    for fingerprint in ("bad", "beside", "beside too"):
        record_crashes(crashes, fingerprint, "abc")
    assert_that(crashes.block_causes(LATER), Equals([]))
    for fingerprint in ("bad", "beside"):
        verdict = crashes.verdict(fingerprint, "c", LATER)
        assert_that(verdict, Equals(Verdict.ISOLATED))
    record_crashes(crashes, "bad", "d", 1.0)
    blocked = crashes.block_causes(1.0 + LATER)
    assert_that([one.key for one in blocked], Equals(["bad"]))
    for fingerprint in ("beside", "beside too"):
        verdict = crashes.verdict(fingerprint, "c", 1.0 + LATER)
        assert_that(verdict, Equals(Verdict.ALLOWED))


def test_two_causes_at_the_same_servers_are_both_found(crashes):
    """Guards against one of two bad requests that is masked by the other."""
    record_crashes(crashes, "bad", "abcd")
    record_crashes(crashes, "worse", "abc")
    crashes.block_causes(LATER)
    record_crashes(crashes, "worse", "efg", 1.0)
    assert_that(crashes.verdict("worse", "c", 2.0), Equals(Verdict.BLOCKED))
    assert_that(crashes.verdict("bad", "c", 2.0), Equals(Verdict.BLOCKED))


def test_a_cause_beside_another_is_found_by_two_crashes_of_its_own(crashes):
    """Guards against a bad request that crashes three more servers.

    It was at three crashed servers together with another bad request, which
    was blocked. The crashes that this one explains counted for nothing against
    the other.
    """
    record_crashes(crashes, "bad", "abcd")
    record_crashes(crashes, "worse", "abc")
    crashes.block_causes(LATER)
    record_crashes(crashes, "worse", "e", 1.0)
    assert_that(crashes.verdict("worse", "c", 2.0), Equals(Verdict.ISOLATED))
    record_crashes(crashes, "worse", "f", 3.0)
    assert_that(crashes.verdict("worse", "c", 4.0), Equals(Verdict.BLOCKED))


def test_a_blocked_request_stays_blocked_whatever_others_meet(crashes):
    """Guards against unblocking when another request has more crashes."""
    record_crashes(crashes, "bad", "abcd")
    record_crashes(crashes, "unlucky", "abc")
    crashes.block_causes(LATER)
    record_crashes(crashes, "unlucky", "vwxyz", 1.0)
    crashes.block_causes(1.0 + LATER)
    assert_that(crashes.verdict("bad", "c", 2.0), Equals(Verdict.BLOCKED))


def test_a_successful_run_clears_a_request(crashes):
    """Guards against refusing a request that ran well despite near crashes."""
    record_crashes(crashes, "good", "ab")
    assert crashes.record_success("good", "c", 1.0)
    record_crashes(crashes, "good", "c", 2.0)
    assert_that(
        crashes.verdict("good", "c", 2.0 + LATER), Equals(Verdict.ALLOWED)
    )
    assert not crashes.record_success("never seen", "c", 3.0)


def test_another_caller_has_one_try(crashes):
    """Guards against refusing a caller for what another's request did.

    Both send the same request. For the second caller it may run well, and then
    does not clear the first; or a server crashes under it too, and then it is
    blocked for all callers.
    """
    record_crashes(crashes, "bad", "abc")
    crashes.block_causes(LATER)
    assert_that(crashes.verdict("bad", "c", 1.0), Equals(Verdict.BLOCKED))
    assert_that(crashes.verdict("bad", "d", 1.0), Equals(Verdict.ISOLATED))
    assert not crashes.record_success("bad", "d", 1.0)
    assert_that(crashes.verdict("bad", "c", 1.0), Equals(Verdict.BLOCKED))
    record_crashes(crashes, "bad", "d", 2.0, caller="d")
    assert_that(crashes.verdict("bad", "e", 3.0), Equals(Verdict.BLOCKED))


def test_a_request_is_tried_again_after_a_while(crashes):
    """Guards against refusing forever what newer servers run well."""
    record_crashes(crashes, "bad", "abc")
    crashes.block_causes(LATER)
    crashes.expire(RETENTION_SECONDS)
    assert_that(
        crashes.verdict("bad", "c", RETENTION_SECONDS), Equals(Verdict.BLOCKED)
    )
    crashes.expire(RETENTION_SECONDS + 1.0)
    assert_that(
        crashes.verdict("bad", "c", RETENTION_SECONDS + 1.0),
        Equals(Verdict.ALLOWED),
    )
    assert_that((crashes.digest, crashes.by_server), Equals((0, {})))
    assert not crashes.record_crash(
        "bad", ServerCrash("a", 0.0, "h", "c"), RETENTION_SECONDS + 1.0
    )


def test_memory_is_bounded_and_keeps_what_matters(crashes):
    """Guards against exhausted memory when hundreds of servers crash."""
    record_crashes(crashes, "bad", "abc")
    crashes.block_causes(LATER)
    for number in range(MAX_SUSPECTS * 2):
        record_crashes(crashes, f"near {number}", [f"s{number // 64}"], 1.0)
    assert_that(len(crashes.suspects), LessThan(MAX_SUSPECTS + 1))
    assert len(crashes.suspects) >= MAX_SUSPECTS * 9 // 10
    assert_that(crashes.verdict("bad", "c", 2.0), Equals(Verdict.BLOCKED))


@pytest.mark.parametrize(
    ("attempt_age", "head_received", "response_age", "early"),
    [
        (0.1, False, NOTHING, True),
        (0.2 + MAX_EXTRA_WAIT_SECONDS + 0.1, False, NOTHING, False),
        (0.2 + MAX_EXTRA_WAIT_SECONDS + 0.1, True, NOTHING, True),
        (3.0, True, 0.1, True),
        (3.0, True, EARLY_RESPONSE_SECONDS + 0.1, False),
    ],
)
def test_what_has_run_for_a_while_is_not_the_cause(
    attempt_age, head_received, response_age, early
):
    """Guards against blocking a stream whose servers were stopped midway."""
    found = may_be_cause(
        attempt_age=attempt_age,
        predicted=0.2,
        head_received=head_received,
        response_age=response_age,
    )
    assert_that(found, Equals(early))


ROWS = st.lists(
    st.tuples(
        st.sampled_from(["r1", "r2", "r3"]),
        st.sampled_from("abcdef"),
        st.sampled_from(["h1", "h2"]),
    ),
    max_size=20,
)


@given(ROWS, st.randoms(use_true_random=False))
def test_hosts_with_the_same_reports_reach_the_same_verdicts(rows, rng):
    """Guards against one host blocking a request that another allows.

    Reports of a crash arrive duplicated and in any order.
    """
    hosts = CrashTracker(), CrashTracker()
    for host in hosts:
        reports = [*rows, *rows]
        rng.shuffle(reports)
        for fingerprint, server, reporter in reports:
            crash = ServerCrash(server, 0.0, reporter, "c")
            host.merge(Suspect(fingerprint, {server: crash}), 0.0)
        host.block_causes(LATER)
    first, second = hosts
    assert_that(first.digest, Equals(second.digest))
    for fingerprint in ("r1", "r2", "r3"):
        assert_that(
            first.verdict(fingerprint, "c", LATER),
            Equals(second.verdict(fingerprint, "c", LATER)),
        )


class CrashSimulation:
    """Servers that crash under one request, and sometimes by themselves.

    Each tick some requests are at each server. All requests at a server that
    crashes become suspects, as if they had just started; an isolated request
    is sent to a server without other suspects. A request that is cut off by a
    crash is retried, with the bad one among the others, so the same few
    requests often meet.
    """

    def __init__(self, seed, count):
        self.rng = random.Random(seed)
        self.crashes = CrashTracker()
        self.count = count
        self.crash_count = 0
        self.now = 0.0
        self.sent_after_third = 0
        self.crashes_by_bad = 0
        self.retried = []
        self.refused = set()
        self.served = 0

    def tick(self, number):
        """Simulate one second."""
        self.now += 1.0
        self.crashes.block_causes(self.now)
        new = [f"good {number}-{one}" for one in range(2 * self.count)]
        requests = [*self.retried, *new, "bad"]
        self.retried = []
        at = {server: [] for server in range(self.count)}
        for request in requests:
            self.place(request, at)
        for server, here in at.items():
            self.run(server, here, self.rng.random() < 0.02)

    def place(self, request, at):
        """Send a request to a server, unless it is refused."""
        verdict = self.crashes.verdict(request, "c", self.now)
        if verdict in (Verdict.BLOCKED, Verdict.DEFERRED):
            self.refused.add(request)
            return
        servers = list(at)
        if verdict is Verdict.ISOLATED:
            servers = [one for one in at if not self.has_suspect(at[one])]
        if not servers:
            self.retried.append(request)
            return
        at[self.rng.choice(servers)].append(request)
        if request == "bad" and self.crashes_by_bad >= CRASHES_TO_BLOCK:
            self.sent_after_third += 1

    def has_suspect(self, here):
        """Whether *here* contains another request that must run isolated."""
        return any(
            self.crashes.verdict(one, "c", self.now) is Verdict.ISOLATED
            for one in here
        )

    def run(self, server, here, crashes_itself):
        """Run the requests of a server, which may crash."""
        if "bad" not in here and not crashes_itself:
            self.served += len(here)
            for request in here:
                self.crashes.record_success(request, "c", self.now)
            return
        self.crash_count += 1
        self.crashes_by_bad += "bad" in here
        for request in here:
            crash = ServerCrash(
                f"{server}/{self.crash_count}", self.now, "h", "c"
            )
            self.crashes.record_crash(request, crash, self.now)
            if request != "bad":
                self.retried.append(request)


@pytest.mark.parametrize("seed", range(40))
def test_the_cause_is_found_and_nobody_else_is_refused(seed):
    """Guards against refusing others in place of the cause.

    Six requests are at each of four servers, one of them bad; one server in
    fifty crashes by itself each second.
    """
    servers = CrashSimulation(seed, count=4)
    for number in range(40):
        servers.tick(number)
    assert_that(servers.sent_after_third, LessThan(4))
    assert_that(servers.refused, Equals({"bad"}))
