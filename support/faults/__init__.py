"""Fault injection into the real processes of a site."""
