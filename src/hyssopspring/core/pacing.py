"""Limits on how often a host does something."""


class TokenBucket:
    """Token bucket over a clock that is passed in.

    Args:
        rate: Tokens a second.
        burst: Most tokens that are saved up.
    """

    def __init__(self, rate, burst):
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.refilled_at = 0.0

    def refill(self, now):
        """Add what has come in since the last call."""
        gained = max(0.0, now - self.refilled_at) * self.rate
        self.tokens = min(self.burst, self.tokens + gained)
        self.refilled_at = max(self.refilled_at, now)

    def try_take(self, now):
        """Take a token at *now*; return whether there was one."""
        self.refill(now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def time_to_token(self, now):
        """Return the seconds until there is a token."""
        self.refill(now)
        if self.tokens >= 1.0:
            return 0.0
        return (1.0 - self.tokens) / self.rate
