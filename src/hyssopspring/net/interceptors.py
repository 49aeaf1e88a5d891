"""Interceptors that a request passes before its first attempt."""


class Interceptors:
    """Chain of interceptors, which are called in order.

    Args:
        interceptors: Objects with a coroutine method
            ``intercept(request, run)`` that calls *run* or returns an
            outcome of its own, and an attribute ``wait``, the `Wait` of a
            request that it holds.
    """

    def __init__(self, *interceptors):
        self.interceptors = interceptors

    async def intercept(self, request, run, note_wait):
        """Run the request unless an interceptor refuses it.

        Args:
            request: The `Request`.
            run: Coroutine function that executes it.
            note_wait: Called with what the request waits for.
        """
        for interceptor in reversed(self.interceptors):
            run = _wrap(interceptor, request, run, note_wait)
        return await run()


def _wrap(interceptor, request, run, note_wait):
    """Return a coroutine function that calls *interceptor* with *run*."""

    async def intercept():
        note_wait(interceptor.wait)
        return await interceptor.intercept(request, run)

    return intercept
