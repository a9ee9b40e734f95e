"""The data plane: admits, queues, places and answers callers' requests."""
