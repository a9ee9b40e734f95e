"""Interfaces to the systems outside: the store and the platform."""
