"""Measurements of durable requests, and a model of their protocol."""
