"""Rate limiting of operations of a host."""


class TokenBucket:
    """Token bucket; the current time is passed to each call.

    Args:
        rate: Tokens that are added per second.
        burst: Capacity of the bucket, in tokens.
    """

    def __init__(self, rate, burst):
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.refilled_at = 0.0

    def refill(self, now):
        """Add the tokens that accrued since the last call."""
        gained = max(0.0, now - self.refilled_at) * self.rate
        self.tokens = min(self.burst, self.tokens + gained)
        self.refilled_at = max(self.refilled_at, now)

    def try_take(self, now):
        """Take a token at the time *now*; return whether one was available."""
        self.refill(now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def time_to_token(self, now):
        """Return the seconds until a token is available."""
        self.refill(now)
        if self.tokens >= 1.0:
            return 0.0
        return (1.0 - self.tokens) / self.rate
