"""HTTP API for operators."""

import hmac
import re

import msgspec
from twisted.internet import task

from ..config.merging import merge
from ..config.reconciler import gather
from ..config.schema import parse_file
from ..config.validation import FolderValidator, RawFile
from ..core.accepted import FILES_PREFIX, Verdict
from ..core.exceptions import KeyValueError, PlatformError
from ..core.outcomes import NotRun, Reason, Unknown
from ..core.sentinels import NOTHING
from ..stores.keyvalues import Applied, WriteUnknown
from .answers import respond_outcome
from .openapi import OPENAPI
from .serving import header, respond_error, respond_json

FILES_PATH = "/v1/files/"
FILE_NAME_PATTERN = re.compile(r"^[a-z0-9][a-z0-9._-]{0,99}\.ya?ml$")
VERDICT_TIMEOUT_SECONDS = 8.0
"""Time for which a write waits for its verdict; after it the response reports
the file as pending."""

IN_FORCE_TIMEOUT_SECONDS = 4.0
"""Time from the start of a write for which the response waits until every
gateway enforces the new generation."""

POLL_INTERVAL_SECONDS = 0.05
"""Pause between two checks while a write waits for its verdict or for the
gateways."""

MAX_WRITE_ATTEMPTS = 5
"""Compare-and-swap attempts for one write of a file."""


class FileReport(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one write or removal of a configuration file.

    Attributes:
        file: Name of the file.
        verdict: ``accepted``, ``refused`` or ``pending``.
        generation: Generation of the accepted configuration in which the
            verdict was reached.
        line: Line that caused the refusal; 0 for the whole file.
        reason: Reason of the refusal.
        in_force: Hosts on which the generation is in force.
        not_in_force: Hosts on which it is not in force, or that do not
            respond.
        seconds: Time from the start of the write until the generation
            was in force on the last host, or until the wait timed out.
    """

    file: str
    verdict: str
    generation: int
    line: int = 0
    reason: str = ""
    in_force: list[str] = []
    not_in_force: list[str] = []
    seconds: float = 0.0


class AdminApi:
    """Serve the HTTP API for operators.

    Args:
        reconciler: `Reconciler` that validates the configuration files.
        hosts: `HostListClient` that reads the host list.
        control_client: `ControlClient` that queries the gateways.
        clock: Clock of the event loop.
        timeline: `Timeline`, the event log of this process.
        tokens: Bearer token by team.
        drain: The `Drain`, the planned stop of this process.
    """

    def __init__(
        self, reconciler, hosts, control_client, clock, timeline, tokens, drain
    ):
        self.reconciler = reconciler
        self.store = reconciler.store
        self.hosts = hosts
        self.control_client = control_client
        self.clock = clock
        self.timeline = timeline
        self.tokens = tokens
        self.drain = drain

    def add_routes(self, router):
        """Register the routes of the API with *router*."""
        router.add("GET", "/openapi.json", self.show_openapi)
        router.add("GET", "/healthz", self.show_health)
        for method, path, handler in (
            ("GET", "/v1/files", self.list_files),
            ("GET", FILES_PATH, self.show_file),
            ("PUT", FILES_PATH, self.put_file),
            ("DELETE", FILES_PATH, self.delete_file),
            ("POST", "/v1/check/", self.check_file),
            ("GET", "/v1/explain", self.explain),
            ("GET", "/v1/status", self.show_status),
            ("DELETE", "/v1/data-centres/", self.forget_data_centre),
            ("GET", "/v1/timeline", self.show_timeline),
        ):
            router.add(method, path, self.require_token(handler))

    def require_token(self, handler):
        """Return *handler* wrapped in the check of the bearer token.

        The wrapper also responds with status 503 if the platform fails, or if
        this process is shutting down.
        """

        async def authenticated(request):
            if not self.find_team(request):
                respond_error(
                    request,
                    401,
                    "unknown_token",
                    "bearer token is missing or belongs to no team",
                )
                return
            if self.drain.refusing:
                respond_outcome(request, NotRun(Reason.LEAVING))
                return
            try:
                await handler(request)
            except (KeyValueError, PlatformError) as error:
                respond_error(
                    request,
                    503,
                    "platform_unavailable",
                    f"platform is unavailable: {error}",
                    headers=[("retry-after", "2")],
                )

        return authenticated

    def find_team(self, request):
        """Return the team of the request's bearer token.

        All tokens are compared, each with `hmac.compare_digest`, so that
        the response time does not depend on how much of a token matches.

        Returns:
            The name of the team, or an empty string if the token is
            missing or unknown.
        """
        scheme, _, token = header(request, "authorization").partition(" ")
        matching_team = ""
        for team, expected_token in self.tokens.items():
            if hmac.compare_digest(expected_token.encode(), token.encode()):
                matching_team = team
        return matching_team if scheme.lower() == "bearer" else ""

    def show_openapi(self, request):
        """Respond with the OpenAPI description of this API."""
        respond_json(request, 200, OPENAPI)

    def show_health(self, request):
        """Respond that the process is running."""
        respond_json(request, 200, {"status": "ok"})

    async def list_files(self, request):
        """Respond with the state of all configuration files."""
        stored = await self.reconciler.read()
        rows = [
            {"file": name, **state_row(state)}
            for name, state in sorted(stored.accepted.files.items())
        ]
        respond_json(
            request,
            200,
            {"generation": stored.accepted.generation, "files": rows},
        )

    async def show_file(self, request):
        """Respond with the content and the state of one file."""
        name = file_name(request)
        entry = await self.store.get(FILES_PREFIX + name)
        if entry is NOTHING:
            respond_error(
                request, 404, "not_found", f"file not found: {name!r}"
            )
            return
        stored = await self.reconciler.read()
        state = stored.accepted.files.get(name)
        row = state_row(state) if state else {"verdict": Verdict.PENDING}
        respond_json(
            request,
            200,
            {"file": name, "content": entry.value.decode(), **row},
        )

    async def put_file(self, request):
        """Write a file and respond with its verdict."""
        name = file_name(request)
        if not FILE_NAME_PATTERN.match(name):
            respond_error(
                request,
                400,
                "bad_name",
                "file name must consist of lower-case letters, digits, "
                "dots, dashes and underscores and end in .yaml or .yml",
            )
            return
        await self.write(request, name, request.read_body())

    async def delete_file(self, request):
        """Remove a file and respond with the verdict on the removal."""
        await self.write(request, file_name(request), None)

    async def write(self, request, name, content):
        """Write or remove a file and respond once it is validated.

        Args:
            request: The HTTP request.
            name: Name of the file.
            content: The new content, or `None` to remove the file.
        """
        started_at = self.clock.seconds()
        revision = await self.store_file(name, content)
        if revision is NOTHING:
            respond_error(
                request, 404, "not_found", f"file not found: {name!r}"
            )
            return
        self.reconciler.schedule()
        report = await self.wait_verdict(name, revision)
        if report.verdict == Verdict.ACCEPTED:
            report = await self.wait_in_force(report, started_at)
        status = 200 if report.verdict == Verdict.ACCEPTED else 409
        if report.verdict == Verdict.PENDING:
            status = 202
        respond_json(request, status, report)

    async def store_file(self, name, content):
        """Write or remove a file in the configuration folder.

        Each attempt is a compare-and-swap against the revision that was
        read. If the result of a write is unknown, the file is read back;
        equal content proves that the write took effect.

        Args:
            name: Name of the file.
            content: The new content, or `None` to remove the file.

        Returns:
            The revision of the write, or `NOTHING` if there is no file
            to remove.

        Raises:
            KeyValueError: The platform did not respond, or no attempt
                was confirmed.
        """
        key = FILES_PREFIX + name
        for _ in range(MAX_WRITE_ATTEMPTS):
            entry = await self.store.get(key)
            current_revision = entry.revision if entry is not NOTHING else 0
            if content is None and not current_revision:
                return NOTHING
            if content is None:
                result = await self.store.remove(key, current_revision)
            else:
                result = await self.store.swap(key, content, current_revision)
            if isinstance(result, Applied):
                return result.revision
            if isinstance(result, WriteUnknown):
                entry = await self.store.get(key)
                if entry is not NOTHING and entry.value == content:
                    return entry.revision
        raise KeyValueError(
            "configuration file was not written: all attempts failed"
        )

    async def wait_verdict(self, name, revision):
        """Return the `FileReport` once the write is validated.

        Args:
            name: Name of the file.
            revision: Revision of the write.

        Returns:
            The report; its verdict is ``pending`` if none was reached
            within `VERDICT_TIMEOUT_SECONDS`.
        """
        deadline = self.clock.seconds() + VERDICT_TIMEOUT_SECONDS
        while self.clock.seconds() < deadline:
            try:
                stored = await self.reconciler.read()
            except KeyValueError:
                await task.deferLater(self.clock, POLL_INTERVAL_SECONDS)
                continue
            report = find_report(stored.accepted, name, revision)
            if report is not NOTHING:
                return report
            await task.deferLater(self.clock, POLL_INTERVAL_SECONDS)
        return FileReport(
            file=name,
            verdict=Verdict.PENDING,
            generation=0,
            reason="not validated yet; query the state of the file later",
        )

    async def wait_in_force(self, report, started_at):
        """Return *report* with the hosts on which it is in force.

        Args:
            report: `FileReport` of an accepted write.
            started_at: Time at which the write started.
        """
        deadline = started_at + IN_FORCE_TIMEOUT_SECONDS
        while True:
            statuses = await self.read_statuses()
            lagging = [
                name
                for name, status in statuses.items()
                if status is NOTHING or status.generation < report.generation
            ]
            now = self.clock.seconds()
            if not lagging or now >= deadline:
                return msgspec.structs.replace(
                    report,
                    in_force=sorted(set(statuses) - set(lagging)),
                    not_in_force=sorted(lagging),
                    seconds=round(now - started_at, 3),
                )
            await task.deferLater(self.clock, POLL_INTERVAL_SECONDS)

    async def read_statuses(self):
        """Return the `HostStatus` of each gateway by host name.

        The value is `NOTHING` for a gateway that does not respond.
        """
        host_list = await self.hosts.read()
        statuses = await gather(
            self.control_client.status(row.forward)
            for row in host_list.gateways
        )
        names = [row.name for row in host_list.gateways]
        return dict(zip(names, statuses, strict=True))

    async def check_file(self, request):
        """Validate a file as if it were written, without writing it."""
        name = file_name(request)
        text = request.read_body().decode("utf-8", "replace")
        stored = await self.reconciler.read()
        listing = await self.store.list(FILES_PREFIX)
        folder = {
            entry.key[len(FILES_PREFIX) :]: RawFile(
                entry.value.decode("utf-8", "replace"), entry.revision
            )
            for entry in listing.entries
        }
        revision = listing.revision + 1
        folder[name] = RawFile(text, revision)
        validated = FolderValidator(stored.accepted).validate(folder, revision)
        state = validated.file_states.get(name)
        if state is None:
            respond_error(
                request,
                409,
                "busy",
                "another configuration change is being validated",
            )
            return
        status = 200 if state.verdict is Verdict.ACCEPTED else 409
        respond_json(request, status, {"file": name, **state_row(state)})

    async def explain(self, request):
        """Respond with the file and the merge rule that set each field."""
        selected = {
            (kind + "s", request.args[kind.encode()][0].decode())
            for kind in ("workspace", "model", "service")
            if kind.encode() in request.args
        }
        stored = await self.reconciler.read()
        merged = merge(
            {
                name: parse_file(state.content)
                for name, state in stored.accepted.files.items()
                if state.content is not None
            }
        )
        rows = [
            merged.explain(path)
            for path in sorted(merged.leaves)
            if path[:2] in selected and merged.leaves[path] is not NOTHING
        ]
        respond_json(
            request,
            200,
            {"generation": stored.accepted.generation, "fields": rows},
        )

    async def show_status(self, request):
        """Respond with the state of all gateways."""
        statuses = await self.read_statuses()
        rows = [row for row in statuses.values() if row is not NOTHING]
        unresponsive = [
            name for name, row in statuses.items() if row is NOTHING
        ]
        respond_json(
            request, 200, {"hosts": rows, "silent": sorted(unresponsive)}
        )

    async def forget_data_centre(self, request):
        """Remove a data centre that has been shut down permanently."""
        name = file_name(request)
        if not await self.reconciler.forget_data_centre(name):
            respond_error(
                request, 404, "not_found", f"data centre not found: {name!r}"
            )
            return
        respond_json(request, 200, {"forgotten": name})

    async def show_timeline(self, request):
        """Respond with the events of all processes in one order.

        Events are ordered by their hybrid logical time, then by host.
        """
        request_id = request.args.get(b"request", [b""])[0].decode()
        host_list = await self.hosts.read()
        responses = await gather(
            self.control_client.events(row.forward, request_id)
            for row in host_list.gateways
        )
        events = list(self.timeline.select(request=request_id))
        unresponsive = []
        for row, host_events in zip(
            host_list.gateways, responses, strict=True
        ):
            if host_events is NOTHING:
                unresponsive.append(row.name)
            else:
                events.extend(host_events)
        events.sort(
            key=lambda event: (event.millis, event.counter, event.host)
        )
        respond_json(
            request, 200, {"events": events, "silent": sorted(unresponsive)}
        )


def end_request(request):
    """Respond to a request that is in progress as the process ends.

    A change may have been written; another admin server completes it.
    """
    outcome = NotRun(Reason.LEAVING)
    if request.method in (b"PUT", b"DELETE"):
        outcome = Unknown(Reason.LEAVING)
    respond_outcome(request, outcome)


def file_name(request):
    """Return the last segment of the request's path."""
    return request.path.rsplit(b"/", 1)[1].decode("utf-8", "replace")


def state_row(state):
    """Return the fields of a `FileState` that operators see."""
    return {
        "verdict": state.verdict,
        "generation": state.generation,
        "line": state.line,
        "reason": state.reason,
        "in_force": state.content is not None,
    }


def find_report(accepted, name, revision):
    """Return the `FileReport` of a write.

    Args:
        accepted: The stored `Accepted` configuration.
        name: Name of the file.
        revision: Revision of the write.

    Returns:
        The report, or `NOTHING` until the write is validated.
    """
    state = accepted.files.get(name)
    is_validated = accepted.folder_revision >= revision
    if state is None:
        if not is_validated:
            return NOTHING
        return FileReport(
            file=name,
            verdict=Verdict.ACCEPTED,
            generation=accepted.generation,
        )
    if state.revision < revision and not is_validated:
        return NOTHING
    if state.revision > revision:
        return FileReport(
            file=name,
            verdict=Verdict.REFUSED,
            generation=state.generation,
            reason="another operator has written a newer version of the file",
        )
    return FileReport(
        file=name,
        verdict=state.verdict,
        generation=state.generation,
        line=state.line,
        reason=state.reason,
    )
