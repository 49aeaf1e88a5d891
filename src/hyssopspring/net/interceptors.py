"""What a request passes before its first attempt."""


class Interceptors:
    """Pass requests through all gates, in order.

    Args:
        interceptors: Each has a coroutine method ``intercept(request, run)``
            that calls *run* or returns an outcome of its own.
    """

    def __init__(self, *interceptors):
        self.interceptors = interceptors

    async def intercept(self, request, run):
        """Run the request if all gates let it through.

        Args:
            request: The `Request`.
            run: Coroutine function that carries it out.
        """
        for interceptor in reversed(self.interceptors):
            run = _wrap(interceptor, request, run)
        return await run()


def _wrap(interceptor, request, run):
    """Return a coroutine function that passes *gate* before *run*."""
    return lambda: interceptor.intercept(request, run)
