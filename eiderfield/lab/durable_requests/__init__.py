"""What durable requests cost, how fast they are taken over, and their protocol as a model."""
