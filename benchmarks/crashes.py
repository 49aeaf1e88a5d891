"""Measure what it costs to remember requests under which servers end."""

from entry_slopes import best
from twisted.web.http_headers import Headers

from hyssopspring.entry.crashdetection import fingerprint_of
from hyssopspring.entry.crashsharing import suspect_row
from hyssopspring.entry.messages import SuspectsMessage, encode_message
from hyssopspring.traffic.crashes import CrashTracker, ServerCrash, Suspect

HOST = "front-dar-kariakoo-1"
CALLER = "100.64.0.7"
NEAR_ONE_SERVER = 60
"""Requests that were about to begin on a server that ended."""

LOOKS = 20


def server(number):
    """Return the name of a start of a server."""
    return f"i-{number:010d}/1786947754617"


def filled(count):
    """Return a host's knowledge of *count* requests, one in 20 blocked."""
    crashes = CrashTracker()
    for number in range(count):
        first = number // NEAR_ONE_SERVER * 3
        for one in range(1 if number % 20 else 3):
            end = ServerCrash(server(first + one), 0.0, HOST, CALLER)
            crashes.record_crash(f"{number:032}", end, 0.0)
    return crashes


def message(ends):
    """Return the bytes of the message on a request with *ends* ends."""
    suspect = Suspect("f" * 32)
    for number in range(ends):
        end = ServerCrash(server(number), 0.0, HOST, CALLER)
        suspect.crashes[end.server] = end
    return len(
        encode_message(SuspectsMessage(HOST, [suspect_row(suspect, 9.0)]))
    )


def main():
    """Print all slopes."""
    headers = Headers({b"host": [b"a.example"]})
    for size in (0, 2_000, 20_000, 200_000):
        body = b"x" * size
        micros = best(
            lambda one=body: fingerprint_of(b"POST", headers, b"/a", one), 200
        )
        print(f"fingerprint of a body of {size} bytes: {micros:.1f} us")
    for count in (10, 100, 1_000, 2_000):
        crashes = filled(count)
        last = f"{count - 1:032}"
        verdict = best(lambda c=crashes, f=last: c.verdict(f, CALLER, 9.0))
        judge = best(lambda c=crashes: c.block_causes(0.1), LOOKS)
        expire = best(lambda c=crashes: c.expire(1.0), LOOKS)
        print(
            f"{count} requests known: verdict {verdict:.1f} us, "
            f"judge {judge:.0f} us, expire {expire:.0f} us"
        )
    print(f"message: {message(1)} bytes with one end, {message(3)} with 3")


if __name__ == "__main__":
    main()
