"""Separate processes on loopback, under kills, freezes and outages."""

import concurrent.futures
import http.client
import itertools
import pathlib
import signal
import subprocess
import sys
import time

import openai
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

ROOT = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "examples"))

from processes import Processes  # noqa: E402

TOPOLOGY = {
    "round_trip_ms": 60,
    "models": ["quick-draft"],
    "services": ["rating"],
    "regions": {
        "dar": {"gateways": 2, "engines": 1, "services": 1},
        "arusha": {"gateways": 1, "engines": 1, "services": 1},
        "mwanza": {"gateways": 1, "engines": 1, "services": 1},
    },
    "workspaces": {
        "brokers": {"home": "dar", "key": "brokers-key"},
        "reviews": {
            "home": "dar",
            "key": "reviews-key",
            "residency": ["dar"],
            "repeatable": False,
        },
    },
}
WITHIN = 15.0


@pytest.fixture(scope="module")
def processes(tmp_path_factory):
    """Yield three regions of separate processes."""
    made = Processes(TOPOLOGY, tmp_path_factory.mktemp("fleet"))
    try:
        made.start()
        wait_until(lambda: connected(made))
        yield made
    finally:
        made.stop()


def connected(processes):
    """Whether each gateway has heard of all data centres and servers."""
    _, answer = processes.call_admin("GET", "/v1/status")
    return len(answer["hosts"]) == 4 and all(
        len(host["centres"]) == 2 and len(host["servers"]) == 2
        for host in answer["hosts"]
    )


def address(processes, name):
    """Return the address of a process on the host list."""
    return next(
        row["address"] for row in processes.rows if row["name"] == name
    )


def wait_until(condition):
    """Wait until *condition* holds."""
    give_up = time.monotonic() + WITHIN
    while not condition():
        assert time.monotonic() < give_up, "condition did not hold"
        time.sleep(0.05)


def complete(processes, gateway, key="brokers-key", **headers):
    """Send a completion; return status and answer."""
    return processes.fetch(
        "POST",
        f"http://{address(processes, gateway)}/v1/completions",
        b'{"model":"quick-draft","prompt":"two lorries","max_tokens":4}',
        {"Authorization": f"Bearer {key}", **headers},
    )


def set_engine_fault(processes, region, **faults):
    """Set fault switches of a region's engine."""
    import json

    url = f"http://{address(processes, f'{region}-engine-0')}/faults"
    processes.fetch("POST", url, json.dumps(faults).encode())


def ran(processes, region):
    """Return what a region's engine took."""
    url = f"http://{address(processes, f'{region}-engine-0')}/ran"
    return processes.fetch("GET", url)[1]["ran"]


def test_official_client_works_unchanged(processes):
    """The common client library reads whole, streamed and wrong."""
    client = openai.OpenAI(
        api_key="brokers-key",
        base_url=f"http://{address(processes, 'dar-gateway-0')}/v1",
        max_retries=0,
    )
    asked = {
        "model": "quick-draft",
        "messages": [{"role": "user", "content": "two lorries"}],
        "max_tokens": 5,
    }
    whole = client.chat.completions.create(**asked)
    assert_that(whole.usage.completion_tokens, Equals(5))
    parts = list(client.chat.completions.create(**asked, stream=True))
    assert_that(len(parts), Equals(5))
    assert_that(
        [model.id for model in client.models.list()], Equals(["quick-draft"])
    )
    with pytest.raises(openai.NotFoundError) as caught:
        client.completions.create(model="none", prompt="x")
    assert_that(caught.value.code, Equals("unknown_model"))


def test_request_is_forwarded_to_another_region(processes):
    """A region that cannot serve sends what it may to another one."""
    set_engine_fault(processes, "dar", refuse=True)
    before = len(ran(processes, "arusha")) + len(ran(processes, "mwanza"))
    status, _ = complete(processes, "dar-gateway-0")
    assert_that(status, Equals(200))
    after = len(ran(processes, "arusha")) + len(ran(processes, "mwanza"))
    assert_that(after, Equals(before + 1))
    status, answer = complete(processes, "dar-gateway-1", key="reviews-key")
    assert_that(status, Equals(503))
    assert_that(answer["error"]["type"], Equals("not_run"))
    set_engine_fault(processes, "dar", refuse=False)


def test_command_line_accepts_refuses_and_explains(processes):
    """Operators see acceptance, refusal and the reason of each field."""
    good = processes.directory / "20-team.yaml"
    good.write_text("workspaces: {brokers: {deadline_ms: 20000}}\n")
    shown = hyssopctl(processes, "config", "put", str(good))
    assert_that(shown.returncode, Equals(0))
    assert_that(shown.stdout, Contains("in force after"))
    bad = processes.directory / "30-bad.yaml"
    bad.write_text("workspaces:\n  brokers:\n    residency: [mars]\n")
    shown = hyssopctl(processes, "config", "put", str(bad))
    assert_that(shown.returncode, Equals(1))
    assert_that(shown.stderr, Contains("30-bad.yaml:3:"))
    shown = hyssopctl(processes, "config", "explain", "brokers")
    assert_that(shown.stdout, Contains("20-team.yaml:1 sets 20000"))
    shown = hyssopctl(processes, "timeline")
    assert_that(shown.stdout, Contains("config_refused"))
    for name in ("20-team.yaml", "30-bad.yaml"):
        shown = hyssopctl(processes, "config", "rm", name)
        assert_that(shown.returncode, Equals(0))


def hyssopctl(processes, *arguments):
    """Run the command line."""
    program = pathlib.Path(sys.executable).parent / "hyssopctl"
    settings = str(processes.directory / "hyssopctl.yaml")
    return subprocess.run(
        [str(program), "--settings", settings, *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def test_wrong_settings_give_one_line_and_code_two(tmp_path):
    """A wrong settings file names file, key and need."""
    path = tmp_path / "gateway.yaml"
    cases = [
        ("listen: 5", "$.listen"),
        ("colour: red", "colour"),
        ("listen: nowhere:1", "listen"),
    ]
    base = (
        "host: a\nregion: dar\ndata_centre: d\nregions: [dar]\n"
        "platform: etcd+http://127.0.0.1:1\nhost_list: http://127.0.0.1:1\n"
        "peer_secret: s\nforward: 127.0.0.1:2\ncontrol: 127.0.0.1:3\n"
    )
    program = pathlib.Path(sys.executable).parent / "hyssop-gateway"
    for line, key in cases:
        path.write_text(base + line + "\n")
        shown = subprocess.run(
            [str(program), "--check", "--settings", str(path)],
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )
        assert_that(shown.returncode, Equals(2))
        assert_that(shown.stderr.count("\n"), Equals(1))
        assert_that(shown.stderr, Contains(str(path)))
        assert_that(shown.stderr, Contains(key))


def test_kill_under_load_runs_nothing_twice(processes):
    """Keyed single runs survive the kill of a gateway without a double.

    A vendor would be paid twice: the portal's host dies after it sent an
    approval on, the portal retries at another host with the same key,
    and that host runs it again.
    """
    hosts = ["dar-gateway-0", "dar-gateway-1"]
    give_up = time.monotonic() + 3 * WITHIN
    service = address(processes, "dar-service-0")
    outcomes = {}

    def pay(number):
        key = f"kill-{number}"
        for host in itertools.cycle(hosts):
            if time.monotonic() > give_up:
                return
            try:
                status, answer = processes.fetch(
                    "POST",
                    f"http://{address(processes, host)}/services/rating/pay",
                    b"1",
                    {
                        "Authorization": "Bearer reviews-key",
                        "Idempotency-Key": key,
                    },
                    timeout=10,
                )
            except (OSError, http.client.HTTPException):
                time.sleep(0.05)
                continue
            if status == 200 or answer["error"]["type"] != "not_run":
                outcomes[key] = status
                return
            time.sleep(0.1)

    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        work = [pool.submit(pay, number) for number in range(400)]
        wait_until(lambda: len(outcomes) > 50)
        processes.signal("dar-gateway-1", signal.SIGKILL)
        for job in work:
            job.result()
    calls = processes.fetch("GET", f"http://{service}/ran")[1]["ran"]
    keys = [call["key"] for call in calls if call["key"].startswith("kill")]
    assert_that(len(set(keys)), Equals(len(keys)))
    answered = {key for key, status in outcomes.items() if status == 200}
    assert answered <= set(keys)
    assert len(outcomes) == 400
    processes.running["dar-gateway-1"].wait()
    row = next(r for r in processes.rows if r["name"] == "dar-gateway-1")
    processes.start_row(row)
    processes.wait_for(row["address"], "/readyz")


def test_frozen_gateway_wakes_up_without_old_rights(processes):
    """A gateway that slept through a restriction does not serve by it.

    A user's data would be served in an excluded region: the host of that
    region is frozen, the host list drops it, the restriction is put in
    force, and the host wakes up with the old configuration.
    """
    entry = f"http://{processes.platform}/hosts/mwanza-gateway-0"
    row = next(r for r in processes.rows if r["name"] == "mwanza-gateway-0")
    processes.signal("mwanza-gateway-0", signal.SIGSTOP)
    processes.fetch("DELETE", entry)
    text = "workspaces: {brokers: {residency: [dar, arusha]}}\n"
    status, report = processes.call_admin("PUT", "/v1/files/20-cut.yaml", text)
    assert_that(status, Equals(409))
    assert_that(report["reason"], Contains("data centre mwanza-a"))
    status, _ = processes.call_admin("DELETE", "/v1/data-centres/mwanza-a")
    assert_that(status, Equals(200))
    status, report = processes.call_admin(
        "PUT", "/v1/files/20-cut.yaml", text + "# again\n"
    )
    assert_that(status, Equals(200))
    before = len(ran(processes, "mwanza"))
    processes.signal("mwanza-gateway-0", signal.SIGCONT)
    complete(processes, "mwanza-gateway-0")
    served_abroad = len(ran(processes, "mwanza")) - before
    assert_that(served_abroad, Equals(0))
    processes.fetch("PUT", entry, str_json(row))
    status, _ = processes.call_admin("DELETE", "/v1/files/20-cut.yaml")
    assert_that(status, Equals(200))
    wait_until(lambda: complete(processes, "mwanza-gateway-0")[0] == 200)


def str_json(value):
    """Return *value* as JSON bytes."""
    import json

    return json.dumps(value).encode()


def test_platform_outage_stops_changes_and_nothing_else(processes):
    """While the platform is frozen, callers are served as before.

    A broker would wait for a platform that does not answer, though
    everything that the request needs is known.
    """
    processes.signal("platform", signal.SIGSTOP)
    for gateway in ("dar-gateway-0", "arusha-gateway-0"):
        for _ in range(5):
            status, _ = complete(processes, gateway)
            assert_that(status, Equals(200))
    status, answer = processes.call_admin("PUT", "/v1/files/40-x.yaml", "")
    assert_that(status, Equals(503))
    processes.signal("platform", signal.SIGCONT)
    wait_until(
        lambda: (
            processes.call_admin("PUT", "/v1/files/40-x.yaml", "")[0] == 200
        )
    )


def test_planned_stop_of_a_process_exits_cleanly(processes):
    """A gateway that is told to stop finishes and exits with code 0."""
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        work = [
            pool.submit(complete, processes, "dar-gateway-1") for _ in range(8)
        ]
        processes.signal("dar-gateway-1", signal.SIGTERM)
        statuses = {job.result()[0] for job in work}
    assert_that(statuses, Equals({200}))
    code = processes.running["dar-gateway-1"].wait(WITHIN)
    assert_that(code, Equals(0))
