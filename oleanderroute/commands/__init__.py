"""Commands of ``oleanderctl``."""
