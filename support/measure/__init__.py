"""Measurements of the shipped decision code against baselines."""
