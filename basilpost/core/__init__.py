"""Records, kernel and helpers that everything else builds on."""
