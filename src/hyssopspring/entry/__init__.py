"""Entry program: sockets and timers around the logic of `traffic`."""
