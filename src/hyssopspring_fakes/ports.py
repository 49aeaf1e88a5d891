"""Ports of loopback addresses at which nobody listens."""

import itertools
import os
import socket

from hyssopspring.core.addresses import split_address

__all__ = ["free_address", "free_ports", "is_free"]

LOOPBACK = "127.0.0.1"

FIRST_PORT, LAST_PORT = 20_000, 32_000
"""Ports below those from which the system takes the ports of connections. A
port among these that was seen to be free could be taken by a connection
before a process listens at it."""

PORTS_PER_PROCESS = 10

START = FIRST_PORT + os.getpid() * PORTS_PER_PROCESS % (LAST_PORT - FIRST_PORT)
"""Two processes begin to look at different ports."""

CANDIDATES = (*range(START, LAST_PORT), *range(FIRST_PORT, START))
UNUSED = itertools.cycle(CANDIDATES)


def is_free(address):
    """Return whether nobody listens at an ``ip:port``."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(split_address(address))
        except OSError:
            return False
    return True


def free_address():
    """Return a loopback address with a free port.

    No port is returned twice before all others have been tried.

    Raises:
        OSError: No port is free.
    """
    for port in itertools.islice(UNUSED, len(CANDIDATES)):
        address = f"{LOOPBACK}:{port}"
        if is_free(address):
            return address
    raise OSError("no port is free")


def free_ports(ips, count):
    """Return the first of *count* consecutive ports, free at all *ips*.

    Raises:
        OSError: There are no such ports.
    """
    for first in CANDIDATES:
        if all(
            is_free(f"{ip}:{port}")
            for port in range(first, first + count)
            for ip in ips
        ):
            return first
    raise OSError(f"no {count} consecutive ports are free")
