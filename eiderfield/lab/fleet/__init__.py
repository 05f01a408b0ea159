"""Many real dispatcher processes, faults between them, and event logs by which the rules are judged."""
