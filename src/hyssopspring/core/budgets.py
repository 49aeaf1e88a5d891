"""Budgets that keep retries a small share of the traffic."""

RETRY_RATIO = 0.2
MAX_RETRY_BALANCE = 10.0


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

    def __init__(self, *, ratio=RETRY_RATIO, max_balance=MAX_RETRY_BALANCE):
        self.ratio = ratio
        self.max_balance = max_balance
        self.balance = max_balance

    def deposit(self):
        """Count one first attempt."""
        self.balance = min(self.max_balance, self.balance + self.ratio)

    def try_withdraw(self):
        """Take one retry and return whether there was one to take."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
