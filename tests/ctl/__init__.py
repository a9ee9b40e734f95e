"""Tests of the operator commands."""
