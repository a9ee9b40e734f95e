"""Tests of the verdicts of ``make faults``."""
