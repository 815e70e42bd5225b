"""The command line; `main.py` lists the commands of `rookwood`."""
