"""Tests of wagtailtiller.upkeep."""
