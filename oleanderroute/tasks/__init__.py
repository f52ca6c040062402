"""Long-running tasks of the daemon."""
