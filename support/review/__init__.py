"""Plays the cases in ``review/``, and lists what they use of this project."""
