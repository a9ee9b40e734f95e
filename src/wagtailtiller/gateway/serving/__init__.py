"""Service for callers: admits requests, runs them and answers them."""
