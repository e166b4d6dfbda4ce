"""Groups of VMs: tables, planning, control, credits and health."""
