"""An emulated model worker that serves, takes placement orders and registers itself, all over HTTP."""
