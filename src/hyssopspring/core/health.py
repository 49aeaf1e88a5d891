"""Whether a service that others need is known to be down."""


class Health:
    """Remember that a service does not answer, until it does.

    Callers that need the service are refused at once while it is down,
    instead of each waiting for its own timeout. Only a periodic probe,
    for which no caller waits, finds out that it is back.
    """

    def __init__(self):
        self.down = False

    def record_failure(self):
        """Note a call without an answer; return whether that is news."""
        changed = not self.down
        self.down = True
        return changed

    def record_success(self):
        """Note an answer; return whether that is news."""
        changed = self.down
        self.down = False
        return changed
