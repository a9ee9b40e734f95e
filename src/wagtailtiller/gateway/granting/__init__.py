"""Slots, which frontends request and the owner of a pool grants."""
