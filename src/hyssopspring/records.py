"""Read structured log lines of several processes into one order."""

import msgspec

from .core.exceptions import ProtocolError
from .core.shares import TOTAL_UNITS

__all__ = ["Record", "cause_of", "read_records", "record_line"]

HIDDEN = ("ms", "n", "host", "event", "number", "request")


BEFORE_MILLIS = 2500
"""Milliseconds before a placement in which others count as before it: the
reading of the longest prompts takes two seconds."""

LONG_GAP = 300
"""Milliseconds without an event from which a stream seems to stand still:
the shortest bound on any of the users' sheets."""


class Record(msgspec.Struct, frozen=True):
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
    records.sort(key=lambda one: (one.millis, one.counter, one.host))
    return records


def read_record(text):
    """Return the record of one line.

    Raises:
        ProtocolError: It is none.
    """
    try:
        values = msgspec.json.decode(text)
        return Record(
            int(values["ms"]),
            int(values["n"]),
            values["host"],
            values["event"],
            values.get("request", ""),
            {name: values[name] for name in values if name not in HIDDEN},
        )
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as problem:
        raise ProtocolError(f"log line: {problem}") from None


def record_line(record):
    """Return one line for a person."""
    details = " ".join(f"{k}={v}" for k, v in record.details.items() if v)
    return (
        f"{record.millis} {record.counter} {record.host} "
        f"{record.request or '-'} {record.event} {details}"
    )


def cause_of(records, others=()):
    """Return why a request ended as it did, from records alone.

    Args:
        records: Its `Record` list, in order.
        others: `Record` list of all requests, to tell what stood before
            it at its server; may be left out.

    Returns:
        One line of text.
    """
    refused = [one for one in records if one.event == "not_run"]
    ended = [one for one in records if one.event == "attempt_ended"]
    away = [one for one in records if one.event == "sent_away"]
    final = [one for one in records if one.event in ("answered", "unknown")]
    if not final and not refused:
        return "it has not ended, or its end was left out"
    last = (final or refused)[-1]
    parts = [f"{last.details.get('how', 'refused')} by {last.host}"]
    for one in ended:
        parts.append(
            f"attempt at {one.details['at']} ended: {one.details['reason']}"
        )
    for one in away:
        parts.append(
            f"sent to {one.details['region']}, predicted "
            f"{one.details['predicted']} s"
        )
    for one in refused:
        parts.append(refusal_text(one))
    parts += lateness(last.details)
    placed = [one for one in records if one.event == "placed"]
    if placed and len(parts) > 1:
        parts += stood_before(placed[-1], others)
    return "; ".join(parts + versions(records))


def versions(records):
    """Return a text for each host on the configuration that it held.

    Hosts that held different ones explain a request that was handled as
    only an older one allows.

    Args:
        records: `Record` list of a request.
    """
    held = {
        one.host: one.details for one in records if "version_by" in one.details
    }
    return [
        f"{host} held version {one['version']} by {one['version_by']} of "
        f"{one['version_from']} for {one['version_for']} s, confirmed "
        f"{one['view_age']} s before"
        for host, one in held.items()
    ]


def lateness(details):
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
    if int(details["longest_gap_ms"]) > LONG_GAP:
        texts.append(f"stood still for {details['longest_gap_ms']} ms")
    return texts


def stood_before(placed, others):
    """Return a text on the requests sent to a server just before one.

    Args:
        placed: The `Record` of its placement.
        others: `Record` list of all requests.
    """
    server = placed.details["server"]
    before = [
        one
        for one in others
        if one.event == "placed"
        and one.details["server"] == server
        and 0 <= placed.millis - one.millis <= BEFORE_MILLIS
        and one.request != placed.request
    ]
    if not before:
        return []
    longest = max(before, key=lambda one: float(one.details["predicted"]))
    return [
        f"{len(before)} others were sent to {server} within "
        f"{BEFORE_MILLIS} ms before, {longest.request} the slowest of them "
        f"(predicted {longest.details['predicted']} s, urgency "
        f"{longest.details['urgency']})"
    ]


def limit_text(details):
    """Return which limit was reached, and how it stood.

    Args:
        details: Those of the record of the refusal, by name.
    """
    share = int(details["units"]) / TOTAL_UNITS
    return (
        f", workspace {details['workspace']} asked for {details['cost']} "
        f"tokens with {details['left']} left at {details['counted_by']}, "
        f"which holds {share:.0%} of the limit and is asked for "
        f"{details['demand']} a second"
    )


def refusal_text(record):
    """Return why and until when a request was refused."""
    text = f"refused: {record.details.get('reason', '')}"
    if "predicted" in record.details:
        text += f", predicted {record.details['predicted']} s"
    if "version" in record.details:
        text += f", at version {record.details['version']}"
    if "counted_by" in record.details:
        text += limit_text(record.details)
    if record.details.get("evidence"):
        text += f", servers ended under it: {record.details['evidence']}"
    if record.details.get("closed_by"):
        text += f", no server open: {record.details['closed_by']}"
    if "retry_after" not in record.details:
        return text
    return f"{text}, come back in {record.details['retry_after']} s"
