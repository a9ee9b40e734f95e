"""The control plane: roster, waves, moves and the response to failures."""
