"""Pure decision logic: no I/O; clock and random source are parameters."""
