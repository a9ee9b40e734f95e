"""Slots: asked for by fronts, granted by the host of a pool."""
