"""Decisions on routed traffic: routes, servers, placement, budgets.

Nothing here reads a clock, a socket or a file; times are passed in, in
seconds of the runtime's clock.
"""
