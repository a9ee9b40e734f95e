"""Tests of wagtailtiller.entry."""
