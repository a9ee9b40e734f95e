"""Tests of the simulation of whole days."""
