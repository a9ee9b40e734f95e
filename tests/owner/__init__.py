"""Tests of wagtailtiller.owner."""
