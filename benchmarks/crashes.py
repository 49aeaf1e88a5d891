"""Measure the cost of tracking requests that crash servers."""

from functools import partial

from entry_slopes import min_micros
from twisted.web.http_headers import Headers

from hyssopspring.entry.crashdetection import fingerprint_of
from hyssopspring.entry.crashsharing import suspect_row
from hyssopspring.entry.messages import SuspectsMessage, encode_message
from hyssopspring.traffic.crashes import CrashTracker
from hyssopspring.traffic.partruns import MAX_PART_RUNS, PartRuns
from hyssopspring.traffic.suspects import ServerCrash, Suspect, part_key

HOST = "front-dar-kariakoo-1"
CALLER = "100.64.0.7"
REQUESTS_PER_CRASH = 60
"""Requests that were about to start on a server when it crashed."""

SWEEP_ROUNDS = 20
"""Calls per repeat of the functions that visit all tracked requests."""


def instance_id(number):
    """Return the ID of a server instance."""
    return f"i-{number:010d}/1786947754617"


def make_crashes(count):
    """Return a tracker of *count* requests, one in 20 of them blocked."""
    crashes = CrashTracker()
    for number in range(count):
        first = number // REQUESTS_PER_CRASH * 3
        for one in range(1 if number % 20 else 3):
            end = ServerCrash(instance_id(first + one), 0.0, HOST, CALLER)
            crashes.record_crash(f"{number:032}", end, 0.0)
    return crashes


def make_part_crashes(count):
    """Return a tracker in which a part and *count* requests met crashes.

    All requests were at the three servers that crashed under the part.
    """
    crashes = CrashTracker()
    for number in range(3):
        end = ServerCrash(
            instance_id(number), 0.0, HOST, CALLER, isolated=True
        )
        for one in range(count):
            crashes.record_crash(f"{one:032}", end, 0.0)
        crashes.record_crash(part_key("bad"), end, 0.0)
    return crashes


def print_part_costs():
    """Print the cost of the records of parts."""
    runs = PartRuns()
    for number in range(MAX_PART_RUNS):
        runs.record([part_key(f"{number:08x}")], 0.0)
    keys = [part_key("common"), part_key("usual")]
    micros = min_micros(lambda: runs.record(keys, 1.0))
    print(f"record of a run with two shared parts: {micros:.1f} us")
    sound_parts = dict.fromkeys(keys, CALLER)
    all_parts = {**sound_parts, part_key("bad"): CALLER}
    for count in (10, 60, 200):
        crashes = make_part_crashes(count)
        sound, bad = (
            min_micros(partial(crashes.assess, "new", CALLER, 9.0, callers))
            for callers in (sound_parts, all_parts)
        )
        print(
            f"{count} requests at three crashed servers: verdict on sound "
            f"parts {sound:.1f} us, on a suspected part {bad:.0f} us"
        )


def message_size(ends):
    """Return the bytes of a message on a request with *ends* crashes."""
    suspect = Suspect("f" * 32)
    for number in range(ends):
        end = ServerCrash(instance_id(number), 0.0, HOST, CALLER)
        suspect.crashes[end.server] = end
    return len(
        encode_message(SuspectsMessage(HOST, [suspect_row(suspect, 9.0)]))
    )


def main():
    """Print the cost of each operation by size."""
    headers = Headers({b"host": [b"a.example"]})
    for size in (0, 2_000, 20_000, 200_000):
        body = b"x" * size
        micros = min_micros(
            lambda one=body: fingerprint_of(b"POST", headers, b"/a", one), 200
        )
        print(f"fingerprint of a body of {size} bytes: {micros:.1f} us")
    for count in (10, 100, 1_000, 2_000):
        crashes = make_crashes(count)
        last = f"{count - 1:032}"
        verdict = min_micros(
            lambda c=crashes, f=last: c.verdict(f, CALLER, 9.0)
        )
        judge = min_micros(lambda c=crashes: c.block_causes(0.1), SWEEP_ROUNDS)
        expire = min_micros(lambda c=crashes: c.expire(1.0), SWEEP_ROUNDS)
        print(
            f"{count} requests tracked: verdict {verdict:.1f} us, "
            f"judge {judge:.0f} us, expire {expire:.0f} us"
        )
    print_part_costs()
    print(
        f"message: {message_size(1)} bytes with one crash, "
        f"{message_size(3)} with 3"
    )


if __name__ == "__main__":
    main()
