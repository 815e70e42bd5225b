"""Metrics of a process: counting is cheap, and the text is only built when it is scraped."""
