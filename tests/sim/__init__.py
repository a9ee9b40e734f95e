"""Tests of whole days in virtual time."""
