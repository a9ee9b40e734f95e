"""Clients of the store and the platform over their HTTP protocols."""
