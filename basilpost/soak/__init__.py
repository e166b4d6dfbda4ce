"""A randomized soak test: node processes under injected faults, and checks of their guarantees."""
