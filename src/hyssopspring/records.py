"""Read structured log lines of several processes into one order."""

import msgspec

from .core.exceptions import ProtocolError
from .core.shares import WHOLE

__all__ = ["LogRecord", "cause_of", "format_record", "read_records"]

STANDARD_FIELDS = ("ms", "n", "host", "event", "number", "request")


PRECEDING_WINDOW_MILLIS = 2500
"""Milliseconds before a placement in which others count as before it: the
reading of the longest prompts takes two seconds."""

MIN_STALL_MILLIS = 300
"""Milliseconds without an event from which a stream seems to stand still:
the shortest bound on any of the users' sheets."""


class LogRecord(msgspec.Struct, frozen=True):
    """One log line.

    Attributes:
        millis: Hybrid logical time, wall-clock part in milliseconds.
        counter: Hybrid logical time, part that orders equal times.
        host: Host that wrote it.
        event: Name in the catalogue.
        request: Request that it belongs to, or an empty string.
        details: What else it says, by name.
    """

    millis: int
    counter: int
    host: str
    event: str
    request: str
    details: dict


def read_records(lines):
    """Return the records of *lines* in one order.

    Text before the first brace, such as the mark of a log collector, is
    left out; so are lines that are no records.

    Args:
        lines: Lines of text of any number of processes.
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
    """Return the record of one line.

    Raises:
        ProtocolError: It is none.
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
        raise ProtocolError(f"log line: {problem}") from None


def format_record(record):
    """Return one line for a person."""
    details = " ".join(f"{k}={v}" for k, v in record.details.items() if v)
    return (
        f"{record.millis} {record.counter} {record.host} "
        f"{record.request or '-'} {record.event} {details}"
    )


def cause_of(records, all_records=()):
    """Return why a request ended as it did, from records alone.

    Args:
        records: Its `LogRecord` list, in order.
        all_records: `LogRecord` list of all requests, from which the requests
            placed just before it at its server are found; may be left out.

    Returns:
        One line of text.
    """
    refused = [record for record in records if record.event == "not_run"]
    ended_attempts = [
        record for record in records if record.event == "attempt_ended"
    ]
    sent_away = [record for record in records if record.event == "sent_away"]
    final = [
        record for record in records if record.event in ("answered", "unknown")
    ]
    if not final and not refused:
        return "it has not ended, or its end was left out"
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
    for record in refused:
        parts.append(describe_refusal(record))
    parts += describe_lateness(last.details)
    placed = [record for record in records if record.event == "placed"]
    if placed and len(parts) > 1:
        parts += describe_preceding(placed[-1], all_records)
    return "; ".join(parts + describe_versions(records))


def describe_versions(records):
    """Return a text for each host on the configuration that it held.

    Hosts that held different ones explain a request that was handled as
    only an older one allows.

    Args:
        records: `LogRecord` list of a request.
    """
    version_details = {
        record.host: record.details
        for record in records
        if "version_by" in record.details
    }
    return [
        f"{host} held version {details['version']} by "
        f"{details['version_by']} of {details['version_from']} for "
        f"{details['version_for']} s, confirmed {details['view_age']} s before"
        for host, details in version_details.items()
    ]


def describe_lateness(details):
    """Return texts that say how an answer missed what users want.

    Args:
        details: Those of the record of its end, by name.
    """
    if "objective_ms" not in details or details.get("how") != "answered":
        return []
    first, objective = int(details["first_ms"]), int(details["objective_ms"])
    texts = []
    if first > objective:
        texts.append(
            f"began late, after {first} ms with an objective of {objective} ms"
        )
        predicted = float(details["predicted"]) * 1000
        if predicted <= objective:
            texts.append(f"wrongly predicted, {predicted:.0f} ms")
    if int(details["longest_gap_ms"]) > MIN_STALL_MILLIS:
        texts.append(f"stood still for {details['longest_gap_ms']} ms")
    return texts


def describe_preceding(placed, all_records):
    """Return a text on the requests sent to a server just before record.

    Args:
        placed: The `LogRecord` of its placement.
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
        f"{len(preceding)} others were sent to {server} within "
        f"{PRECEDING_WINDOW_MILLIS} ms before, {longest.request} the slowest "
        f"of them "
        f"(predicted {longest.details['predicted']} s, urgency "
        f"{longest.details['urgency']})"
    ]


def describe_limit(details):
    """Return which limit was reached, and how it stood.

    Args:
        details: Those of the record of the refusal, by name.
    """
    share = int(details["units"]) / WHOLE
    return (
        f", workspace {details['workspace']} asked for {details['cost']} "
        f"tokens with {details['left']} left at {details['counted_by']}, "
        f"which holds {share:.0%} of the limit and is asked for "
        f"{details['demand']} a second"
    )


def describe_refusal(record):
    """Return why and until when a request was refused."""
    text = f"refused: {record.details.get('reason', '')}"
    if "predicted" in record.details:
        text += f", predicted {record.details['predicted']} s"
    if "version" in record.details:
        text += f", at version {record.details['version']}"
    if "counted_by" in record.details:
        text += describe_limit(record.details)
    if record.details.get("evidence"):
        text += f", servers ended under it: {record.details['evidence']}"
    if record.details.get("closed_by"):
        text += f", no server open: {record.details['closed_by']}"
    if "retry_after" not in record.details:
        return text
    return f"{text}, come back in {record.details['retry_after']} s"
