"""Durable requests: what a dispatcher has accepted survives its loss. Off unless configured."""
