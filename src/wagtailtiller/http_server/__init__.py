"""HTTP server whose connections hold a bounded amount of memory."""
