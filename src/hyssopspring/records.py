"""Merge the structured log lines of several processes and explain them."""

import msgspec

from .core.exceptions import ProtocolError
from .core.shares import TOTAL_UNITS

__all__ = ["LogRecord", "cause_of", "format_record", "read_records"]

STANDARD_FIELDS = ("ms", "n", "host", "event", "number", "request")
"""Fields of every log line, which are left out of its details."""

PRECEDING_WINDOW_MILLIS = 2500
"""Time before a placement within which other placements at its server are
reported as preceding it. It exceeds the prefill time of the longest prompts,
which is two seconds."""

MIN_STALL_MILLIS = 300
"""Time without an event after which a stream counts as stalled: the shortest
such limit that any user requires."""


class LogRecord(msgspec.Struct, frozen=True):
    """One log line.

    Attributes:
        millis: Wall-clock part of the hybrid logical time, in milliseconds.
        counter: Counter of the hybrid logical time, which orders events of
            the same millisecond.
        host: Host that wrote the line.
        event: Event name from the event catalogue.
        request: ID of the request that the event belongs to, or an empty
            string.
        details: All other fields, by name.
    """

    millis: int
    counter: int
    host: str
    event: str
    request: str
    details: dict


def read_records(lines):
    """Return the records of *lines*, sorted by hybrid logical time.

    Text before the first brace, such as the prefix of a log collector, is
    ignored, and so are lines that are not valid records.

    Args:
        lines: Lines of text from any number of processes.
    """
    records = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            records.append(read_record(line[start:]))
        except ProtocolError:
            continue
    records.sort(
        key=lambda record: (record.millis, record.counter, record.host)
    )
    return records


def read_record(text):
    """Parse the JSON object of one line.

    Raises:
        ProtocolError: The text is not a valid record.
    """
    try:
        values = msgspec.json.decode(text)
        return LogRecord(
            int(values["ms"]),
            int(values["n"]),
            values["host"],
            values["event"],
            values.get("request", ""),
            {
                name: values[name]
                for name in values
                if name not in STANDARD_FIELDS
            },
        )
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as problem:
        raise ProtocolError(f"invalid log line: {problem}") from None


def format_record(record):
    """Format a record as one readable line."""
    details = " ".join(f"{k}={v}" for k, v in record.details.items() if v)
    return (
        f"{record.millis} {record.counter} {record.host} "
        f"{record.request or '-'} {record.event} {details}"
    )


def cause_of(records, all_records=()):
    """Explain the outcome of a request from its log records.

    Args:
        records: `LogRecord` list of the request, sorted by time.
        all_records: `LogRecord` list of all requests, from which the requests
            placed just before it at its server are found. Optional.

    Returns:
        The explanation, as one line of text.
    """
    refused = [record for record in records if record.event == "not_run"]
    ended_attempts = [
        record for record in records if record.event == "attempt_ended"
    ]
    sent_away = [record for record in records if record.event == "sent_away"]
    final = [
        record for record in records if record.event in ("answered", "unknown")
    ]
    stopped = [record for record in records if record.event == "ended_by_stop"]
    if not final and not refused:
        if stopped:
            return "; ".join(describe_stop(one) for one in stopped)
        return "the request has not ended, or its last log line was dropped"
    last = (final or refused)[-1]
    parts = [f"{last.details.get('how', 'refused')} by {last.host}"]
    for record in ended_attempts:
        parts.append(
            f"attempt at {record.details['at']} ended: "
            f"{record.details['reason']}"
        )
    for record in sent_away:
        parts.append(
            f"sent to {record.details['region']}, predicted "
            f"{record.details['predicted']} s"
        )
    parts += [describe_refusal(record) for record in refused]
    parts += [describe_stop(record) for record in stopped]
    parts += describe_lateness(last.details)
    if last.event == "unknown":
        parts += describe_sent(last.details)
    placed = [record for record in records if record.event == "placed"]
    if placed and len(parts) > 1:
        parts += describe_preceding(placed[-1], all_records)
    parts += describe_stream(records)
    return "; ".join(parts + describe_versions(records))


def describe_stop(record):
    """Return a text on a request that its stopping host ended."""
    details = record.details
    return (
        f"ended by the stop of {record.host}, {details['stopping_ms']} ms "
        f"after its signal, as the request had waited for "
        f"{details['waits_for']} since {details['waited_ms']} ms"
    )


def describe_sent(details):
    """Return texts on what a caller had before its request ended early.

    Args:
        details: Details of the record of its end, by name.
    """
    texts = []
    if "sent_bytes" in details:
        sent = int(details["sent_bytes"])
        texts.append(f"{sent} bytes of a response had been sent to the caller")
    silent = int(details.get("silent_ms", 0))
    if silent > MIN_STALL_MILLIS:
        texts.append(f"its server had been silent for {silent} ms")
    return texts


def describe_stream(records):
    """Return a text on the version that a stream had to go on with.

    Args:
        records: `LogRecord` list of the request.
    """
    texts = []
    named = [one.details for one in records if one.details.get("resumes")]
    if named:
        texts.append(
            f"its caller resumes {named[-1]['resumes']} after event "
            f"{named[-1]['after_event']}"
        )
        evidence = named[-1].get("stream_evidence", "")
        if evidence:
            texts.append(f"its version is judged by: {evidence}")
    known = [one.details for one in records if "stream_version" in one.details]
    if known and (named or len(known) > 1):
        details = known[-1]
        version = details["stream_version"] or "unknown"
        texts.append(
            f"the stream began at software version {version}, by "
            f"{details['stream_version_from']}, "
            f"{details['stream_version_age']} s before"
        )
    cut = [
        one.details
        for one in records
        if one.event == "attempt_ended"
        and int(one.details.get("incomplete_bytes", 0))
    ]
    if cut:
        texts.append(
            f"the server ended its response ({cut[-1]['framing']}) "
            f"{cut[-1]['incomplete_bytes']} bytes into an event"
        )
    return texts


def describe_versions(records):
    """Return a text on the configuration version of each host.

    If the hosts of a request held different versions, the older one can
    explain a decision that the newer one rules out.

    Args:
        records: `LogRecord` list of the request.
    """
    version_details = {
        record.host: record.details
        for record in records
        if "version_by" in record.details
    }
    return [
        f"{host} held version {details['version']}"
        f"{describe_era(details)} by "
        f"{details['version_by']} of {details['version_from']} for "
        f"{details['version_for']} s, confirmed {details['view_age']} s before"
        for host, details in version_details.items()
    ]


def describe_era(details):
    """Return a text on the era of a version, if the store was restored."""
    if details.get("era", "0") == "0":
        return ""
    return f" of era {details['era']}"


def describe_lateness(details):
    """Return a text for each latency target that a response missed.

    Args:
        details: Details of the record of its end, by name.
    """
    if "objective_ms" not in details or details.get("how") != "answered":
        return []
    first, objective = int(details["first_ms"]), int(details["objective_ms"])
    texts = []
    if first > objective:
        texts.append(
            f"first output late, after {first} ms with an objective of "
            f"{objective} ms"
        )
        predicted = float(details["predicted"]) * 1000
        if predicted <= objective:
            texts.append(f"prediction too low, {predicted:.0f} ms")
    if int(details["longest_gap_ms"]) > MIN_STALL_MILLIS:
        texts.append(f"stalled for {details['longest_gap_ms']} ms")
    return texts


def describe_preceding(placed, all_records):
    """Return a text on the requests placed at a server just before one.

    Args:
        placed: `LogRecord` of the placement of the request in question.
        all_records: `LogRecord` list of all requests.
    """
    server = placed.details["server"]
    preceding = [
        record
        for record in all_records
        if record.event == "placed"
        and record.details["server"] == server
        and 0 <= placed.millis - record.millis <= PRECEDING_WINDOW_MILLIS
        and record.request != placed.request
    ]
    if not preceding:
        return []
    longest = max(
        preceding, key=lambda record: float(record.details["predicted"])
    )
    return [
        f"{len(preceding)} other requests were sent to {server} "
        f"within {PRECEDING_WINDOW_MILLIS} ms before, {longest.request} the "
        f"slowest of them "
        f"(predicted {longest.details['predicted']} s, urgency "
        f"{longest.details['urgency']})"
    ]


def describe_limit(details):
    """Return a text on the limit that was exceeded and its state.

    Args:
        details: Details of the record of the refusal, by name.
    """
    share = int(details["units"]) / TOTAL_UNITS
    return (
        f", workspace {details['workspace']} asked for {details['cost']} "
        f"tokens with {details['left']} left at {details['counted_by']}, "
        f"which holds {share:.0%} of the limit, with a demand of "
        f"{details['demand']} tokens per second"
    )


def describe_refusal(record):
    """Return a text on why a request was refused and when to retry it."""
    text = f"refused: {record.details.get('reason', '')}"
    if "predicted" in record.details:
        text += f", predicted {record.details['predicted']} s"
    if "version" in record.details:
        text += f", at version {record.details['version']}"
    if "counted_by" in record.details:
        text += describe_limit(record.details)
    if record.details.get("part"):
        text += f", for part {record.details['part']} of its prompt"
    if record.details.get("evidence"):
        text += (
            f", server crashes while it was running: "
            f"{record.details['evidence']}"
        )
    if record.details.get("closed_by"):
        text += f", no server available: {record.details['closed_by']}"
    if "retry_after" not in record.details:
        return text
    return f"{text}, retry after {record.details['retry_after']} s"
