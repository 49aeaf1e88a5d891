"""What a request passes before its first attempt."""


class Gates:
    """Pass requests straight on."""

    async def carry_out(self, request, run):
        """Run the request.

        Args:
            request: The `Request`.
            run: Coroutine function that carries it out.
        """
        return await run()
