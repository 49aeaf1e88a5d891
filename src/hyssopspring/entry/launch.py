"""Fast start of an entry process: after a power loss no other host serves.

Garbage collection is disabled while modules load. They allocate several
hundred thousand objects that all stay alive, and scanning them repeatedly
takes a tenth of the load time (302 ms with collection, 272 ms without, the
minimum of fifteen starts). Later collections skip the objects that are loaded
by then.
"""

import gc
import os
import signal
import sys

__all__ = ["environment_options", "main"]

METRICS_VARIABLE = "HYSSOP_METRICS_PORT"
"""Environment variable with the port of the metrics page."""


def environment_options():
    """Return the options that the environment states, or None.

    Without a command line there is nothing to parse, and `click` is not
    loaded. An invalid port is left to `click`, which reads the same variables
    and explains the mistake.
    """
    from ..platform.settings import PATH_VARIABLE

    port = os.environ.get(METRICS_VARIABLE, "0")
    if not (port.isascii() and port.isdigit()):
        return None
    return {
        "path": os.environ.get(PATH_VARIABLE, ""),
        "metrics_port": int(port),
        "without": "",
        "check": False,
    }


def main():
    """Load the program without garbage collection, then run it.

    SIGHUP is ignored until the program handles it as a reload; by default the
    signal would end the process.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    gc.disable()
    from .deferredmodules import deferred_modules

    with deferred_modules():
        from .process import run_command

    from ..net.allocation import map_large_blocks

    map_large_blocks()
    options = None if sys.argv[1:] else environment_options()
    gc.freeze()
    gc.enable()
    if options is None:
        from .command import main as run_command_line

        run_command_line()
    else:
        run_command(**options)


if __name__ == "__main__":
    main()
