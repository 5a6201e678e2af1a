//! Small stand-ins for the systems outside, used by tests, the demo and measurements.
