"""Helpers that several test files share: settings, stand-ins for clients and workers, and drivers."""
