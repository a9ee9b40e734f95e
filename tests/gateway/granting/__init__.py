"""Tests of requesting and granting slots."""
