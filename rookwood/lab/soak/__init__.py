"""Soak of whole programs: drawn troubles under many changes of the configuration, judged by invariants."""
