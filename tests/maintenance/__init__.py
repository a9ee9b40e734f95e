"""Tests of wagtailtiller.maintenance."""
