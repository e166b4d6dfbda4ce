"""Load generation, experiments, history checks and reports."""
