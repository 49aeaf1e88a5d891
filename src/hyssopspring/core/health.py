"""Availability of a service that other components depend on."""


class Health:
    """Circuit breaker for a service that does not respond.

    While the service is down, callers that need it are refused
    immediately instead of each waiting for a timeout. Only a periodic
    probe, which no caller waits for, detects that it is available again.
    """

    def __init__(self):
        self.down = False

    def record_failure(self):
        """Record a failed call; return whether the state changed."""
        changed = not self.down
        self.down = True
        return changed

    def record_success(self):
        """Record a successful call; return whether the state changed."""
        changed = self.down
        self.down = False
        return changed
