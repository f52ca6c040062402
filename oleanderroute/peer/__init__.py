"""Messages between hosts of the fleet."""
