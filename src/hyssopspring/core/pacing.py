"""Limits on how often a host does something."""


class Pacer:
    """Token bucket over a clock that is passed in.

    Args:
        rate: Tokens a second.
        burst: Most tokens that are saved up.
    """

    def __init__(self, rate, burst):
        self.rate = rate
        self.burst = burst
        self.saved = burst
        self.at = 0.0

    def refill(self, now):
        """Add what has come in since the last call."""
        gained = max(0.0, now - self.at) * self.rate
        self.saved = min(self.burst, self.saved + gained)
        self.at = max(self.at, now)

    def take(self, now):
        """Take a token at *now*; return whether there was one."""
        self.refill(now)
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True

    def wait(self, now):
        """Return the seconds until there is a token."""
        self.refill(now)
        if self.saved >= 1.0:
            return 0.0
        return (1.0 - self.saved) / self.rate
