"""Maintenance waves over machines, and moves of machines between pools."""
