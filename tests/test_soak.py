"""The soak's plan and checks: histories that must fail, and one that holds."""

import math
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from types import SimpleNamespace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from twisted.internet import defer, task
from twisted.internet.testing import StringTransport

from hyssopspring_fakes.soakcallers import RawConnection
from hyssopspring_fakes.soakchecks import (
    Bounds,
    History,
    Probe,
    Seen,
    Target,
    check_history,
    service_of,
)
from hyssopspring_fakes.soakfleet import (
    REGIONS,
    SETTINGS,
    HostProcess,
    SoakFleet,
)
from hyssopspring_fakes.soakparts import (
    PartHistory,
    PromptSeen,
    check_parts,
)
from hyssopspring_fakes.soakpauses import Paused, check_pauses
from hyssopspring_fakes.soakplan import STOPS, Fault, draw_plan
from hyssopspring_fakes.soakstops import Asked, Life, check_stops
from hyssopspring_fakes.soakstreams import Resumption, Stream, check_streams

SHORT_SEED, SHORT_SECONDS = 642, 24.0
"""Run of CI, in which hosts are stopped in all ways."""


@pytest.fixture
def history():
    """Return a history of two versions, acknowledged at 0 and 10 s."""
    made = History()
    made.acknowledged = [0.0, 10.0]
    return made


def add(history, sent, status=200, **changes):
    """Add a request for the moved route of version 1 to a history."""
    values = {
        "id": f"r{len(history.probes)}",
        "host": "north-0",
        "life": 1,
        "target": Target("moved"),
        "sent": sent,
        "ended": sent + 0.01,
        "status": status,
        "service": service_of(1),
        **changes,
    }
    history.probes.append(Probe(**values))


def rules(history):
    """Return the rules that a history breaks."""
    return [one.rule for one in check_history(history)]


def test_a_history_that_keeps_all_promises_passes(history):
    """Guards against a check that finds what is allowed."""
    add(history, 9.0)
    add(history, 13.9)
    add(history, 14.1, service=service_of(2))
    add(history, 14.2, 404, target=Target("added", 3))
    add(history, 14.3, 503)
    assert_that(rules(history), Equals([]))


def test_an_old_version_after_its_time_is_found(history):
    """Guards against a soak that is blind to a stale configuration."""
    add(history, 14.1)
    assert_that(rules(history), Equals(["CONFIG"]))


def test_a_denied_route_is_found(history):
    """Guards against a soak that takes a wrong 404 for an answer."""
    add(history, 14.1, 404, target=Target("added", 2), service="")
    assert_that(rules(history), Equals(["DENIED"]))


def test_a_host_out_of_touch_is_not_judged_for_time(history):
    """Guards against findings of what no host can know."""
    history.disturb("north-0", 7.0, 8.2)
    add(history, 14.1)
    assert_that(rules(history), Equals([]))
    add(history, 14.3)
    assert_that(rules(history), Equals(["CONFIG"]))


def test_a_host_out_of_touch_may_not_deny_what_is_there(history):
    """Guards against a soak that excuses a 404 by a cut."""
    history.disturb("north-0", 7.0, 30.0)
    add(history, 14.3, 404, target=Target("added", 2), service="")
    assert_that(rules(history), Equals(["DENIED"]))


def test_a_version_that_comes_back_older_is_found(history):
    """Guards against a soak that is blind to a version that goes back."""
    add(history, 10.1, service=service_of(2))
    add(history, 10.2)
    assert_that(rules(history), Equals([]))
    add(history, 10.5)
    assert_that(rules(history), Equals(["BACK"]))


def test_a_new_process_may_begin_with_any_version_in_force(history):
    """Guards against a promise of one life held against the next."""
    add(history, 10.1, service=service_of(2))
    add(history, 10.5, life=2)
    assert_that(rules(history), Equals([]))


def test_an_answer_that_is_not_whole_is_found(history):
    """Guards against a soak that is blind to mixed answers."""
    add(history, 9.0, whole=False)
    assert_that(rules(history), Equals(["MIXED"]))


def test_a_refusal_of_what_ran_is_found(history):
    """Guards against a soak that is blind to a false "not run"."""
    add(history, 9.0, 503)
    history.ran.append(Seen("r0", service_of(1)))
    assert_that(rules(history), Equals(["REFUSED"]))


def test_an_answer_that_planned_work_has_cut_is_found(history):
    """Guards against a soak that excuses a cut answer by a restart."""
    history.ran.append(Seen("r0", service_of(1)))
    history.disturb("north-0", 8.0, 9.5, planned=True)
    add(history, 9.0, 0)
    assert_that(rules(history), Equals(["LOST"]))
    history.disturb("north-0", 8.0, 9.5)
    assert_that(rules(history), Equals([]))


def test_a_host_that_serves_nobody_is_found(history):
    """Guards against promises kept by refusing everything."""
    for number in range(40):
        add(history, 1.0 + number / 10, 503)
    assert_that(rules(history), Equals(["SERVED"]))


def parts_history(late, host="north-0"):
    """Return a history of five crashes by one part, and what came later."""
    made = PartHistory()
    made.crashes["bad"] = [0.0, 0.1, 0.2, 0.3, 0.4]
    made.seen = [
        PromptSeen(2.5 + number / 10, host, ("common", "bad"))
        for number in range(late)
    ]
    return made


def test_a_part_that_goes_on_to_crash_servers_is_found(history):
    """Guards against a soak that is blind to a part that is not blocked."""
    for late, expected in ((3, []), (4, ["BUDGET"])):
        found = check_parts(parts_history(late), history)
        assert_that([one.rule for one in found], Equals(expected))
    history.disturb("north-0", 1.0, 2.4)
    assert_that(check_parts(parts_history(4), history), Equals([]))


def test_sound_prompts_that_are_refused_are_found(history):
    """Guards against a bound that is kept by refusing everything."""
    parts = parts_history(0)
    parts.sound = [(13.0 + one / 10, "north-0", 503) for one in range(20)]
    found = check_parts(parts, history)
    assert_that([one.rule for one in found], Equals(["LOST"]))


def stream_rules(history, versions=("v1",), went_on=0, tries=12, **changes):
    """Return the rules that streams break: new ones, and one per try."""
    opened = [Resumption("north-0", 5.0, True, False)] * 12
    made = [Stream(opened=opened)]
    for number in range(tries):
        is_on = number < went_on
        values = {"sent": 9.0, "servers": 2, **changes}
        one = Resumption("north-0", went_on=is_on, refused=not is_on, **values)
        events = [(at, versions[at % len(versions)]) for at in range(4)]
        made.append(Stream("r0", events, began=5.0, resumed=[one]))
    found = check_streams(made, history, Bounds().stable)
    return sorted({one.rule for one in found})


@pytest.mark.parametrize(
    ("rules", "case"),
    [
        ([], {"went_on": 6}),
        (["LOST"], {"went_on": 5}),
        ([], {"went_on": 5, "tries": 11}),
        ([], {"went_on": 5, "servers": 1}),
        (["VERSIONS"], {"went_on": 6, "versions": ("v1", "v2")}),
        (["VERSIONS"], {"tries": 1, "versions": ("v1", "v2")}),
    ],
)
@pytest.mark.parametrize("kills", [0, 1, 2])
def test_streams_lost_or_mixed_by_a_kill_are_found(
    history, kills, rules, case
):
    """Guards against a soak that excuses streams by a kill of all hosts."""
    for number in range(kills):
        start = 6.0 + number
        history.disturb("north-0", start, start + 0.5, kills_all=True)
    assert_that(stream_rules(history, **case), Equals(rules))


def test_streams_after_a_kill_are_judged_by_themselves(history):
    """Guards against losses at a kill that many calm tries outweigh."""
    history.disturb("north-0", 6.0, 7.0, kills_all=True)
    calm = Resumption("north-0", 5.5, True, False, 2)
    lost = Resumption("north-0", 9.0, False, True, 2)
    made = Stream("r0", [(0, "v1")], began=5.0, opened=[calm])
    made.resumed = [calm] * 50 + [lost] * 12
    found = check_streams([made], history, Bounds().stable)
    assert_that([one.rule for one in found], Equals(["LOST"]))


def stop_rules(status=0, whole=False, ran=(), life=None, **asked):
    """Return the rules that one request breaks; the stop begins at 10 s."""
    made = Life(
        "north-0", 1, **{"stopped": 10.0, "ended": 14.0, **(life or {})}
    )
    values = {"sent": 13.0, "ended": 14.0, **asked}
    one = Asked(
        "fresh", "r0", "/x", made, status=status, whole=whole, **values
    )
    return [found.rule for found in check_stops([made], [one], ran, 5.0)]


ON = {"stopped": math.inf, "ended": math.inf}
OK = {"status": 200, "whole": True}


@pytest.mark.parametrize(
    ("rule", "case"),
    [
        ("NO-RESPONSE", {}),
        ("NO-RESPONSE", {"sent": 13.8}),
        ("NO-RESPONSE", {"ended": 13.01}),
        ("NO-RESPONSE", {"life": {"killed": 13.9}, "ended": 13.5}),
        ("NO-RESPONSE", {"life": {"suspensions": [[13.2, 13.9]]}}),
        ("NO-RESPONSE", {"life": ON, "ended": math.inf}),
        ("NO-RESPONSE", {"life": ON}),
        ("CUT", {"status": 200}),
        ("CUT", {"status": 200, "after_close": True}),
        ("CUT", {"status": 200, "ended": 14.9, "life": {"noticed": 14.4}}),
        ("CUT", {"status": 200, "life": ON, "ended": math.inf}),
        ("REFUSED", {"status": 503, "whole": True, "ran": {"r0"}}),
        ("REFUSED", {"status": 429, "whole": True, "ran": {"r0"}}),
        ("LOST", {"after_close": True, "ran": {"r0"}}),
        ("ENDED-LATE", {**OK, "life": {"ended": 15.6}}),
        (
            "ENDED-LATE",
            {**OK, "life": {"ended": 16.7, "suspensions": [[14.0, 16.0]]}},
        ),
        ("", {**OK, "ran": {"r0"}}),
        ("", {"status": 503, "whole": True}),
        ("", {"sent": 13.95}),
        ("", {"sent": math.inf}),
        ("", {"life": {"killed": 13.9, "ended": 13.9}}),
        ("", {"life": {"suspensions": [[12.5, 13.5]]}}),
        ("", {"life": {"suspensions": [[13.05, 13.5]]}}),
        (
            "",
            {
                "life": {"ended": 16.4, "suspensions": [[14.0, 16.0]]},
                "ended": 16.1,
            },
        ),
        ("", {"after_close": True}),
        ("", {"status": 200, "ended": 14.6, "life": {"ended": 14.6}}),
        ("", {"status": 200, "ended": 14.9, "life": {"ended": 14.3}}),
        ("", {**OK, "life": {"ended": 15.4}}),
    ],
)
def test_what_a_stop_may_not_do_is_found(rule, case):
    """Guards against a soak that is blind, or finds what no host can help."""
    assert_that(stop_rules(**case), Equals([rule] if rule else []))


SUSPENDED = {"suspensions": [[13.5, 13.6]]}
KILLED = {"killed": 13.5, "ended": 13.5}


@pytest.mark.parametrize(
    ("rule", "status", "case"),
    [
        ("NO-BYTE", 0, {}),
        ("NO-BYTE", 0, {"service": "endless"}),
        ("NO-BYTE", 0, {"carrier": KILLED}),
        ("REFUSED", 503, {"whole": True}),
        ("GIVEN-UP", 200, {}),
        ("GIVEN-UP", 502, {"whole": True}),
        ("GIVEN-UP", 200, {"life": {"stopped": 13.5, "ended": 18.0}}),
        ("", 200, {"whole": True}),
        ("", 503, {"whole": True, "ran": set()}),
        ("", 0, {"life": KILLED}),
        ("", 200, {"life": SUSPENDED}),
        ("", 200, {"carrier": SUSPENDED}),
        ("", 200, {"carrier": KILLED}),
        ("", 200, {"service": "endless"}),
        ("GIVEN-UP", 200, {"life": {"stopped": 9.9, "ended": 15.0}}),
        ("", 200, {"life": {"stopped": 10.1, "ended": 15.0}, "ended": 14.4}),
        ("GIVEN-UP", 200, {"life": {"stopped": 10.1}, "ended": 14.2}),
        ("", 200, {"ended": 18.0}),
    ],
)
def test_requests_given_up_at_paused_servers_are_found(rule, status, case):
    """Guards against a soak that is blind to work that is thrown away."""
    lives = [
        Life(name, 1, **case.get(key, {}))
        for name, key in (("north-0", "life"), ("south-0", "carrier"))
    ]
    service = case.get("service", "pausing")
    asked = Asked(service, "r0", "/x", lives[0], 13.0, case.get("ended", 14.0))
    asked.status, asked.whole = status, case.get("whole", False)
    one = Paused(asked, status, lives[1:])
    found = check_pauses([one], case.get("ran", {"r0"}), 5.0)
    assert_that([v.rule for v in found], Equals([rule] if rule else []))


def test_a_further_stop_signal_allows_no_more_time():
    """Guards against a stop that is measured from its last signal."""
    life = Life("north-0", 1)
    for number, now in (
        (signal.SIGINT, 10.0),
        (signal.SIGSTOP, 11.0),
        (signal.SIGCONT, 12.0),
        (signal.SIGTERM, 13.0),
    ):
        life.note_signal(number, now)
    assert_that(
        (life.stopped, life.suspensions), Equals((10.0, [[11.0, 12.0]]))
    )


def test_a_plain_connection_tells_what_became_of_each_request():
    """Guards against a response that is taken for another, or for whole."""
    connection = RawConnection(task.Clock(), Life("north-0", 1))
    connection.makeConnection(StringTransport())
    asked = [Asked("kept", f"r{n}", "/moved/x", None) for n in range(3)]
    for one in asked:
        connection.expect(one)
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Request-Attempt-Id: "
    connection.dataReceived(head + b"r0\r\n\r\nbody" + head)
    connection.dataReceived(b"r1\r\nConnection: close\r\n\r\nbo")
    connection.connectionLost(None)
    assert_that(
        [(one.status, one.whole, one.after_close) for one in asked],
        Equals([(200, True, False), (200, False, False), (0, False, True)]),
    )


@pytest.mark.parametrize("closed", [False, True])
def test_a_request_after_the_end_of_its_connection_is_not_sent(closed):
    """Guards against a verdict on a request that no host could read.

    The driver is late: the host has closed the connection, and the driver has
    not noticed.
    """
    near, far = socket.socketpair()
    if closed:
        far.close()
    connection = RawConnection(task.Clock(), Life("north-0", 1))
    connection.makeConnection(
        SimpleNamespace(
            getHandle=lambda: near, writeSomeData=lambda data: near.send(data)
        )
    )
    asked = Asked("fresh", "r0", "/x", connection.life)
    connection.expect(asked)
    connection.send(b"GET / HTTP/1.1\r\n\r\n", [asked])
    assert_that(
        (asked.sent == math.inf, asked.after_end), Equals((closed, closed))
    )
    near.close()
    far.close()


def test_the_short_soak_stops_hosts_in_all_ways():
    """Guards against a run of CI that draws some stops never."""
    hosts = [f"{region}-{n}" for n in range(2) for region in REGIONS]
    steps = draw_plan(SHORT_SEED, SHORT_SECONDS, hosts)
    assert {step.fault for step in steps} >= STOPS
    struck = [s.hosts for s in steps if s.fault is Fault.STOP_REGION]
    assert all(len({h[:-2] for h in hosts}) == 1 for hosts in struck)


def test_a_plan_is_the_same_for_the_same_seed():
    """Guards against a finding that its seed does not show again."""
    hosts = ("a", "b", "c")
    first = draw_plan(7, 60.0, hosts)
    assert_that(draw_plan(7, 60.0, hosts), Equals(first))
    assert {step.fault for step in first} > {Fault.KILL, Fault.CUT}
    overlaps = [
        one
        for one, after in zip(first, first[1:], strict=False)
        if one.at + one.seconds > after.at
    ]
    assert overlaps, "faults must overlap"


def test_a_plan_kills_all_hosts_up_to_twice():
    """Guards against kills of all hosts that no run plays, or all play."""
    hosts, counts = ("a-0", "b-0", "c-0"), set()
    rest = tuple(one for one in Fault if one is not Fault.KILL_ALL)
    for seed in (*range(20), SHORT_SEED):
        steps = draw_plan(seed, 12.0, hosts)
        kills = [one for one in steps if one.fault is Fault.KILL_ALL]
        others = [one for one in steps if one not in kills]
        assert_that(draw_plan(seed, 12.0, hosts, rest), Equals(others))
        assert all(one.hosts == hosts for one in kills)
        for one, after in zip(kills, kills[1:], strict=False):
            assert 0.3 <= one.seconds < after.at - one.at
        counts.add(len(kills))
    assert_that(counts, Equals({0, 1, 2}))
    assert kills, "the run of CI has none"


def test_a_short_soak_breaks_no_promise(tmp_path):
    """Guards against what shows only with real processes and sockets."""
    words = ("--seed", str(SHORT_SEED), "--seconds", str(SHORT_SECONDS))
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "hyssopspring_fakes.soak",
            *words,
            "--hosts",
            "6",
            "--logs",
            str(tmp_path),
        ],
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert done.returncode == 0, done.stdout + done.stderr


def test_a_soak_that_is_ended_leaves_no_process(tmp_path):
    """Guards against hosts that run on after their soak was ended."""
    soak = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "hyssopspring_fakes.soak",
            "--hosts",
            "3",
            "--logs",
            str(tmp_path),
        ]
    )
    logs = [tmp_path / "1" / f"{name}-0.log" for name in REGIONS]
    wait_for(lambda: all(one.exists() and one.read_text() for one in logs))
    soak.terminate()
    soak.wait(10.0)
    ids = [int(one) for one in os.listdir("/proc") if one.isdigit()]
    left = [one for one in ids if str(tmp_path) in arguments(one)]
    for one in left:
        os.kill(one, signal.SIGKILL)
    assert_that(left, Equals([]))


def wait_for(condition, every=0.05):
    """Wait until *condition* holds, ten seconds at most."""
    end = time.monotonic() + 10.0
    while not condition():
        assert time.monotonic() < end, "waited too long"
        time.sleep(every)


def arguments(process_id):
    """Return the arguments of a process, or nothing if it has ended."""
    try:
        with open(f"/proc/{process_id}/cmdline", encoding="utf-8") as file:
            return file.read()
    except OSError:
        return ""


def test_a_reload_ends_no_process_that_is_starting(tmp_path):
    """Guards against a host that dies of changed settings as it starts."""
    path = tmp_path / "host.conf"
    path.write_text(
        SETTINGS.format(
            name="north-0",
            ip="127.0.10.1",
            region="north",
            port=1,
            ready=2,
            control=3,
            first=4,
            last=6,
            seeds="",
            stop=5,
            store="127.0.10.1:7",
        )
    )
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "hyssopspring.entry.launch",
            "--settings",
            str(path),
            "--check",
        ],
        stdout=subprocess.DEVNULL,
    )
    maps = pathlib.Path(f"/proc/{process.pid}/maps")
    wait_for(lambda: "msgspec" in maps.read_text(), every=0.001)
    process.send_signal(signal.SIGHUP)
    assert_that(process.wait(10.0), Equals(0))


def test_a_planned_end_is_none_of_its_own():
    """Guards against a finding for a process that was told to stop.

    Who waits for its end starts the next one at once.
    """
    fleet = SimpleNamespace(
        reactor=task.Clock(), store_address="127.0.0.1:1", ticks=(0.0, 0.0)
    )
    host = HostProcess(fleet, "north-0", "north", "127.0.0.1")
    host.planned = True
    host.gone = defer.Deferred()
    host.gone.addCallback(lambda _: setattr(host, "planned", False))
    host.ended(SimpleNamespace(value="exit code 0"))
    assert_that(host.ends, Equals([]))


def test_a_signal_to_a_process_that_was_reaped_is_left():
    """Guards against a soak that ends by itself as a host has just ended."""
    fleet = SimpleNamespace(
        reactor=task.Clock(), store_address="127.0.0.1:1", ticks=(0.0, 0.0)
    )
    host = HostProcess(fleet, "north-0", "north", "127.0.0.1")
    host.process = SimpleNamespace(pid=None)
    host.send_signal(signal.SIGSTOP)
    assert_that(host.current.suspensions, Equals([]))


def test_a_server_drains_whose_entry_a_restore_has_lost(tmp_path):
    """Guards against a soak that ends by itself after a restore."""
    fleet = SoakFleet(task.Clock(), tmp_path, 1)
    copy = fleet.store.copy()
    fleet.store.put_json("servers/west-s5", {"state": "ready", "seq": 1})
    fleet.store.restore(copy)
    fleet.drain("west-s5")
    entry = fleet.store.get_json("servers/west-s5")
    assert_that(entry, Equals({"state": "draining", "seq": 1}))


def test_bounds_are_those_that_operators_are_told():
    """Guards against bounds that were widened to get a pass."""
    bounds = Bounds()
    assert_that(
        (bounds.apply, bounds.stable, bounds.back), Equals((4.0, 6.0, 0.25))
    )
