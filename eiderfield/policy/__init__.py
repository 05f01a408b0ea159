"""Every decision of the dispatcher, one concept a module. No module does I/O or reads a clock; times: ms."""
