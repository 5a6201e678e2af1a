use http::StatusCode;

/// First status code beyond those that HTTP defines.
const FIRST_UNDEFINED: u16 = 600;

/// Returns whether `status` belongs to one of the five classes of HTTP; a response with another one is invalid.
pub fn is_defined(status: StatusCode) -> bool {
    status.as_u16() < FIRST_UNDEFINED
}
