"""The control plane: roster, waves, VM moves and failure handling."""
