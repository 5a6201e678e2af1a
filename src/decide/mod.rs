//! Pure decisions: no I/O, no clock, no wire type.
