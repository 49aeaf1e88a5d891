"""Demo of two regions with fake backends in one process: ``hyssop-demo``."""

import sys

import click
import msgspec
from twisted.internet import defer, reactor
from twisted.web.http_headers import Headers

from hyssopspring_fakes.fleet import Fleet, Shape, configuration_text

from .logs import start_logging
from .net.clients import fetch

API_KEY = "demo-key"
"""API key of the workspace that sends the requests."""

REQUEST_TIMEOUT_SECONDS = 10.0
"""Time limit of one request to a gateway."""

INVALID_FILE = """\
workspaces:
  quotes:
    residency: [atlantis]
"""
"""Configuration file that is refused, as it names an unknown region."""

VALID_FILE = """\
workspaces:
  quotes:
    deadline_ms: 20000
"""
"""Configuration file that is accepted."""


@click.command()
@click.option("--once", is_flag=True, help="Run each demo case once and exit.")
@click.option("--log", default="ERROR", show_default=True)
@click.version_option(package_name="hyssopspring")
def main(once, log):
    """Serve two regions with fake backends until interrupted."""
    start_logging(log)
    results = []
    work = defer.ensureDeferred(run(once, log))
    work.addBoth(results.append)
    if once:
        work.addBoth(lambda _: reactor.callWhenRunning(reactor.stop))
    reactor.run()
    if results and hasattr(results[0], "printTraceback"):
        results[0].printTraceback()
        sys.exit(1)
    sys.exit(0 if results and results[0] else 1)


async def run(once, log):
    """Start the fleet, then run the demo cases or print example commands.

    Args:
        once: Whether to run the cases and stop the fleet.
        log: Name of the lowest log level that is written.

    Returns:
        Whether the fleet started and all cases that ran passed.
    """
    fleet = Fleet(reactor, Shape(log=log))
    await fleet.start()
    text = configuration_text(fleet.shape.regions, API_KEY)
    status, report = await fleet.put("10-base.yaml", text)
    if status != 200:
        click.echo(f"initial configuration was refused: {report}", err=True)
        return False
    if not once:
        print_usage(fleet)
        return True
    demo = DemoCases(fleet)
    all_passed = await demo.run_all()
    await fleet.stop()
    return all_passed


def print_usage(fleet):
    """Print example shell commands for a running fleet."""
    gateway = fleet.gateways["dar-0"].settings.listen
    admin = fleet.admin.settings.listen
    body = '{"model":"quick-draft","prompt":"Quote for two lorries"'
    curl_command = (
        f"curl -s http://{gateway}/v1/completions "
        f"-H 'Authorization: Bearer {API_KEY}' "
    )
    click.echo("# a completion request, buffered and streamed")
    click.echo(f"{curl_command}-d '{body}}}'")
    click.echo(f"{curl_command}-N -d '{body},\"stream\":true}}'")
    click.echo("# a plain HTTP service, and the list of gateways")
    click.echo(
        f"curl -s http://{gateway}/services/rating/quote "
        f"-H 'Authorization: Bearer {API_KEY}' -d 'two lorries'"
    )
    click.echo(f"curl -s http://{gateway}/v1/hosts")
    click.echo("# the status of all hosts, for operators")
    click.echo(
        f"curl -s http://{admin}/v1/status "
        "-H 'Authorization: Bearer operator-token'"
    )
    click.echo("# press Ctrl-C to stop")


class DemoCases:
    """Demo cases that run with ``--once``.

    Args:
        fleet: A started `Fleet`.

    Attributes:
        all_passed: Whether every case so far passed.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.all_passed = True

    async def run_all(self):
        """Run all cases; return whether all passed."""
        await self.check_buffered_response()
        await self.check_streamed_response()
        await self.check_forwarded_request()
        await self.check_configuration_change()
        await self.check_refused_change()
        return self.all_passed

    def print_result(self, name, passed, text):
        """Record and print the result of a case."""
        self.all_passed = self.all_passed and passed
        click.echo(f"{name}: {'right' if passed else 'WRONG'}: {text}")

    async def call(self, host, **body_fields):
        """Send a completion request to *host*; return status and body."""
        address = self.fleet.gateways[host].settings.listen
        body = {"model": "quick-draft", "prompt": "Two lorries", **body_fields}
        headers = Headers({b"authorization": [b"Bearer " + API_KEY.encode()]})
        return await fetch(
            self.fleet.agent,
            b"POST",
            f"http://{address}/v1/completions",
            msgspec.json.encode(body),
            clock=reactor,
            timeout=REQUEST_TIMEOUT_SECONDS,
            headers=headers,
        )

    async def check_buffered_response(self):
        """Check a buffered response from the home region."""
        status, body = await self.call("dar-0", max_tokens=4)
        response = msgspec.json.decode(body)
        passed = status == 200 and response["usage"]["completion_tokens"] == 4
        self.print_result(
            "buffered response", passed, f"status {status}, 4 tokens"
        )

    async def check_streamed_response(self):
        """Check a streamed response."""
        status, body = await self.call("dar-0", max_tokens=4, stream=True)
        passed = status == 200 and body.endswith(b"data: [DONE]\n\n")
        events = body.count(b"data: ")
        self.print_result(
            "streamed response", passed, f"{events} events, [DONE] last"
        )

    async def check_forwarded_request(self):
        """Check that a request is forwarded while the home region is full."""
        for name, engine in self.fleet.engines.items():
            engine.faults.refuse = name.startswith("dar")
        before = self.count_requests("arusha")
        status, _ = await self.call("dar-0")
        for engine in self.fleet.engines.values():
            engine.faults.refuse = False
        passed = status == 200 and self.count_requests("arusha") == before + 1
        self.print_result("forwarded request", passed, "served in arusha")

    def count_requests(self, region):
        """Return the number of requests that the engines of a region ran."""
        return sum(
            len(engine.ran)
            for name, engine in self.fleet.engines.items()
            if name.startswith(region)
        )

    async def check_configuration_change(self):
        """Check that a valid configuration change is in force on all hosts."""
        status, report = await self.fleet.put("20-team.yaml", VALID_FILE)
        hosts = ", ".join(report.get("in_force", []))
        passed = status == 200 and not report["not_in_force"]
        text = f"generation {report['generation']} in force on {hosts}"
        self.print_result("configuration change", passed, text)

    async def check_refused_change(self):
        """Check that an invalid change is refused with its line number."""
        status, report = await self.fleet.put("30-other.yaml", INVALID_FILE)
        passed = status == 409 and report["line"] == 3
        text = f"line {report['line']}: {report['reason']}"
        self.print_result("refused change", passed, text)
