"""Stand-ins for what is outside the system."""
