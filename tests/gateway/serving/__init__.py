"""Tests of the service for callers."""
