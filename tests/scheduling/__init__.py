"""Tests of wagtailtiller.scheduling."""
