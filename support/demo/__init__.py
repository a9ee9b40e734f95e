"""Demonstration of a whole site on loopback, checked by an oracle."""
