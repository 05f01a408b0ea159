"""Durable requests: a request that a dispatcher has accepted survives the loss of that dispatcher.

Off unless configured.
"""
