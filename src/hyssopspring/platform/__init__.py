"""Adapter between the users' platform and the gateway.

Only this package uses the names of the platform's endpoints, headers and
settings. It contains no policy: it decodes input into types of the gateway
and encodes output.
"""
