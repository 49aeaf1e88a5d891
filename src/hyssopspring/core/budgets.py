"""Retry budgets, which bound the ratio of retries to first attempts."""

RETRY_RATIO = 0.2
"""Retries allowed for each first attempt, on average."""

MAX_RETRY_BALANCE = 10.0
"""Upper bound of the retries that can be accumulated."""


class RetryBudget:
    """Allow retries only in proportion to recent first attempts.

    The budget prevents retry storms: when most attempts fail, each layer
    that retries multiplies the load, and the servers do not recover. Each
    first attempt deposits a fraction of a retry, so retries stay below
    that fraction of the traffic, independent of the settings of
    individual requests.

    Args:
        ratio: Retries deposited by one first attempt.
        max_balance: Maximum number of retries that can be accumulated.
    """

    def __init__(self, *, ratio=RETRY_RATIO, max_balance=MAX_RETRY_BALANCE):
        self.ratio = ratio
        self.max_balance = max_balance
        self.balance = max_balance

    def deposit(self):
        """Deposit the fraction of a retry that a first attempt earns."""
        self.balance = min(self.max_balance, self.balance + self.ratio)

    def try_withdraw(self):
        """Withdraw one retry if the balance allows it.

        Returns:
            Whether the retry is allowed.
        """
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
