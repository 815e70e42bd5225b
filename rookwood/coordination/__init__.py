"""Primary-backup replication of one document between the machines that hold control state."""
