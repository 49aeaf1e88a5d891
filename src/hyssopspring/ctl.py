"""Command-line client of the admin server, ``hyssopctl``."""

import contextlib
import pathlib
import sys

import click
import msgspec
import yaml
from twisted.internet import defer, reactor, task
from twisted.python.failure import Failure
from twisted.web.http_headers import Headers

from .config.schema import Problem, parse_file
from .core.exceptions import SettingsError
from .core.sentinels import NOTHING
from .net.clients import fetch, make_agent
from .plots import plot_timeline
from .records import cause_of, format_record, read_records
from .settings import EXIT_BAD_SETTINGS, load_settings

EXIT_REFUSED = 1
EXIT_UNREACHABLE = 3
ADMIN_TIMEOUT_SECONDS = 20.0
"""Time limit of one call to the admin server."""

FOLLOW_INTERVAL_SECONDS = 1.0
"""Pause between two reads of the event log with ``--follow``."""


class CtlSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of ``hyssopctl``.

    Attributes:
        admin: Base URL of an admin server, such as
            ``http://127.0.0.1:8090``.
        token: Bearer token of the operators' team.
    """

    admin: str
    token: str


class AdminUnreachableError(click.ClickException):
    """The admin server did not answer, or its response is invalid."""

    exit_code = EXIT_UNREACHABLE


class AdminClient:
    """Send calls to the admin server, one at a time.

    Args:
        settings: The `CtlSettings` with address and token.
    """

    def __init__(self, settings):
        self.settings = settings

    def call(self, method, path, body=NOTHING):
        """Send one call and wait for its response.

        Args:
            method: HTTP method, as bytes.
            path: Path and query, below the address of the admin server.
            body: Request body, or `NOTHING`.

        Returns:
            Status and decoded JSON body of the response.

        Raises:
            AdminUnreachableError: The call failed.
        """
        return run_on_reactor(lambda: self.send_request(method, path, body))

    async def send_request(self, method, path, body):
        """Send one call; return status and decoded JSON body."""
        headers = Headers(
            {
                b"authorization": [b"Bearer " + self.settings.token.encode()],
                b"content-type": [b"application/yaml"],
            }
        )
        status, response = await fetch(
            make_agent(reactor, persistent=False),
            method,
            self.settings.admin + path,
            body,
            clock=reactor,
            timeout=ADMIN_TIMEOUT_SECONDS,
            headers=headers,
        )
        return status, msgspec.json.decode(response)


def run_on_reactor(function):
    """Run a coroutine function on the reactor and return its result.

    Exits with status 130 if the reactor stops before there is a result, as
    it does on an interrupt.

    Raises:
        AdminUnreachableError: The coroutine raised an exception.
    """
    results = []

    def started(_):
        work = defer.ensureDeferred(function())
        return work.addBoth(results.append)

    with contextlib.suppress(SystemExit):
        task.react(started)
    if not results:
        sys.exit(130)
    if isinstance(results[0], Failure):
        raise AdminUnreachableError(
            f"call to the admin server failed: {results[0].getErrorMessage()}"
        )
    return results[0]


def load_client(path):
    """Return an `AdminClient` for the settings at *path*.

    Exits with `EXIT_BAD_SETTINGS` if the settings are invalid.

    Raises:
        click.UsageError: No path is given.
    """
    if not path:
        raise click.UsageError(
            "no settings file: pass --settings or set HYSSOPCTL_SETTINGS"
        )
    try:
        return AdminClient(load_settings(path, CtlSettings))
    except SettingsError as problem:
        click.echo(str(problem), err=True)
        sys.exit(EXIT_BAD_SETTINGS)


@click.group()
@click.option(
    "--settings",
    "path",
    envvar="HYSSOPCTL_SETTINGS",
    metavar="FILE",
    help="YAML file with the address of the admin server and the token.",
)
@click.version_option(package_name="hyssopspring")
@click.pass_context
def main(context, path):
    """Manage a hyssopspring deployment."""
    context.obj = path


@main.group()
def config():
    """Write, remove and explain configuration files."""


@config.command("put")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.pass_obj
def put_file(path, file):
    """Upload FILE and wait until it is in force or refused."""
    source = pathlib.Path(file)
    status, response = load_client(path).call(
        b"PUT", f"/v1/files/{source.name}", source.read_bytes()
    )
    print_report(status, response)


@config.command("rm")
@click.argument("name")
@click.pass_obj
def remove_file(path, name):
    """Remove the file NAME."""
    status, response = load_client(path).call(b"DELETE", f"/v1/files/{name}")
    print_report(status, response)


@config.command("ls")
@click.pass_obj
def list_files(path):
    """List all configuration files with their verdicts."""
    status, response = load_client(path).call(b"GET", "/v1/files")
    raise_unless_ok(status, response)
    click.echo(f"generation {response['generation']}")
    for row in response["files"]:
        location = (
            f" line {row['line']}: {row['reason']}" if row["reason"] else ""
        )
        state = "in force" if row["in_force"] else "not in force"
        click.echo(f"{row['file']}: {row['verdict']}, {state}{location}")


@config.command("check")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option(
    "--online", is_flag=True, help="Validate together with all other files."
)
@click.pass_obj
def check_file(path, file, online):
    """Validate FILE alone, or with all other files with --online."""
    source = pathlib.Path(file)
    try:
        parse_file(source.read_text(encoding="utf-8"))
    except Problem as problem:
        click.echo(f"{file}:{problem.line}: {problem.text}", err=True)
        sys.exit(EXIT_REFUSED)
    if not online:
        click.echo(f"{file}: file is valid on its own")
        return
    status, response = load_client(path).call(
        b"POST", f"/v1/check/{source.name}", source.read_bytes()
    )
    print_report(status, response)


@config.command("explain")
@click.argument("workspace")
@click.argument("model", required=False)
@click.pass_obj
def explain(path, workspace, model):
    """Show which file sets each field of WORKSPACE and MODEL, and why."""
    query = f"/v1/explain?workspace={workspace}"
    if model:
        query += f"&model={model}"
    status, response = load_client(path).call(b"GET", query)
    raise_unless_ok(status, response)
    for row in response["fields"]:
        value = msgspec.json.encode(row["value"]).decode()
        click.echo(f"{row['path']} = {value}  (rule: {row['rule']})")
        for setting in row["files"]:
            file_value = msgspec.json.encode(setting["value"]).decode()
            click.echo(
                f"    {setting['file']}:{setting['line']} sets {file_value}"
            )


@main.command("forget-data-centre")
@click.argument("name")
@click.pass_obj
def forget_data_centre(path, name):
    """Forget the data centre NAME after its hosts are decommissioned."""
    status, response = load_client(path).call(
        b"DELETE", f"/v1/data-centres/{name}"
    )
    raise_unless_ok(status, response)
    click.echo(f"data centre forgotten: {name}")


@main.command("status")
@click.pass_obj
def show_status(path):
    """Show the state of all gateways."""
    status, response = load_client(path).call(b"GET", "/v1/status")
    raise_unless_ok(status, response)
    click.echo(yaml.safe_dump(response, sort_keys=False).rstrip())


@main.command("timeline")
@click.option(
    "--request", default="", help="Show only the events of this request ID."
)
@click.option(
    "--follow", is_flag=True, help="Print new events until interrupted."
)
@click.option(
    "--plot", type=click.Path(), help="Plot the events to this PNG file."
)
@click.pass_obj
def show_timeline(path, request, follow, plot):
    """Show the merged event log of all processes."""
    client = load_client(path)
    query = f"/v1/timeline?request={request}" if request else "/v1/timeline"
    response = run_on_reactor(lambda: print_events(client, query, follow))
    for host in response["silent"]:
        click.echo(f"no events received from {host}", err=True)
    if plot:
        plot_timeline(response["events"], plot)


@main.command("lines")
@click.argument("files", nargs=-1, type=click.File("r"))
@click.option(
    "--request", default="", help="Show only the lines of this request ID."
)
@click.option(
    "--cause", is_flag=True, help="Explain the outcome of the request."
)
def show_lines(files, request, cause):
    """Merge log lines of several processes in order of time."""
    lines = [line for file in files for line in file]
    all_records = records = read_records(lines)
    if request:
        records = [record for record in records if record.request == request]
    for record in records:
        click.echo(format_record(record))
    if cause:
        click.echo(cause_of(records, all_records))


async def print_events(client, query, follow):
    """Print the events that are not printed yet.

    Reads the event log once, or with *follow* until it is interrupted.

    Returns:
        The last decoded response.
    """
    seen = set()
    while True:
        _, response = await client.send_request(b"GET", query, NOTHING)
        for event in response.get("events", []):
            key = (event["host"], event["millis"], event["counter"])
            if key not in seen:
                seen.add(key)
                click.echo(format_event(event))
        if not follow:
            return response
        await task.deferLater(reactor, FOLLOW_INTERVAL_SECONDS)


def format_event(event):
    """Format an event as one line."""
    details = " ".join(f"{k}={v}" for k, v in event["details"].items())
    request = f" {event['request']}" if event["request"] else ""
    return (
        f"{event['millis']}.{event['counter']:03d} {event['host']} "
        f"E{event['number']} {event['name']}{request} {details}"
    ).rstrip()


def print_report(status, response):
    """Print the verdict on a change.

    Exits with `EXIT_REFUSED` unless the change is accepted.
    """
    if "error" in response:
        raise_unless_ok(status, response)
    if response["verdict"] == "accepted":
        click.echo(f"accepted, generation {response['generation']}")
        if isinstance(response["in_force"], list):
            print_in_force_hosts(response)
        return
    location = f"{response['file']}:{response['line']}"
    click.echo(
        f"{response['verdict']}: {location}: {response['reason']}", err=True
    )
    sys.exit(EXIT_REFUSED)


def print_in_force_hosts(response):
    """Print the hosts on which a change is in force, or not yet."""
    hosts = ", ".join(response["in_force"])
    click.echo(f"in force after {response['seconds']} s on {hosts}")
    if response["not_in_force"]:
        pending_hosts = ", ".join(response["not_in_force"])
        click.echo(f"not yet in force on {pending_hosts}", err=True)


def raise_unless_ok(status, response):
    """Raise `click.ClickException` unless *status* is 200."""
    if status != 200:
        message = response.get("error", {}).get("message", response)
        raise click.ClickException(str(message))
