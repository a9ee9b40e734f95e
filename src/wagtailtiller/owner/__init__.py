"""The process that owns a pool: store, VM and request handling."""
