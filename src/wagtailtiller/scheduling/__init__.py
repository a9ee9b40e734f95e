"""Decisions about tasks and VMs: who runs next and where.

Nothing here does I/O or reads a clock, so that tests drive it in virtual time.
"""
