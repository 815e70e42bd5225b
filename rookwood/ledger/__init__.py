"""The ledger: a keyed unsafe job runs once, whichever dispatcher its retry meets. See docs/ledger.md."""
