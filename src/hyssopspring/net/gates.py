"""What a request passes before its first attempt."""


class Gates:
    """Pass requests through all gates, in order.

    Args:
        gates: Each has a coroutine method ``carry_out(request, run)``
            that calls *run* or returns an outcome of its own.
    """

    def __init__(self, *gates):
        self.gates = gates

    async def carry_out(self, request, run):
        """Run the request if all gates let it through.

        Args:
            request: The `Request`.
            run: Coroutine function that carries it out.
        """
        for gate in reversed(self.gates):
            run = _enter(gate, request, run)
        return await run()


def _enter(gate, request, run):
    """Return a coroutine function that passes *gate* before *run*."""
    return lambda: gate.carry_out(request, run)
