"""Budgets that keep retries a small share of the traffic."""

RETRY_SHARE = 0.2
RETRY_RESERVE = 10.0


class RetryBudget:
    """Allow retries only as a share of recent first attempts.

    This guards against retry storms: when most attempts fail, each layer
    that retries multiplies the load and the servers never recover. First
    attempts earn a fraction of a retry, so that retries stay below that
    fraction of the traffic whatever the settings of single requests say.

    Args:
        share: Retries earned by one first attempt.
        reserve: Most retries that can be saved up.
    """

    def __init__(self, *, share=RETRY_SHARE, reserve=RETRY_RESERVE):
        self.share = share
        self.reserve = reserve
        self.saved = reserve

    def earn(self):
        """Count one first attempt."""
        self.saved = min(self.reserve, self.saved + self.share)

    def spend(self):
        """Take one retry and return whether there was one to take."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
