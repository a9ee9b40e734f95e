"""The callers' side: admits requests, runs them and answers."""
