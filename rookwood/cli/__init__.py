"""The command line: `rookwood serve`, `check`, `show`, `demo`, `experiment`, `version`."""
