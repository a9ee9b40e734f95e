"""Seeded schedules that drive the shipped decisions against an oracle."""
