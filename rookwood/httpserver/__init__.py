"""HTTP listeners that stay within a process's memory and descriptors, whatever their clients do."""
