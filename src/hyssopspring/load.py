"""Open-loop load generator with latency percentiles: ``hyssop-load``."""

import csv
import sys
from collections import Counter
from dataclasses import dataclass, field
from io import BytesIO

import click
import msgspec
import yaml
from hdrh.histogram import HdrHistogram
from twisted.internet import defer, error, protocol, task
from twisted.web.client import (
    FileBodyProducer,
    ResponseDone,
    ResponseFailed,
)
from twisted.web.http_headers import Headers

from .core.sentinels import NOTHING
from .net.clients import make_agent
from .plots import plot_percentiles

MAX_MICROS = 600_000_000
"""Largest time that a histogram records. Longer times count as this."""

SIGNIFICANT_DIGITS = 3
"""Significant decimal digits of the times in a histogram."""

PERCENTILES = (50.0, 90.0, 95.0, 99.0, 99.9, 100.0)
TIMING_KINDS = ("first_token", "between_tokens", "whole")


class MixEntry(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One kind of request of a mix.

    Attributes:
        weight: Relative frequency within the mix.
        model: Name of the requested model.
        key: API key of the caller.
        prompt: Prompt text.
        max_tokens: Maximum number of output tokens.
        stream: Whether to request a streamed response.
        headers: Additional request headers.
    """

    weight: float = 1.0
    model: str = "quick-draft"
    key: str = "demo-key"
    prompt: str = "Quote for two lorries"
    max_tokens: int = 16
    stream: bool = True
    headers: dict[str, str] = {}


def make_histogram():
    """Return an empty histogram of times in microseconds."""
    return HdrHistogram(1, MAX_MICROS, SIGNIFICANT_DIGITS)


@dataclass
class Results:
    """Measurements of a load run.

    Attributes:
        outcomes: Number of requests by outcome.
        histograms: Histogram in microseconds by kind of time.
        stream_events: Number of stream events received.
        max_send_delay: Longest delay of a request behind its scheduled
            time, in seconds.
    """

    outcomes: Counter = field(default_factory=Counter)
    histograms: dict = field(
        default_factory=lambda: {
            kind: make_histogram() for kind in TIMING_KINDS
        }
    )
    stream_events: int = 0
    max_send_delay: float = 0.0

    def record(self, kind, seconds):
        """Record one time, limited to the range of the histogram."""
        micros = max(1, min(MAX_MICROS, int(seconds * 1e6)))
        self.histograms[kind].record_value(micros)

    def rows(self):
        """Return count and percentiles, in milliseconds, for each kind."""
        return [
            [kind, histogram.get_total_count()]
            + [
                round(histogram.get_value_at_percentile(point) / 1000, 2)
                for point in PERCENTILES
            ]
            for kind, histogram in self.histograms.items()
            if histogram.get_total_count()
        ]


class ResponseTimer(protocol.Protocol):
    """Record the times at which the chunks of a response body arrive.

    Args:
        run: The `LoadRun` whose results are updated.
        due_at: Scheduled time of the request.
        stream: Whether the response is streamed.

    Attributes:
        done: Deferred that is called with whether the response is complete.
            A streamed response must also contain the ``[DONE]`` event.
    """

    def __init__(self, run, due_at, stream):
        self.run = run
        self.due_at = due_at
        self.stream = stream
        self.last_data_at = NOTHING
        self.done_event_seen = False
        self.done = defer.Deferred()

    def dataReceived(self, data):
        """Record the arrival of a chunk."""
        now = self.run.clock.seconds()
        results = self.run.results
        if self.last_data_at is NOTHING:
            results.record("first_token", now - self.due_at)
        elif self.stream:
            results.record("between_tokens", now - self.last_data_at)
        self.last_data_at = now
        if self.stream:
            results.stream_events += data.count(b"data: {")
            self.done_event_seen = (
                self.done_event_seen or b"data: [DONE]" in data
            )

    def connectionLost(self, reason):
        """Fire `done` with whether the response is complete."""
        complete = reason.check(ResponseDone) is not None
        self.done.callback(
            complete and (self.done_event_seen or not self.stream)
        )


class LoadRun:
    """Send requests on a fixed schedule, without waiting for responses.

    Times are measured from the scheduled time of a request. A load generator
    that waits for slow responses sends fewer requests while the server
    stalls, and so omits the longest latencies from its measurement
    (coordinated omission).

    Args:
        clock: The reactor.
        urls: Base URLs, used in round-robin order.
        rate: Requests per second.
        duration: Time for which requests are sent, in seconds.
        mix: List of `MixEntry`.
    """

    def __init__(self, clock, urls, rate, duration, mix):
        self.clock = clock
        self.urls = urls
        self.rate = rate
        self.count = int(rate * duration)
        self.mix = expand_by_weight(mix)
        self.agent = make_agent(clock)
        self.agent.pool.maxPersistentPerHost = 1000
        self.results = Results()
        self.sent = 0
        self.started_at = NOTHING
        self.pending = set()

    async def run(self):
        """Send all requests; return the `Results` after the last response."""
        self.started_at = self.clock.seconds()
        while self.sent < self.count:
            due_at = self.started_at + self.sent / self.rate
            now = self.clock.seconds()
            if due_at > now:
                await task.deferLater(self.clock, due_at - now)
                continue
            self.results.max_send_delay = max(
                self.results.max_send_delay, now - due_at
            )
            self.send(due_at)
        while self.pending:
            await defer.DeferredList(list(self.pending))
        await self.agent.pool.closeCachedConnections()
        return self.results

    def send(self, due_at):
        """Start the next request of the mix."""
        mix_entry = self.mix[self.sent % len(self.mix)]
        url = self.urls[self.sent % len(self.urls)]
        self.sent += 1
        work = defer.ensureDeferred(
            self.send_and_record(mix_entry, url, due_at)
        )
        self.pending.add(work)
        work.addBoth(lambda _: self.pending.discard(work))

    async def send_and_record(self, mix_entry, url, due_at):
        """Send one request and record its outcome."""
        results = self.results
        try:
            outcome = await self.request_outcome(mix_entry, url, due_at)
        except (error.ConnectError, ResponseFailed) as failure:
            outcome = type(failure).__name__
        results.outcomes[outcome] += 1
        if outcome == "answered":
            results.record("whole", self.clock.seconds() - due_at)

    async def request_outcome(self, mix_entry, url, due_at):
        """Send one request and return the name of its outcome.

        Returns:
            ``answered``, ``cut`` for a truncated response, or the reason or
            status of an error response.

        Raises:
            ConnectError: The connection failed.
            ResponseFailed: The response failed.
        """
        body = {
            "model": mix_entry.model,
            "prompt": mix_entry.prompt,
            "max_tokens": mix_entry.max_tokens,
            "stream": mix_entry.stream,
        }
        headers = Headers({"authorization": [f"Bearer {mix_entry.key}"]})
        for name, value in mix_entry.headers.items():
            headers.setRawHeaders(name, [value])
        response = await self.agent.request(
            b"POST",
            f"{url}/v1/completions".encode(),
            headers,
            json_body(body),
        )
        reader = ResponseTimer(self, due_at, mix_entry.stream)
        response.deliverBody(reader)
        complete = await reader.done
        if response.code != 200:
            reason_header = response.headers.getRawHeaders(
                "hyssop-reason", [""]
            )
            return reason_header[0] or f"status_{response.code}"
        return "answered" if complete else "cut"


def json_body(value):
    """Return a body producer that sends *value* as JSON."""
    return FileBodyProducer(BytesIO(msgspec.json.encode(value)))


def expand_by_weight(mix):
    """Return a list that repeats each entry in proportion to its weight."""
    min_weight = min(mix_entry.weight for mix_entry in mix)
    sequence = []
    for mix_entry in mix:
        sequence.extend(
            [mix_entry] * max(1, round(mix_entry.weight / min_weight))
        )
    return sequence


def read_mix(path):
    """Return the mix of a YAML file, or one default entry without a path.

    Exits with status 2 if the file is invalid.
    """
    if not path:
        return [MixEntry()]
    with open(path, encoding="utf-8") as file:
        values = yaml.safe_load(file)
    try:
        return msgspec.convert(values["mix"], list[MixEntry])
    except (msgspec.ValidationError, KeyError, TypeError) as error_:
        click.echo(f"{path}: invalid mix: {error_}", err=True)
        sys.exit(2)


def print_results(results, seconds):
    """Print the outcomes and the percentiles of a run."""
    total = sum(results.outcomes.values())
    click.echo(f"{total} requests in {seconds:.1f} s")
    for outcome, count in results.outcomes.most_common():
        click.echo(f"  {outcome}: {count}")
    click.echo(f"  tokens per second: {results.stream_events / seconds:.0f}")
    click.echo(
        f"  longest send delay behind schedule: {results.max_send_delay:.3f} s"
    )
    names = "  ".join(f"p{point:g}" for point in PERCENTILES)
    click.echo(f"milliseconds: count  {names}")
    for kind, *numbers in results.rows():
        click.echo(f"  {kind}: " + "  ".join(str(n) for n in numbers))


def write_csv(results, path):
    """Write the percentiles to a CSV file."""
    with open(path, "w", newline="", encoding="utf-8") as file:
        writer = csv.writer(file)
        writer.writerow(
            ["kind", "count", *(f"p{point:g}_ms" for point in PERCENTILES)]
        )
        writer.writerows(results.rows())


@click.command()
@click.option("--url", "urls", multiple=True, required=True)
@click.option("--rate", default=50.0, show_default=True)
@click.option("--duration", default=10.0, show_default=True)
@click.option("--mix", "mix_path", type=click.Path(exists=True))
@click.option("--csv", "csv_path", type=click.Path())
@click.option("--plot", "plot_path", type=click.Path())
@click.version_option(package_name="hyssopspring")
def main(urls, rate, duration, mix_path, csv_path, plot_path):
    """Generate open-loop load and print latency percentiles."""
    from twisted.internet import reactor

    run = LoadRun(reactor, urls, rate, duration, read_mix(mix_path))
    completed = []

    def started(_):
        work = defer.ensureDeferred(run.run())
        return work.addCallback(completed.append)

    try:
        task.react(started)
    except SystemExit as stopped:
        if not completed:
            sys.exit(stopped.code or 1)
    results = completed[0]
    print_results(results, run.clock.seconds() - run.started_at)
    if csv_path:
        write_csv(results, csv_path)
    if plot_path:
        plot_percentiles(results.histograms, plot_path)
