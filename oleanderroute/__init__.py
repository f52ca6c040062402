"""A proxy fleet for targets with gray failures, run by one declaration."""

__version__ = "0.1.0"
