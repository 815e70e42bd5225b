"""Primary-backup replication of one document between the control machines."""
