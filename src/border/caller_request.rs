use {
    super::CallerContext,
    crate::{
        board::Refusal,
        port::ServiceCall,
        request::{Parts, Refused},
    },
    bytes::Bytes,
    poem::{Request, error::ReadBodyError},
    tokio::time::timeout,
};

/// Headers that concern only the connection between caller and daemon, and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 10] = [
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

/// Converts a request below `/v1/services/{kind}` to a call to a plain service.
///
/// The path of the call starts after the kind. Headers whose value is not visible ASCII are left
/// out.
pub(super) fn service_call(request: &Request, kind: &str, body: Bytes) -> ServiceCall {
    let prefix = format!("/v1/services/{kind}");
    let uri = request.original_uri();
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let headers = request
        .headers()
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name.as_str()));
    ServiceCall {
        method: request.method().to_string(),
        path: path.strip_prefix(&prefix).unwrap_or(path).to_owned(),
        headers: headers
            .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
            .collect(),
        body,
    }
}

/// Returns whether a header is not forwarded.
pub(super) fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP_HEADERS
        .iter()
        .any(|listed| name.eq_ignore_ascii_case(listed))
}

/// Reads the body of a request.
///
/// Fails with `Refusal::TooLarge` if the headers or the body exceed their limit in bytes, and with
/// `Refusal::BadRequest` if the body breaks off or does not arrive in time.
pub(super) async fn read_body<P>(
    ctx: &CallerContext<P>,
    request: &mut Request,
) -> Result<Bytes, Refused>
where
    P: Parts,
{
    let limits = ctx.limits();
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
