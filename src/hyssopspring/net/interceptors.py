"""Interceptors that a request passes before its first attempt."""


class Interceptors:
    """Chain of interceptors, which are called in order.

    Args:
        interceptors: Objects with a coroutine method
            ``intercept(request, run)`` that calls *run* or returns an
            outcome of its own.
    """

    def __init__(self, *interceptors):
        self.interceptors = interceptors

    async def intercept(self, request, run):
        """Run the request unless an interceptor refuses it.

        Args:
            request: The `Request`.
            run: Coroutine function that executes it.
        """
        for interceptor in reversed(self.interceptors):
            run = _wrap(interceptor, request, run)
        return await run()


def _wrap(interceptor, request, run):
    """Return a coroutine function that calls *interceptor* with *run*."""
    return lambda: interceptor.intercept(request, run)
