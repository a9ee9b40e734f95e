"""Programs that support development; none of them is shipped."""
