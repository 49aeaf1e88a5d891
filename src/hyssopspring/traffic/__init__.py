"""Decisions on requests: routes, servers, placement, retry budgets.

Nothing here reads a clock, a socket or a file. Times are passed in, in seconds
of the runtime's clock.
"""
