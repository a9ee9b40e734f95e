"""Whole days of the real processes in one program, in virtual time."""
