"""Simulation of whole days: the real processes in one program, virtual time."""
