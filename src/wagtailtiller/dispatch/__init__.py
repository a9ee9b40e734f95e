"""Placement: one dispatcher a pool decides which request runs where."""
