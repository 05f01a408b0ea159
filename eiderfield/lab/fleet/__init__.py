"""Many real processes of the program, faults between them, and books by which the rules are judged."""
