"""Tests of wagtailtiller.ownership."""
