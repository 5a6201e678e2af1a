use {
    super::Caller,
    crate::{
        board::Refusal,
        port::ServiceCall,
        request::{Parts, Refused},
    },
    bytes::Bytes,
    poem::{Request, error::ReadBodyError},
    tokio::time::timeout,
};

/// Headers that end at this hop and are not passed on.
const HOP_HEADERS: [&str; 10] = [
    "authorization",
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Turns a request below `/v1/services/{kind}` into a call to a plain service.
pub(super) fn service_call(request: &Request, kind: &str, body: Bytes) -> ServiceCall {
    let prefix = format!("/v1/services/{kind}");
    let uri = request.original_uri();
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let headers = request
        .headers()
        .iter()
        .filter(|(name, _)| !is_hop(name.as_str()));
    ServiceCall {
        method: request.method().to_string(),
        path: path.strip_prefix(&prefix).unwrap_or(path).to_owned(),
        headers: headers
            .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
            .collect(),
        body,
    }
}

/// Whether a header ends at this hop.
pub(super) fn is_hop(name: &str) -> bool {
    HOP_HEADERS.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}

/// Reads the body within the limits of size and time.
pub(super) async fn read_body<P>(
    caller: &Caller<P>,
    request: &mut Request,
) -> Result<Bytes, Refused>
where
    P: Parts,
{
    let limits = caller.limits();
    let headers = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    if headers.sum::<usize>() as u64 > limits.header_bytes {
        let detail = format!("the headers exceed {} bytes", limits.header_bytes);
        return Err(Refused::not_run(Refusal::TooLarge, &detail));
    }
    let body = request
        .take_body()
        .into_bytes_limit(limits.body_bytes as usize);
    match timeout(limits.body_time, body).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(ReadBodyError::PayloadTooLarge)) => {
            let detail = format!("the body exceeds {} bytes", limits.body_bytes);
            Err(Refused::not_run(Refusal::TooLarge, &detail))
        }
        Ok(Err(error)) => {
            let detail = format!("the body could not be read: {error}");
            Err(Refused::not_run(Refusal::BadRequest, &detail))
        }
        Err(_) => {
            let detail = "the body did not arrive in time; send it without pauses";
            Err(Refused::not_run(Refusal::BadRequest, detail))
        }
    }
}
