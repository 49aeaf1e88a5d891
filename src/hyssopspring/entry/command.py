"""Command line of ``hyssop-entry``."""

import os

import click

from ..platform.settings import PATH_VARIABLE
from .launch import METRICS_VARIABLE
from .process import run_command

__all__ = ["main"]


@click.command("hyssop-entry")
@click.option(
    "--settings",
    "path",
    default=lambda: os.environ.get(PATH_VARIABLE, ""),
    metavar="FILE",
    help=f"Platform settings file; defaults to ${PATH_VARIABLE}.",
)
@click.option(
    "--metrics",
    "metrics_port",
    default=0,
    envvar=METRICS_VARIABLE,
    help="Port of the metrics page; 0 disables it.",
)
@click.option(
    "--without",
    default="",
    metavar="NAME,...",
    help="Policy mechanisms to disable, to measure their effect.",
)
@click.option(
    "--check", is_flag=True, help="Check the settings file and exit."
)
@click.version_option(package_name="hyssopspring")
def main(path, metrics_port, without, check):
    """Run an entry process on the users' platform."""
    run_command(path, metrics_port, without, check)
