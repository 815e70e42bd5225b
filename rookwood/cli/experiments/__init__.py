"""The commands of `rookwood experiment`, by what they measure."""
