"""Resources of the operator port and the burn report."""
