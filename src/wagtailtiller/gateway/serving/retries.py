"""A token bucket that keeps retries to a small part of the requests."""

_TOKENS_PER_REQUEST = 0.1
_MOST_TOKENS = 20.0
MOST_ATTEMPTS = 4


class RetryBudget:
    """Earns a part of a retry with each request; a retry spends a whole."""

    def __init__(self) -> None:
        self._tokens = _MOST_TOKENS

    def earn(self) -> None:
        """Note a new request."""
        self._tokens = min(_MOST_TOKENS, self._tokens + _TOKENS_PER_REQUEST)

    def spend(self) -> bool:
        """Take a retry out of the budget; False when it is used up."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
