"""End-to-end tests with separate processes on the loopback interface.

The processes are killed and suspended, and the platform becomes unavailable.
"""

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
TIMEOUT_SECONDS = 15.0


@pytest.fixture(scope="module")
def processes(tmp_path_factory):
    """Start the processes of three regions; stop them after the tests."""
    started = Processes(TOPOLOGY, tmp_path_factory.mktemp("fleet"))
    try:
        started.start()
        wait_until(lambda: connected(started))
        yield started
    finally:
        started.stop()


def connected(processes):
    """Whether each gateway reports all data centres and backend servers."""
    _, answer = processes.call_admin("GET", "/v1/status")
    return len(answer["hosts"]) == 4 and all(
        len(host["centres"]) == 2 and len(host["servers"]) == 2
        for host in answer["hosts"]
    )


def address(processes, name):
    """Return the address of a process from the host list."""
    return next(
        row["address"] for row in processes.rows if row["name"] == name
    )


def wait_until(condition):
    """Wait until *condition* returns true, at most `TIMEOUT_SECONDS`."""
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, "condition was not met in time"
        time.sleep(0.05)


def send_completion(processes, gateway, key="brokers-key", **headers):
    """Send a completion request; return the status and the response."""
    return processes.fetch(
        "POST",
        f"http://{address(processes, gateway)}/v1/completions",
        b'{"model":"quick-draft","prompt":"two lorries","max_tokens":4}',
        {"Authorization": f"Bearer {key}", **headers},
    )


def set_engine_fault(processes, region, **faults):
    """Set the faults that the engine of a region injects."""
    import json

    url = f"http://{address(processes, f'{region}-engine-0')}/faults"
    processes.fetch("POST", url, json.dumps(faults).encode())


def executed_requests(processes, region):
    """Return the requests that a region's engine accepted to execute."""
    url = f"http://{address(processes, f'{region}-engine-0')}/ran"
    return processes.fetch("GET", url)[1]["ran"]


def test_no_two_processes_get_the_same_port(tmp_path):
    """Guards against a process that cannot listen at its address."""
    shape = {"gateways": 100, "engines": 100, "services": 100}
    large = Processes(
        {"models": [], "services": [], "regions": {"dar": shape}}, tmp_path
    )
    addresses = [large.platform, large.admin] + [
        row[key]
        for row in large.rows
        for key in ("address", "forward", "control")
        if key in row
    ]
    assert_that(len(set(addresses)), Equals(len(addresses)))


def test_process_that_exits_at_its_start_is_reported_at_once(tmp_path):
    """Guards against waiting for a process that no longer runs."""
    processes = Processes({"models": [], "regions": {}}, tmp_path)
    processes.run("platform", "hyssop-fake-platform", "--no-such-option")
    try:
        with pytest.raises(RuntimeError, match="no-such-option"):
            processes.wait_for("platform", processes.platform, "/hosts")
    finally:
        processes.stop()


def test_official_client_works_unchanged(processes):
    """The OpenAI client library works without changes.

    It decodes complete responses, streamed responses, the list of models
    and error responses.
    """
    client = openai.OpenAI(
        api_key="brokers-key",
        base_url=f"http://{address(processes, 'dar-gateway-0')}/v1",
        max_retries=0,
    )
    arguments = {
        "model": "quick-draft",
        "messages": [{"role": "user", "content": "two lorries"}],
        "max_tokens": 5,
    }
    whole = client.chat.completions.create(**arguments)
    assert_that(whole.usage.completion_tokens, Equals(5))
    parts = list(client.chat.completions.create(**arguments, stream=True))
    assert_that(len(parts), Equals(5))
    assert_that(
        [model.id for model in client.models.list()], Equals(["quick-draft"])
    )
    with pytest.raises(openai.NotFoundError) as caught:
        client.completions.create(model="none", prompt="x")
    assert_that(caught.value.code, Equals("unknown_model"))


def test_request_is_forwarded_to_another_region(processes):
    """A region that cannot serve forwards requests to another region.

    Only workspaces whose residency permits it are forwarded; the others
    receive a response that the request was not executed.
    """
    set_engine_fault(processes, "dar", refuse=True)
    before = len(executed_requests(processes, "arusha")) + len(
        executed_requests(processes, "mwanza")
    )
    status, _ = send_completion(processes, "dar-gateway-0")
    assert_that(status, Equals(200))
    after = len(executed_requests(processes, "arusha")) + len(
        executed_requests(processes, "mwanza")
    )
    assert_that(after, Equals(before + 1))
    status, answer = send_completion(
        processes, "dar-gateway-1", key="reviews-key"
    )
    assert_that(status, Equals(503))
    assert_that(answer["error"]["type"], Equals("not_run"))
    set_engine_fault(processes, "dar", refuse=False)


def test_command_line_accepts_refuses_and_explains(processes):
    """The command line shows verdicts and the source of each field."""
    accepted_file = processes.directory / "20-team.yaml"
    accepted_file.write_text("workspaces: {brokers: {deadline_ms: 20000}}\n")
    result = hyssopctl(processes, "config", "put", str(accepted_file))
    assert_that(result.returncode, Equals(0))
    assert_that(result.stdout, Contains("in force after"))
    rejected_file = processes.directory / "30-bad.yaml"
    rejected_file.write_text(
        "workspaces:\n  brokers:\n    residency: [mars]\n"
    )
    result = hyssopctl(processes, "config", "put", str(rejected_file))
    assert_that(result.returncode, Equals(1))
    assert_that(result.stderr, Contains("30-bad.yaml:3:"))
    result = hyssopctl(processes, "config", "explain", "brokers")
    assert_that(result.stdout, Contains("20-team.yaml:1 sets 20000"))
    result = hyssopctl(processes, "timeline")
    assert_that(result.stdout, Contains("config_refused"))
    for name in ("20-team.yaml", "30-bad.yaml"):
        result = hyssopctl(processes, "config", "rm", name)
        assert_that(result.returncode, Equals(0))


def hyssopctl(processes, *arguments):
    """Run the command-line tool with *arguments*."""
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
    """An invalid settings file causes a one-line error and exit code 2.

    The line names the file, the key and the expected value.
    """
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
        result = subprocess.run(
            [str(program), "--check", "--settings", str(path)],
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )
        assert_that(result.returncode, Equals(2))
        assert_that(result.stderr.count("\n"), Equals(1))
        assert_that(result.stderr, Contains(str(path)))
        assert_that(result.stderr, Contains(key))


def test_kill_under_load_runs_nothing_twice(processes):
    """Killing a gateway under load runs no non-repeatable request twice.

    Guards against a duplicate payment: a gateway is killed after it sent
    a request to the backend server, the caller retries with the same
    idempotency key at another gateway, and that gateway runs the request
    again.
    """
    hosts = ["dar-gateway-0", "dar-gateway-1"]
    deadline = time.monotonic() + 3 * TIMEOUT_SECONDS
    service = address(processes, "dar-service-0")
    outcomes = {}

    def pay(number):
        key = f"kill-{number}"
        for host in itertools.cycle(hosts):
            if time.monotonic() > deadline:
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
    processes.wait_for(row["name"], row["address"], "/readyz")


def test_frozen_gateway_wakes_up_without_old_rights(processes):
    """A resumed gateway does not use rights withdrawn while suspended.

    Guards against data being processed in an excluded region: the host of
    that region is suspended and removed from the host list, the
    restriction comes into force, and the host resumes with its old
    configuration.
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
    before = len(executed_requests(processes, "mwanza"))
    processes.signal("mwanza-gateway-0", signal.SIGCONT)
    send_completion(processes, "mwanza-gateway-0")
    served_remotely = len(executed_requests(processes, "mwanza")) - before
    assert_that(served_remotely, Equals(0))
    processes.fetch("PUT", entry, to_json_bytes(row))
    status, _ = processes.call_admin("DELETE", "/v1/files/20-cut.yaml")
    assert_that(status, Equals(200))
    wait_until(
        lambda: send_completion(processes, "mwanza-gateway-0")[0] == 200
    )


def to_json_bytes(value):
    """Return *value* as JSON bytes."""
    import json

    return json.dumps(value).encode()


def test_platform_outage_stops_changes_and_nothing_else(processes):
    """Callers are served as before while the platform is suspended.

    Guards against requests that wait for a platform that does not
    respond, although the gateway has all the data that it needs to serve
    them.
    """
    processes.signal("platform", signal.SIGSTOP)
    for gateway in ("dar-gateway-0", "arusha-gateway-0"):
        for _ in range(5):
            status, _ = send_completion(processes, gateway)
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
    """A gateway finishes its requests after SIGTERM and exits with 0."""
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        work = [
            pool.submit(send_completion, processes, "dar-gateway-1")
            for _ in range(8)
        ]
        processes.signal("dar-gateway-1", signal.SIGTERM)
        statuses = {job.result()[0] for job in work}
    assert_that(statuses, Equals({200}))
    code = processes.running["dar-gateway-1"].wait(TIMEOUT_SECONDS)
    assert_that(code, Equals(0))
