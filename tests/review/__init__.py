"""Tests of what the cases in ``review/`` use."""
