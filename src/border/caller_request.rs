use {
    super::{CallerContext, CallerWork, MEMORY_RETRY_WAIT},
    crate::{
        board::Refusal,
        port::ServiceCall,
        request::{Parts, Refused},
    },
    bytes::Bytes,
    futures_util::{StreamExt, pin_mut},
    poem::{Body, Request, http::header::CONTENT_LENGTH},
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
/// Fails with `Refusal::TooLarge` if the headers or the body exceed their limit in bytes, with
/// `Refusal::CallerMemory` if there is no memory for the body, and with `Refusal::BadRequest` if the body
/// breaks off or does not arrive in time.
pub(super) async fn read_body<P>(
    ctx: &CallerContext<P>,
    request: &mut Request,
    work: &CallerWork,
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
    let limit = limits.body_bytes as usize;
    let declared = request.headers().get(CONTENT_LENGTH);
    let declared = declared.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    if declared.is_some_and(|length| length > limit) {
        return Err(too_long(limit));
    }
    let longest = declared.unwrap_or(limit);
    let body = collect(request.take_body(), limit, longest, work);
    let body = timeout(limits.body_time, body).await;
    body.unwrap_or_else(|_elapsed| {
        let detail = "the body did not arrive in time; send it without pauses";
        Err(Refused::not_run(Refusal::BadRequest, detail))
    })
}

/// Reads a body of at most `limit` bytes, of which `longest` are expected at most.
async fn collect(
    body: Body,
    limit: usize,
    longest: usize,
    work: &CallerWork,
) -> Result<Bytes, Refused> {
    let mut collected = work.body(longest);
    let parts = body.into_bytes_stream();
    pin_mut!(parts);
    while let Some(part) = parts.next().await {
        let part = part.map_err(|error| {
            let detail = format!("the body could not be read: {error}");
            Refused::not_run(Refusal::BadRequest, &detail)
        })?;
        if collected.size() + part.len() > limit {
            return Err(too_long(limit));
        }
        if !collected.extend(&part).await {
            return Err(no_memory());
        }
    }
    collected.freeze().await.ok_or_else(no_memory)
}

fn too_long(limit: usize) -> Refused {
    let detail = format!("the body exceeds {limit} bytes");
    Refused::not_run(Refusal::TooLarge, &detail)
}

fn no_memory() -> Refused {
    let detail = "no memory for the body; send the request again later";
    Refused::not_run(Refusal::CallerMemory, detail).after(MEMORY_RETRY_WAIT)
}
