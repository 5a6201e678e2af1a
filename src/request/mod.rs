//! The path of a request: attempts, grants, retries, cancellation.
