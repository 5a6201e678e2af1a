//! Wire protocols towards callers, operators, endpoints, the platform and other daemons.
