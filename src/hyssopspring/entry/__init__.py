"""The entry program: sockets, timers and wiring round `traffic`."""
