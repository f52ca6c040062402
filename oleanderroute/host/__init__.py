"""Daemon of one host: serves callers and follows the platform's store."""
