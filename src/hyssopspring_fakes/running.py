"""Run one stand-in as a process of its own."""

import click


def run_site(reactor, site, address):
    """Listen and run the reactor until the process is told to stop."""
    host, port = address
    reactor.listenTCP(port, site, interface=host)
    click.echo(f"listening on {host}:{port}")
    reactor.run()
