"""Token bucket that limits retries to a small share of the requests."""

_TOKENS_PER_REQUEST = 0.1
_MAX_TOKENS = 20.0
MAX_ATTEMPTS = 4


class RetryBudget:
    """Budget that allows one retry for several requests.

    Each request adds a fraction of a token; each retry takes one token.
    """

    def __init__(self) -> None:
        self._tokens = _MAX_TOKENS

    def earn(self) -> None:
        """Add the fraction of a token that a new request earns."""
        self._tokens = min(_MAX_TOKENS, self._tokens + _TOKENS_PER_REQUEST)

    def spend(self) -> bool:
        """Take the token for a retry.

        Returns:
            Whether the budget had a token.
        """
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
