"""A process's own figures: cheap to count, and told as text when somebody asks."""
