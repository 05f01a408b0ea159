"""Many connections at little cost: who is parked, who gives way, who may come in."""
