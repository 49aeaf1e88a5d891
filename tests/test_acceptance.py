"""Acceptance of operators' files under races, partitions and outages."""

import os
import random
from dataclasses import dataclass, field
from types import SimpleNamespace

import hypothesis.strategies as st
from histories import check_generations
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength
from twisted.internet import task
from twisted.internet.task import Clock

from hyssopspring.config.reconciler import Reconciler
from hyssopspring.config.validation import FolderValidator, RawFile
from hyssopspring.core.accepted import (
    ACCEPTED_KEY,
    FILES_PREFIX,
    Accepted,
    GenerationKeeper,
    Verdict,
    decode_accepted,
    encode_accepted,
)
from hyssopspring.core.events import HybridClock, Timeline
from hyssopspring.core.exceptions import PlatformError
from hyssopspring.core.membership import PeerEntry, PeerTable
from hyssopspring.core.requests import Target, TargetKind
from hyssopspring.core.sentinels import NOTHING
from hyssopspring.core.trust import Trust, TrustLevel
from hyssopspring.stores.hosts import HostList, HostRow
from hyssopspring.stores.sync import ConfigSync
from hyssopspring_fakes.memory import MemoryKeyValue
from hyssopspring_fakes.stores import Store

REGIONS = ("dar", "arusha", "mwanza")
MODEL = Target(TargetKind.MODEL, "m")
LIST_LAG = 3.0
BASE = """
regions: {dar: {}, arusha: {}, mwanza: {}}
workspaces:
  w: {home: dar}
models: {m: {}}
"""
FILES = {
    "20-team.yaml": [
        "workspaces: {w: {residency: [dar, arusha]}}",
        "workspaces: {w: {residency: [dar]}}",
        "workspaces: {w: {residency: [atlantis]}}",
        "",
    ],
    "30-other.yaml": [
        "models: {m: {regions: [dar, mwanza]}}",
        "models: {n: {fallback: [m]}}",
        "models: {m: {fallback: [n]}}",
        "models: {m: [",
    ],
}


@dataclass
class GatewayState:
    """The parts of a host's state that `ConfigSync` uses."""

    clock: object
    timeline: object
    keeper: object
    trust: object


@dataclass
class Host:
    """A gateway reduced to its configuration."""

    name: str
    region: str
    client: object
    state: object
    peers: object
    config_sync: object
    cut: bool = False
    cut_at: float = 0.0
    started: int = 0
    sequence: int = 0


@dataclass
class Fleet:
    """Gateways, admin servers and the platform on a test clock."""

    clock: object = field(default_factory=Clock)
    store: object = field(default_factory=Store)
    hosts: dict = field(default_factory=dict)
    history: list = field(default_factory=list)
    admins: list = field(default_factory=list)
    time: float = 0.0
    lag: float = LIST_LAG

    def __post_init__(self):
        for region in REGIONS:
            for number in range(2):
                self.start(f"{region}-{number}", region)
        for number in range(2):
            client = MemoryKeyValue(self.store, self.clock)
            reconciler = Reconciler(
                client,
                self,
                FakeControlClient(self, NOTHING),
                self.clock,
                Timeline("admin", HybridClock(self.clock.seconds)),
                random.Random(number),
            )
            reconciler.start()
            self.admins.append(reconciler)

    def start(self, name, region):
        """Start a gateway without any state of an earlier run."""
        client = MemoryKeyValue(self.store, self.clock)
        known = self.hosts.get(name)
        boots = known.started + 1 if known else 0
        if known:
            client.cut = known.cut
            known.config_sync.stop()
        keeper = GenerationKeeper(
            lambda accepted: self.history.append(
                (
                    f"{name}#{boots}",
                    accepted.generation,
                    encode_accepted(accepted),
                )
            )
        )
        state = GatewayState(
            self.clock,
            Timeline(name, HybridClock(self.clock.seconds)),
            keeper,
            Trust(self.clock.seconds()),
        )
        peers = PeerTable(name, region)
        config_sync = ConfigSync(
            state, peers, client, FakeControlClient(self, name)
        )
        host = Host(name, region, client, state, peers, config_sync)
        host.started = boots
        if known:
            host.cut, host.cut_at = known.cut, known.cut_at
        self.hosts[name] = host
        peers.replace(
            PeerEntry(
                host=other,
                region=other.rsplit("-", 1)[0],
                data_centre=other.rsplit("-", 1)[0],
                address=other,
                forward=other,
                control=other,
            )
            for other in [f"{r}-{n}" for r in REGIONS for n in range(2)]
        )

    async def read(self):
        """Return the host list, which lags behind partitions."""
        now = self.clock.seconds()
        rows = [
            HostRow(
                name=host.name,
                kind="entry",
                region=host.region,
                data_centre=host.region,
                address=host.name,
                forward=host.name,
            )
            for host in self.hosts.values()
            if not host.cut or now - host.cut_at < self.lag
        ]
        return HostList((), tuple(rows))

    def reaches(self, one, other):
        """Return whether messages of *one* reach *other*."""
        if self.hosts[other].cut:
            return False
        return one is NOTHING or not self.hosts[one].cut

    def set_partitioned(self, name, cut):
        """Partition a gateway from everything, or end its partition."""
        host = self.hosts[name]
        if cut and not host.cut:
            host.cut_at = self.clock.seconds()
        host.cut = cut
        host.client.cut = cut

    def advance(self, seconds):
        """Advance the clock and run the periodic work of all hosts."""
        for _ in range(round(seconds / 0.05)):
            for _ in range(10):
                self.clock.advance(0.005)
            self.time += 0.05
            if round(self.time / 0.05) % 10 == 0:
                for host in list(self.hosts.values()):
                    self.tick(host)
            if round(self.time / 0.05) % 40 == 0:
                for admin in self.admins:
                    admin.schedule()
            self.check_rights()

    def tick(self, host):
        """Run the periodic work of one host, including heartbeats."""
        now = self.clock.seconds()
        trust = host.state.trust
        trust.record_wakeup(now)
        if not host.cut and not self.store.faults.down:
            trust.record_platform_reply(now, now)
        for other in self.hosts.values():
            if other is host or not self.reaches(other.name, host.name):
                continue
            self.deliver_message(host, other, now)
        host.config_sync.tick()
        trust.neighbours = lambda at: host.peers.neighbours_up_to_date(
            at, host.state.keeper.generation
        )

    def deliver_message(self, host, other, now):
        """Deliver a message of *other* to *host*."""
        generation = other.state.keeper.generation
        host.sequence += 1
        host.peers.apply_message(
            SimpleNamespace(
                host=other.name,
                incarnation="i",
                sequence=host.sequence,
                generation=generation,
                leaving=False,
            ),
            now,
        )
        if generation > host.state.keeper.generation:
            host.config_sync.on_newer_generation(other.name, generation)
            return
        contact = other.state.trust.in_contact(now)
        if contact and other.region == host.region:
            host.state.trust.record_neighbour_contact(now)

    def check_rights(self):
        """Assert that no gateway uses a withdrawn right.

        A right is withdrawn if the accepted configuration does not grant
        it and no proposal is pending.
        """
        known = self.store.current(ACCEPTED_KEY)
        if known is None:
            return
        truth = decode_accepted(known[0])
        if truth.proposal is not None:
            return
        allowed = truth.configuration.permitted("w", MODEL)
        now = self.clock.seconds()
        for host in self.hosts.values():
            enforced = host.state.keeper.enforced
            used = host.state.trust.permitted(
                enforced.permitted("w", MODEL), "dar", host.region, now
            )
            bad = used and host.region in used and host.region not in allowed
            assert not bad, f"{host.name} uses a withdrawn right"

    def put(self, name, text):
        """Write a file as an operator does."""
        key = FILES_PREFIX + name
        known = self.store.current(key)
        data = None if text is None else text.encode()
        if known or data is not None:
            revision = known[1] if known else 0
            self.store.compare_and_swap(key, data, revision)

    def truth(self):
        """Return the accepted configuration in the store."""
        return decode_accepted(self.store.current(ACCEPTED_KEY)[0])

    def clear_faults(self):
        """End all faults."""
        faults = self.store.faults
        faults.down = False
        faults.stale = faults.lose_answers = faults.lose_requests = 0
        for host in self.hosts.values():
            host.client.cut = host.cut = False


class FakeControlClient:
    """Control client of one host, which reads from the fleet directly."""

    def __init__(self, fleet, me):
        self.fleet = fleet
        self.me = me

    async def config(self, address):
        """Return another host's configuration, or `NOTHING`."""
        await task.deferLater(self.fleet.clock, 0.01)
        if not self.fleet.reaches(self.me, address):
            return NOTHING
        return self.fleet.hosts[address].state.keeper.accepted

    async def status(self, address):
        """Return another host's generation, or `NOTHING`."""
        await task.deferLater(self.fleet.clock, 0.01)
        if not self.fleet.reaches(self.me, address):
            return NOTHING
        return self.fleet.hosts[address].state.keeper


class AcceptanceMachine(RuleBasedStateMachine):
    """Applies random edits and faults; checks rights and history."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet()
        self.fleet.put("10-base.yaml", BASE)
        self.fleet.advance(5)

    @rule(data=st.data(), name=st.sampled_from(sorted(FILES)))
    def edit(self, data, name):
        """Write a file."""
        self.fleet.put(name, data.draw(st.sampled_from(FILES[name])))

    @rule(name=st.sampled_from(sorted(FILES)))
    def remove(self, name):
        """Remove a file."""
        self.fleet.put(name, None)

    @rule(seconds=st.sampled_from([0.05, 0.5, 2.0, 4.0]))
    def advance(self, seconds):
        """Advance the clock."""
        self.fleet.advance(seconds)

    @rule(name=st.sampled_from([f"{r}-{n}" for r in REGIONS for n in (0, 1)]))
    def cut(self, name):
        """Partition a gateway from everything."""
        self.fleet.set_partitioned(name, True)

    @rule(region=st.sampled_from(REGIONS))
    def cut_data_centre(self, region):
        """Partition both gateways of a data centre."""
        for number in range(2):
            self.fleet.set_partitioned(f"{region}-{number}", True)

    @rule(name=st.sampled_from([f"{r}-{n}" for r in REGIONS for n in (0, 1)]))
    def mend(self, name):
        """End the partition of a gateway."""
        self.fleet.set_partitioned(name, False)

    @rule(name=st.sampled_from([f"{r}-{n}" for r in REGIONS for n in (0, 1)]))
    def restart(self, name):
        """Replace a gateway."""
        self.fleet.start(name, name.rsplit("-", 1)[0])

    @rule(
        stale=st.integers(0, 3),
        down=st.booleans(),
        answers=st.integers(0, 2),
        requests=st.integers(0, 2),
    )
    def disturb(self, stale, down, answers, requests):
        """Set the platform's faults."""
        faults = self.fleet.store.faults
        faults.stale = stale
        faults.down = down
        faults.lose_answers = answers
        faults.lose_requests = requests

    @invariant()
    def generations_only_grow(self):
        """Generations never decrease, and all hosts agree on each of them."""
        assert check_generations(self.fleet.history) == []

    def teardown(self):
        """Assert that files are validated on all hosts after the faults."""
        self.fleet.clear_faults()
        self.fleet.advance(25)
        truth = self.fleet.truth()
        assert truth.proposal is None
        for entry_key, (content, revision) in self.fleet.store.entries.items():
            if not entry_key.startswith(FILES_PREFIX):
                continue
            state = truth.files[entry_key[len(FILES_PREFIX) :]]
            assert state.revision == revision
            if state.verdict is Verdict.ACCEPTED:
                assert state.content == content.decode()
        for host in self.fleet.hosts.values():
            assert host.state.keeper.generation == truth.generation


def test_random_edits_and_faults_keep_rights_and_generations():
    """Withdrawn rights stay unused and hosts agree under random faults.

    Guards against data being served in a region that a file has excluded,
    because a host acts on an outdated generation. Operators edit files
    concurrently, hosts are partitioned or replaced, and the responses of
    the platform are late, stale or missing.
    """
    examples = int(os.environ.get("HYSSOP_SOAK_EXAMPLES", "25"))
    run_state_machine_as_test(
        AcceptanceMachine,
        settings=settings(
            max_examples=examples, stateful_step_count=15, deadline=None
        ),
    )


def validate_in_order(*files):
    """Return the `Accepted` after files are written one after the other."""
    accepted = Accepted()
    folder = {}
    for revision, (name, text) in enumerate(files, 1):
        folder[name] = RawFile(text, revision)
        outcome = FolderValidator(accepted).validate(folder, revision)
        accepted = outcome.accepted
    return accepted


def test_strictest_safety_field_wins_whatever_the_order():
    """The strictest value applies, independent of the order of the files."""
    strict = "workspaces: {w: {residency: [dar], attempts: 1}}"
    loose = "workspaces: {w: {residency: [dar, arusha], attempts: 3}}"
    for names in (("20-a.yaml", "30-b.yaml"), ("30-b.yaml", "20-a.yaml")):
        folder = {
            "10-base.yaml": RawFile(BASE, 1),
            names[0]: RawFile(strict, 2),
            names[1]: RawFile(loose, 3),
        }
        accepted = FolderValidator(Accepted()).validate(folder, 3).accepted
        workspace = accepted.configuration.workspaces["w"]
        assert_that(workspace.residency, Equals(frozenset({"dar"})))
        assert_that(workspace.attempts, Equals(1))


def test_refusal_keeps_the_last_accepted_content():
    """An invalid revision is refused and the accepted content stays."""
    accepted = validate_in_order(
        ("10-base.yaml", BASE),
        ("20-team.yaml", "workspaces: {w: {deadline_ms: 5000}}"),
        ("20-team.yaml", "workspaces:\n  w: {deadline_ms: soon}"),
    )
    state = accepted.files["20-team.yaml"]
    assert_that(state.verdict, Equals(Verdict.REFUSED))
    assert_that(state.line, Equals(2))
    assert_that(state.reason, Contains("deadline_ms"))
    workspace = accepted.configuration.workspaces["w"]
    assert_that(workspace.deadline_ms, Equals(5000))


def test_removal_that_breaks_another_file_is_refused():
    """The removal of a file that another file depends on is refused."""
    accepted = validate_in_order(
        ("10-base.yaml", BASE),
        ("20-team.yaml", "models: {n: {fallback: [m]}}"),
    )
    folder = {"20-team.yaml": RawFile("models: {n: {fallback: [m]}}", 2)}
    outcome = FolderValidator(accepted).validate(folder, 3)
    state = outcome.file_states["10-base.yaml"]
    assert_that(state.verdict, Equals(Verdict.REFUSED))
    assert_that(outcome.accepted.configuration.models, HasLength(2))


def test_two_files_that_need_each_other_are_accepted_together():
    """Files that are written concurrently may refer to each other."""
    folder = {
        "10-base.yaml": RawFile(BASE, 1),
        "20-a.yaml": RawFile("models: {a: {fallback: [b]}}", 2),
        "30-b.yaml": RawFile("models: {b: {}}", 3),
    }
    accepted = FolderValidator(Accepted()).validate(folder, 3).accepted
    verdicts = {state.verdict for state in accepted.files.values()}
    assert_that(verdicts, Equals({Verdict.ACCEPTED}))


def test_older_reading_of_the_folder_is_not_proposed():
    """A stale read of the folder does not restore old contents.

    Guards against a removed file coming back into force: one admin server
    reads the folder from a lagging replica after another one has accepted
    the removal.
    """
    accepted = validate_in_order(
        ("10-base.yaml", BASE), ("20-team.yaml", "models: {n: {}}")
    )
    old = {"10-base.yaml": RawFile(BASE, 1)}
    outcome = FolderValidator(accepted).validate(old, 1)
    assert_that(outcome.accepted, Equals(NOTHING))


def test_restriction_is_refused_while_a_data_centre_is_cut_off():
    """A restriction is refused while a partitioned region cannot confirm.

    Guards against the partitioned region using a right that is reported
    as withdrawn: the host list has dropped the region, so a check of only
    the listed hosts would not ask any host there.
    """
    fleet = Fleet()
    fleet.put("10-base.yaml", BASE)
    fleet.advance(5)
    for number in range(2):
        fleet.set_partitioned(f"arusha-{number}", True)
    fleet.advance(5)
    fleet.put("20-team.yaml", "workspaces: {w: {residency: [dar]}}")
    fleet.advance(8)
    state = fleet.truth().files["20-team.yaml"]
    assert_that(state.verdict, Equals(Verdict.REFUSED))
    assert_that(state.reason, Contains("data centre arusha"))


def test_change_is_in_force_everywhere_within_four_seconds():
    """Both a plain change and a restriction are in force within 4 s."""
    for text in ("models: {n: {}}", "workspaces: {w: {residency: [dar]}}"):
        fleet = Fleet()
        fleet.put("10-base.yaml", BASE)
        fleet.advance(5)
        fleet.put("20-team.yaml", text)
        fleet.advance(3.95)
        truth = fleet.truth()
        state = truth.files["20-team.yaml"]
        assert_that(state.verdict, Equals(Verdict.ACCEPTED))
        for host in fleet.hosts.values():
            assert host.state.keeper.generation == truth.generation


class DeadWatch:
    """A watch with an open connection that delivers no events."""

    def stop(self):
        """Do nothing."""


def test_a_change_is_in_force_in_time_although_watches_are_dead():
    """A change is in force in time although no watch delivers events.

    Guards against hosts that use an old configuration for as long as a
    watch is dead. The change is made right after the hosts have read the
    store.
    """
    fleet = Fleet()
    fleet.put("10-base.yaml", BASE)
    fleet.advance(5)
    for host in fleet.hosts.values():
        if host.config_sync.watch is not NOTHING:
            host.config_sync.stop()
            host.config_sync.watch = DeadWatch()
        host.config_sync.next_read_at = 0.0
    fleet.advance(1.1)
    fleet.put("20-team.yaml", "models: {n: {}}")
    fleet.advance(3.95)
    truth = fleet.truth()
    for host in fleet.hosts.values():
        assert_that(host.state.keeper.generation, Equals(truth.generation))


def test_cut_off_host_is_fenced_before_a_restriction_is_in_force():
    """An unlisted host stops using the right before it is withdrawn.

    Guards against data being served in an excluded region: one host loses
    all its links, the host list drops it, and the restriction comes into
    force without it while it still serves callers that can reach it.
    """
    cases = [(0.0, 0.5), (0.0, 1.5), (3.0, 2.5), (3.0, 3.5)]
    for lag, before in cases:
        fleet = Fleet(lag=lag)
        fleet.put("10-base.yaml", BASE)
        fleet.advance(5)
        fleet.set_partitioned("arusha-1", True)
        fleet.advance(before)
        fleet.put("20-team.yaml", "workspaces: {w: {residency: [dar]}}")
        fleet.advance(10)
        fleet.set_partitioned("arusha-1", False)
        fleet.advance(5)
        truth = fleet.truth()
        assert fleet.hosts["arusha-1"].state.keeper.accepted == truth
    assert truth.files["20-team.yaml"].verdict is Verdict.ACCEPTED


def test_partitioned_hosts_do_not_extend_each_others_trust():
    """Messages of an outdated host do not prove contact with the platform.

    Guards against data being served in an excluded region: two hosts of
    two regions lose the platform and their neighbours but not each other,
    the restriction comes into force without them, and each treats the
    outdated messages of the other one as contact.
    """
    fleet = Fleet(lag=0.0)
    fleet.put("10-base.yaml", BASE)
    fleet.advance(5)
    reaches = fleet.reaches
    together = {"dar-0", "mwanza-0"}
    for name in together:
        fleet.set_partitioned(name, True)
    fleet.reaches = lambda one, other: (
        {one, other} <= together or reaches(one, other)
    )
    fleet.put("20-team.yaml", "workspaces: {w: {residency: [dar, arusha]}}")
    fleet.advance(12)
    assert fleet.truth().files["20-team.yaml"].verdict is Verdict.ACCEPTED


def test_host_list_alone_does_not_restore_rights():
    """A host reads the configuration after a partition before using rights.

    Guards against data being served in an excluded region: the links of
    the host recover, it reads the host list and treats that as contact,
    and its configuration is still the one from before the partition.
    """
    fleet = Fleet(lag=0.0)
    fleet.put("10-base.yaml", BASE)
    fleet.advance(5)
    fleet.set_partitioned("arusha-1", True)
    fleet.advance(4)
    fleet.put("20-team.yaml", "workspaces: {w: {residency: [dar]}}")
    fleet.advance(6)
    host = fleet.hosts["arusha-1"]
    now = fleet.clock.seconds()
    host.state.trust.record_platform_reply(now, now)
    fleet.check_rights()
    fleet.set_partitioned("arusha-1", False)
    fleet.store.faults.stale = 3
    fleet.advance(6)
    assert_that(host.state.keeper.generation, Equals(fleet.truth().generation))


def levels(fleet):
    """Return the trust level of each host."""
    now = fleet.clock.seconds()
    return {
        name: host.state.trust.level(now) for name, host in fleet.hosts.items()
    }


def test_outage_of_the_platform_leaves_all_rights_in_use():
    """An outage of the platform has no effect while neighbours are in contact.

    Guards against requests of a full region being refused during an
    outage although other regions have capacity, because hosts give up
    their rights when they lose the platform. A host that also loses a
    neighbour serves only the workspaces at home in its region, because
    that neighbour may have received a restriction.
    """
    fleet = Fleet()
    fleet.put("10-base.yaml", BASE)
    fleet.advance(5)
    fleet.store.faults.down = True
    fleet.read = unreadable
    fleet.advance(30)
    assert_that(set(levels(fleet).values()), Equals({TrustLevel.FULL}))
    fleet.set_partitioned("arusha-1", True)
    fleet.advance(3)
    found = levels(fleet)
    assert_that(found["arusha-0"], Equals(TrustLevel.HOME_ONLY))
    assert_that(found["dar-0"], Equals(TrustLevel.FULL))


async def unreadable():
    """Fail like a host list that does not respond."""
    raise PlatformError("no answer")


def test_new_host_rejects_a_stale_configuration():
    """A host that starts while the service lags gets the newest generation.

    Guards against data being served in an excluded region: the host list
    shows a new host, the key-value service returns the configuration from
    before the restriction, and the peers of the host cannot be reached.
    """
    fleet = Fleet()
    fleet.put("10-base.yaml", BASE)
    fleet.advance(5)
    fleet.put("20-team.yaml", "workspaces: {w: {residency: [dar]}}")
    fleet.advance(5)
    fleet.store.faults.stale = 2
    fleet.reaches = lambda one, other: False
    fleet.start("arusha-1", "arusha")
    fleet.advance(2)
    host = fleet.hosts["arusha-1"]
    assert_that(host.state.keeper.generation, Equals(fleet.truth().generation))


def test_older_configuration_is_never_taken_back():
    """A host ignores all generations that are not newer than its own."""
    keeper = GenerationKeeper()
    assert keeper.offer(Accepted(generation=3))
    assert not keeper.offer(Accepted(generation=2))
    assert not keeper.offer(Accepted(generation=3))
    assert_that(keeper.generation, Equals(3))


def test_resumed_host_uses_home_rights_only_until_it_is_verified():
    """A suspended host serves only its home workspaces after it resumes.

    Guards against data being served in an excluded region: the host was
    suspended while the restriction came into force without it, resumes,
    and serves the first request before it receives any message.
    """
    trust = Trust(0.0)
    everywhere = frozenset(REGIONS)
    trust.record_platform_reply(1.0, 1.0)
    trust.record_wakeup(1.0)
    assert trust.permitted(everywhere, "dar", "arusha", 1.1) == everywhere
    assert trust.permitted(everywhere, "dar", "arusha", 9.0) is NOTHING
    trust.record_platform_reply(9.1, 9.1, verified=True)
    trust.record_verification(1.0)
    assert trust.permitted(everywhere, "dar", "arusha", 9.2) is NOTHING
    assert trust.permitted(everywhere, "arusha", "arusha", 9.2) == {"arusha"}
    trust.record_verification(9.1)
    assert trust.permitted(everywhere, "dar", "arusha", 9.3) == everywhere
