"""Small stand-ins of the platform and of targets, for tests and the demo."""
