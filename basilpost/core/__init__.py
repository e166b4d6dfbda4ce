"""Records, the kernel and helpers that all other packages use."""
