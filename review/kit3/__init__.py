"""Helpers of the cases 11 to 15."""
