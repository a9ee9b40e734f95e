"""Tests of wagtailtiller.jobs."""
