"""Read structured log lines of several processes into one order."""

import msgspec

from .core.exceptions import ProtocolError

__all__ = ["Record", "cause_of", "read_records", "record_line"]

HIDDEN = ("ms", "n", "host", "event", "number", "request")


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


def cause_of(records):
    """Return why a request ended as it did, from its records alone.

    Args:
        records: Its `Record` list, in order.

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
    return "; ".join(parts)


def refusal_text(record):
    """Return why and until when a request was refused."""
    text = f"refused: {record.details.get('reason', '')}"
    if "predicted" in record.details:
        text += f", predicted {record.details['predicted']} s"
    if "version" in record.details:
        text += f", at version {record.details['version']}"
    return f"{text}, come back in {record.details['retry_after']} s"
