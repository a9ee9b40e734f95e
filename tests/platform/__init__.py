"""Tests of wagtailtiller.platform."""
