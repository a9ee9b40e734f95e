"""The entry process: serves callers, calls its peers and owns shards."""
