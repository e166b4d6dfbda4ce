"""A randomized soak: real node processes, faults from outside them, and checks of what must hold."""
