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

__all__ = ["main", "plain_options"]

PLAIN_OPTIONS = {
    "--settings": "path",
    "--metrics": "metrics_port",
    "--without": "without",
}
"""Options with a value, and the parameters of the command."""


def plain_options(arguments):
    """Return the parameters of a plain command line, or None.

    A plain command line consists of options with a value and needs no parser.
    Everything else, including all mistakes, is left to `click`, which is not
    imported otherwise.
    """
    parameters = {"metrics_port": 0, "without": "", "check": False}
    for name, value in zip(arguments[::2], arguments[1::2], strict=False):
        if name not in PLAIN_OPTIONS or value.startswith("-"):
            return None
        if name == "--metrics":
            if not (value.isascii() and value.isdigit()):
                return None
            value = int(value)
        parameters[PLAIN_OPTIONS[name]] = value
    return None if len(arguments) % 2 else parameters


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

    parameters = plain_options(sys.argv[1:])
    gc.freeze()
    gc.enable()
    if parameters is None:
        from .command import main as run_command_line

        run_command_line()
        return
    if "path" not in parameters:
        from ..platform.settings import PATH_VARIABLE

        parameters["path"] = os.environ.get(PATH_VARIABLE, "")
    run_command(**parameters)


if __name__ == "__main__":
    main()
