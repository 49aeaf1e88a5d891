"""Which parts of prompts are blocked after server crashes, without network."""

import itertools
import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from hyssopspring.core.hashing import digest_of
from hyssopspring.traffic.crashes import RETENTION_SECONDS, CrashTracker
from hyssopspring.traffic.crashverdicts import REPORT_DELAY_SECONDS, Verdict
from hyssopspring.traffic.promptparts import shared_parts
from hyssopspring.traffic.suspects import ServerCrash, Suspect, part_key

LATER = REPORT_DELAY_SECONDS + 0.1


class Records:
    """The tracker of one host, and a clock.

    Attributes:
        crashes: The `CrashTracker`.
        now: The time.
        count: Servers that have crashed.
    """

    def __init__(self):
        self.crashes = CrashTracker()
        self.now = 0.0
        self.count = 0

    def crash(
        self, *requests, caller="c", after=1.0, release="", together=False
    ):
        """Record the crash of a server; a request is its name and parts.

        They were sent to it after the crash before, or together with all
        others.
        """
        isolated = [
            not together
            and self.verdict(name, *parts, caller=caller, after=after)
            is Verdict.ISOLATED
            for name, *parts in requests
        ]
        self.now += after
        self.count += 1
        for (name, *parts), alone in zip(requests, isolated, strict=True):
            crash = ServerCrash(
                f"s{self.count}", self.now, "h", caller, release, alone
            )
            keys = [part_key(part) for part in parts]
            self.crashes.record_crash(name, crash, self.now, keys)
            for key in keys:
                self.crashes.record_crash(key, crash, self.now)

    def run(self, *parts, caller="c"):
        """Record a run of a request with the given parts."""
        for part in parts:
            self.crashes.record_success(part_key(part), caller, self.now)

    def ran_before(self, *parts, at=-1.0):
        """Record runs that were known before the crashes."""
        for part in parts:
            self.crashes.record_earlier_run(part_key(part), at)

    def verdict(self, name, *parts, caller="c", after=LATER):
        """Return the verdict on a request some time later."""
        now = self.now + after
        self.crashes.block_causes(now)
        callers = {part_key(part): caller for part in parts}
        return self.crashes.verdict(name, caller, now, callers)


@pytest.fixture
def records():
    """Return the `Records` of a host that has seen no server crash."""
    return Records()


def test_the_third_crash_blocks_a_part(records):
    """Guards against requests with one part that are all new."""
    for name in ("r1", "r2", "r3"):
        assert_that(records.verdict("new", "bad").value, LessThan(3))
        records.crash((name, "bad"))
    assert_that(
        records.verdict("new", "bad", after=0.1), Equals(Verdict.DEFERRED)
    )
    assert_that(records.verdict("new", "bad"), Equals(Verdict.BLOCKED))
    assert_that(records.verdict("new", "other"), Equals(Verdict.ALLOWED))


def test_requests_with_a_suspected_part_run_one_at_a_time(records):
    """Guards against several servers that crash at the same moment.

    Two requests with the part are isolated under the same key.
    """
    records.crash(("r1", "bad"))
    records.crash(("r2", "bad"))
    found = [
        records.crashes.assess(name, "c", records.now, {part_key("bad"): "c"})
        for name in ("r3", "r4")
    ]
    assert_that(
        {(one.verdict, one.key) for one in found},
        Equals({(Verdict.ISOLATED, "part:bad")}),
    )


@pytest.mark.parametrize("known", ["before", "between"])
def test_the_common_part_of_all_prompts_is_not_blocked(records, known):
    """Guards against refusing all requests for the part that they begin with.

    Other requests with the common part have run, before the crashes or
    between them.
    """
    for name in ("r1", "r2", "r3", "r4"):
        records.crash((name, "common", "bad"))
        if known == "before":
            records.ran_before("common")
        else:
            records.run("common")
    assert_that(records.verdict("new", "common"), Equals(Verdict.ALLOWED))
    assert_that(
        records.verdict("new", "common", "bad"), Equals(Verdict.BLOCKED)
    )


def test_of_two_equal_parts_a_trial_shows_which_one(records):
    """Guards against refusing a sound part that only bad requests had.

    Requests with both parts are refused meanwhile.
    """
    for name in ("r1", "r2", "r3"):
        records.crash((name, "beside", "bad"))
    assert_that(
        records.verdict("new", "beside", "bad"), Equals(Verdict.BLOCKED)
    )
    assert_that(records.verdict("new", "beside"), Equals(Verdict.ISOLATED))
    records.run("beside")
    assert_that(records.verdict("new", "beside"), Equals(Verdict.ALLOWED))
    assert_that(records.verdict("new", "bad"), Equals(Verdict.BLOCKED))


def test_a_trial_that_crashes_a_server_is_the_last(records):
    """Guards against trials of a bad part that each crash a server."""
    for name in ("r1", "r2", "r3"):
        records.crash((name, "beside", "bad"))
    records.crash(("r4", "bad"))
    assert_that(records.verdict("new", "bad"), Equals(Verdict.BLOCKED))
    assert_that(records.verdict("new", "beside"), Equals(Verdict.ALLOWED))


def test_two_bad_parts_one_after_the_other_are_both_blocked(records):
    """Guards against a second bad part that hides behind a blocked one."""
    for name in ("r1", "r2", "r3"):
        records.crash((name, "common", "bad"))
        records.run("common")
    assert_that(records.verdict("new", "bad"), Equals(Verdict.BLOCKED))
    for name in ("r4", "r5", "r6"):
        records.crash((name, "common", "worse"))
        records.run("common")
    assert_that(records.verdict("new", "worse"), Equals(Verdict.BLOCKED))
    assert_that(records.verdict("new", "common"), Equals(Verdict.ALLOWED))


def test_a_common_part_is_not_blocked_for_two_bad_ones(records):
    """Guards against refusing all requests after hosts have started anew.

    Nothing is known of runs any more. The common part was at crashes that the
    first bad part explains, and is in each prompt with the second.
    """
    for name in ("r1", "r2", "r3"):
        records.crash((name, "common", "bad"))
    records.crash(("r4", "bad"))
    assert_that(records.verdict("new", "bad"), Equals(Verdict.BLOCKED))
    for name in ("r5", "r6"):
        records.crash((name, "common", "worse"))
    assert_that(records.verdict("new", "common"), Equals(Verdict.ISOLATED))
    records.run("common")
    assert_that(records.verdict("new", "common"), Equals(Verdict.ALLOWED))


def test_two_bad_parts_of_one_prompt_are_both_blocked(records):
    """Guards against more than five crashes under the second of two parts."""
    for name in ("r1", "r2", "r3"):
        records.crash((name, "bad", "worse"))
    records.crash(("r4", "worse"))
    assert_that(records.verdict("new", "worse"), Equals(Verdict.BLOCKED))
    for name in ("r5", "r6"):
        assert records.verdict("new", "bad") is not Verdict.BLOCKED
        records.crash((name, "bad"))
    assert_that(records.verdict("new", "bad"), Equals(Verdict.BLOCKED))


def test_a_request_that_crashes_servers_itself_blocks_no_part(records):
    """Guards against refusing parts for one request that is bad as a whole.

    It is sent to three servers before another request with its part comes.
    """
    for _ in range(3):
        records.crash(("bad", "part"))
    assert_that(records.verdict("bad", "part"), Equals(Verdict.BLOCKED))
    assert records.crashes.suspects["bad"].blocked
    assert_that(records.verdict("new", "part"), Equals(Verdict.ISOLATED))
    records.run("part")
    assert_that(records.verdict("new", "part"), Equals(Verdict.ALLOWED))
    assert_that(records.verdict("bad", "part"), Equals(Verdict.BLOCKED))


def test_a_part_is_blocked_at_the_crash_of_a_second_request(records):
    """Guards against a blocked request that hides its bad part."""
    for _ in range(3):
        records.crash(("r1", "bad"))
    assert_that(records.verdict("r1", "bad"), Equals(Verdict.BLOCKED))
    records.crash(("r2", "bad"))
    assert_that(records.verdict("new", "bad"), Equals(Verdict.BLOCKED))


def test_a_request_without_parts_is_blocked_as_before(records):
    """Guards against losing the bounds of requests that have no prompt."""
    for _ in range(3):
        records.crash(("bad",))
    assert_that(records.verdict("bad"), Equals(Verdict.BLOCKED))
    assert_that(records.verdict("other"), Equals(Verdict.ALLOWED))


def test_servers_that_crash_together_blame_no_part_that_has_run(records):
    """Guards against refusing all requests after a failure of many servers."""
    for number in range(8):
        records.crash((f"r{number}", "common"), after=0.05)
        records.ran_before("common")
    assert_that(records.verdict("new", "common"), Equals(Verdict.ALLOWED))


def test_servers_that_crash_together_block_no_part_that_never_ran(records):
    """Guards against a common part that is blocked as hosts start.

    Two requests, bad as a whole, crash four servers within a moment, before
    any other request has run. The first request with the common part alone
    shows that it is sound.
    """
    for number, name in enumerate(("bad", "worse", "bad", "worse")):
        other = f"other {number}"
        records.crash(
            (name, "common"), (other, "common"), after=0.1, together=True
        )
    assert_that(records.verdict("new", "common"), Equals(Verdict.ISOLATED))
    records.run("common")
    assert_that(records.verdict("new", "common"), Equals(Verdict.ALLOWED))


def test_servers_that_crash_in_turn_blame_no_part_that_runs(records):
    """Guards against refusing all requests as servers crash by a timer."""
    for number in range(8):
        records.crash((f"r{number}", "common"), after=2.0)
        records.ran_before("common")
        assert_that(records.verdict("new", "common"), Equals(Verdict.ALLOWED))
        records.run("common")


def test_a_part_that_ran_well_once_is_blocked_all_the_same(records):
    """Guards against a part that is trusted for one run for good.

    It ran before the first crash, and crashes each server from then on.
    """
    for number in range(6):
        assert records.verdict("new", "bad") is not Verdict.BLOCKED
        records.crash((f"r{number}", "common", "bad"))
        records.ran_before("common", "bad")
        records.run("common")
    assert_that(records.verdict("new", "bad"), Equals(Verdict.BLOCKED))
    assert_that(records.verdict("new", "common"), Equals(Verdict.ALLOWED))


def test_a_caller_cannot_get_parts_of_others_blocked(records):
    """Guards against a caller that sends crashing prompts on purpose.

    Their parts are those of another workspace, and never ran. The other
    workspace has a try, which clears them for all.
    """
    for name in ("r1", "r2", "r3"):
        records.crash((name, "victim"), caller="attacker")
    assert_that(
        records.verdict("new", "victim", caller="attacker"),
        Equals(Verdict.BLOCKED),
    )
    assert_that(
        records.verdict("new", "victim", caller="owner"),
        Equals(Verdict.ISOLATED),
    )
    records.run("victim", caller="owner")
    assert_that(
        records.verdict("new", "victim", caller="owner"),
        Equals(Verdict.ALLOWED),
    )


def test_a_crash_under_a_second_caller_blocks_a_part_for_all(records):
    """Guards against three more crashes for each caller with the part."""
    for name in ("r1", "r2", "r3"):
        records.crash((name, "bad"), caller="c")
    assert_that(records.verdict("new", "bad"), Equals(Verdict.BLOCKED))
    records.crash(("r4", "bad"), caller="d")
    assert_that(
        records.verdict("new", "bad", caller="e"), Equals(Verdict.BLOCKED)
    )


def test_a_new_release_gets_one_trial(records):
    """Guards against refusing for minutes what newer servers run well.

    A crash of the newer release blocks the part again at once.
    """
    for name in ("r1", "r2", "r3"):
        records.crash((name, "bad"), release="engine/v1")
    listed = {"engine/v1", "engine/v2"}
    records.crashes.causes.listed_releases = lambda: listed
    assert_that(records.verdict("new", "bad"), Equals(Verdict.BLOCKED))
    listed.discard("engine/v1")
    assert_that(records.verdict("new", "bad"), Equals(Verdict.ISOLATED))
    records.crash(("r4", "bad"), release="engine/v2")
    assert_that(records.verdict("new", "bad"), Equals(Verdict.BLOCKED))


def test_a_service_without_servers_gives_no_trial(records):
    """Guards against a block that ends as all servers have crashed."""
    for name in ("r1", "r2", "r3"):
        records.crash((name, "bad"), release="engine/v1")
    records.crashes.causes.listed_releases = lambda: {"plain/v1"}
    assert_that(records.verdict("new", "bad"), Equals(Verdict.BLOCKED))


def test_a_part_is_forgotten_after_a_while(records):
    """Guards against records that stay for good."""
    for name in ("r1", "r2", "r3"):
        records.crash((name, "bad"))
    assert_that(records.verdict("new", "bad"), Equals(Verdict.BLOCKED))
    records.crashes.expire(records.now + RETENTION_SECONDS + 1)
    assert_that(records.crashes.suspects, Equals({}))
    assert_that(records.crashes.part_digest, Equals(0))


def test_a_report_of_a_part_brings_the_run_before_its_crashes(records):
    """Guards against a common part that is blocked on a host that starts."""
    crashes = {
        name: ServerCrash(name, 1.0, "h", "c", isolated=True)
        for name in ("s1", "s2", "s3")
    }
    reported = Suspect(part_key("common"), crashes, cleared_at=0.5)
    records.crashes.merge(reported, 1.0)
    records.now = 1.0
    assert_that(records.verdict("new", "common"), Equals(Verdict.ALLOWED))


def test_a_crash_is_known_as_isolated_whatever_report_comes_first(records):
    """Guards against hosts that differ on whether a part is blocked.

    A request that ran isolated and another one were at the same server.
    """
    for isolated in (False, True, False):
        crash = ServerCrash("s1", 1.0, "h", "c", isolated=isolated)
        records.crashes.record_crash(part_key("bad"), crash, 1.0)
    assert records.crashes.suspects[part_key("bad")].is_confirmed


@pytest.mark.parametrize(
    ("stated", "shared"),
    [
        ([("a", 1)], ()),
        ([("a", 1), ("b", 1), ("a", 1), ("c", 1)], ("a", "b")),
        ([("x" * 41, 1), ("c", 1)], (digest_of((b"x" * 41,)),)),
    ],
)
def test_what_callers_state_of_prompts_is_bounded(stated, shared):
    """Guards against records that are as long as callers want."""
    assert_that(shared_parts(stated), Equals(shared))
    many = [(f"{number}", 1) for number in range(100)]
    assert_that(len(shared_parts(many)), Equals(24))


class PartSimulation:
    """Servers of one region that crash under a part, and by themselves.

    Each tick requests of three parts arrive, of which the first is common to
    all. Some are sent to a second server after a crash.

    Args:
        seed: Seed of the random numbers.
        bad: The parts that crash servers.
        place: Index of the bad part in its prompts.
    """

    SERVERS = 4
    SOUND_PARTS = 12

    def __init__(self, seed, bad, place):
        self.rng = random.Random(seed)
        self.bad = bad
        self.place = place
        self.records = Records()
        self.numbers = itertools.count()
        self.ends = []
        self.sent = []
        self.blocked = set()

    def prompt(self, *, is_bad):
        """Return the parts of a new request."""
        parts = ["common", f"p{self.rng.randrange(self.SOUND_PARTS)}"]
        if is_bad:
            parts.insert(self.place, self.rng.choice(self.bad))
        return parts

    def tick(self):
        """Simulate half a second."""
        self.records.now += 0.5
        self.records.crashes.block_causes(self.records.now)
        kinds = [False] * 6 + [True] * self.rng.randint(0, 2)
        at = {server: [] for server in range(self.SERVERS)}
        for is_bad in kinds:
            self.place_request(self.prompt(is_bad=is_bad), at)
        for here in at.values():
            self.run_server(here)

    def place_request(self, parts, at):
        """Send a request to a server, unless it is refused."""
        name = f"r{next(self.numbers)}"
        callers = {part_key(part): name for part in parts}
        found = self.records.crashes.assess(
            name, name, self.records.now, callers
        )
        if found.verdict in (Verdict.BLOCKED, Verdict.DEFERRED):
            if found.verdict is Verdict.BLOCKED:
                self.blocked.add(tuple(parts))
            return
        busy = {row[2] for here in at.values() for row in here if row[2]}
        apart = found.key if found.verdict is Verdict.ISOLATED else ""
        free = [
            server
            for server, here in at.items()
            if not apart or not any(row[2] for row in here)
        ]
        if apart in busy or not free:
            return
        at[self.rng.choice(free)].append((name, parts, apart))

    def run_server(self, here):
        """Run the requests of one server, which may crash."""
        is_bad = any(set(parts) & set(self.bad) for _, parts, _ in here)
        if is_bad:
            self.ends.append(self.records.now)
            self.sent += [
                self.records.now
                for _, parts, _ in here
                if set(parts) & set(self.bad)
            ]
        if is_bad or self.rng.random() < 0.02:
            requests = [(name, *parts) for name, parts, _ in here]
            self.records.crash(
                *requests, after=0.0, caller=here[0][0] if here else ""
            )
            return
        for _, parts, _ in here:
            self.records.run(*parts)


@pytest.mark.parametrize("place", [0, 1, 2])
@pytest.mark.parametrize("seed", range(20))
def test_only_the_crashing_part_is_blocked(seed, place):
    """Guards against more than five crashes, and against refusing others."""
    servers = PartSimulation(seed, ["bad"], place)
    for _ in range(60):
        servers.tick()
    assert_that(len(servers.ends), LessThan(6))
    assert all("bad" in parts for parts in servers.blocked)


@pytest.mark.parametrize("seed", range(20))
def test_two_crashing_parts_are_both_blocked(seed):
    """Guards against one bad part that is masked by another."""
    servers = PartSimulation(seed, ["bad", "worse"], 1)
    for _ in range(80):
        servers.tick()
    assert_that(len(servers.ends), LessThan(11))
    assert all({"bad", "worse"} & set(parts) for parts in servers.blocked)
