"""The ledger runs a keyed unsafe job once, whichever dispatcher its retry reaches. See docs/ledger.md."""
