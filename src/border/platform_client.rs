use {
    super::{bounded_body::bounded_body, http_client},
    crate::port::{HostEntry, Object, ObjectName, ObjectStore, Platform, PlatformError},
    bytes::Bytes,
    reqwest::{
        Client, RequestBuilder, Response, StatusCode, Url,
        header::{ETAG, HeaderMap, IF_MATCH, IF_NONE_MATCH},
    },
    serde::de::DeserializeOwned,
    std::time::Duration,
};

/// Maximum size of an object in bytes.
pub const MAX_OBJECT_BYTES: usize = 1_000_000;

/// Largest list of the platform in bytes: some hundred for each of 12,000 hosts.
const MAX_LIST_BYTES: usize = 16 << 20;

/// Largest text of an error in bytes.
const MAX_TEXT_BYTES: usize = 64 << 10;

/// Time-out of opening a connection to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP client of the platform, for the protocol in docs/PLATFORM.md.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    base: Url,
    client: Client,
    timeout: Duration,
}

impl PlatformClient {
    /// Creates a client of the platform at `base`, a URL or `ip:port`; `timeout` limits each call,
    /// a watch in addition to its wait.
    ///
    /// Fails with `PlatformError::Rejected` if `base` is not a URL or the HTTP client cannot be set
    /// up.
    pub fn new(base: &str, timeout: Duration) -> Result<Self, PlatformError> {
        let full_url = if base.contains("://") {
            base.into()
        } else {
            format!("http://{base}")
        };
        let base = Url::parse(&full_url)
            .ok()
            .filter(|url| !url.cannot_be_a_base())
            .ok_or_else(|| {
                PlatformError::Rejected(format!("`{base}` is not a URL; use `http://ip:port`"))
            })?;
        let client = http_client(CONNECT_TIMEOUT).map_err(|e| {
            PlatformError::Rejected(format!("the HTTP client could not be set up: {e}"))
        })?;
        Ok(Self {
            base,
            client,
            timeout,
        })
    }

    /// Returns the URL of `name` below `path`, with each segment of `name` percent-encoded.
    fn url(&self, path: &str, name: &str) -> Url {
        let mut url = self.base.clone();
        if let Ok(mut segments) = url.path_segments_mut() {
            segments.pop_if_empty().push(path);
            if !name.is_empty() {
                segments.extend(name.split('/'));
            }
        }
        url
    }

    /// Writes an object if the precondition in the headers `condition` is met, and returns its new
    /// version.
    ///
    /// Fails with `PlatformError::Rejected` if `body` exceeds `MAX_OBJECT_BYTES`, and with
    /// `PlatformError::Conflict` if the condition is not met.
    async fn put(
        &self,
        name: &str,
        body: Bytes,
        condition: HeaderMap,
    ) -> Result<u64, PlatformError> {
        if body.len() > MAX_OBJECT_BYTES {
            let reason = format!("`{name}` would hold {} bytes", body.len());
            return Err(PlatformError::Rejected(format!(
                "{reason}; the limit is {MAX_OBJECT_BYTES}"
            )));
        }
        let call = self.client.put(self.url("objects", name));
        let response = self
            .send(call.headers(condition).body(body), self.timeout)
            .await?;
        match response.status() {
            StatusCode::OK | StatusCode::CREATED => version(&response),
            StatusCode::PRECONDITION_FAILED => Err(PlatformError::Conflict {
                name: name.into(),
                current: version(&response)?,
            }),
            _ => Err(status_error(response).await),
        }
    }

    /// Reads a JSON document; fails if the status is not 200.
    async fn get_json<T>(&self, url: Url) -> Result<T, PlatformError>
    where
        T: DeserializeOwned,
    {
        let response = self.send(self.client.get(url), self.timeout).await?;
        if response.status() != StatusCode::OK {
            return Err(status_error(response).await);
        }
        let body = bounded_body(response, MAX_LIST_BYTES).await;
        let body = body.map_err(|e| unknown_outcome(&e))?;
        serde_json::from_slice(&body).map_err(|e| unknown_outcome(&e))
    }

    /// Sends a call; an error after the connection was opened means that the outcome is unknown.
    async fn send(
        &self,
        call: RequestBuilder,
        timeout: Duration,
    ) -> Result<Response, PlatformError> {
        call.timeout(timeout).send().await.map_err(|e| {
            if e.is_connect() || e.is_builder() {
                PlatformError::Unavailable(e.to_string())
            } else {
                unknown_outcome(&e)
            }
        })
    }
}

impl ObjectStore for PlatformClient {
    async fn read(&self, name: &str) -> Result<Option<Object>, PlatformError> {
        let call = self.client.get(self.url("objects", name));
        let response = self.send(call, self.timeout).await?;
        match response.status() {
            StatusCode::OK => object(response).await.map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(status_error(response).await),
        }
    }

    async fn create(&self, name: &str, body: Bytes) -> Result<u64, PlatformError> {
        let condition =
            HeaderMap::from_iter([(IF_NONE_MATCH, "*".parse().map_err(invalid_header)?)]);
        self.put(name, body, condition).await
    }

    async fn update(&self, name: &str, expected: u64, body: Bytes) -> Result<u64, PlatformError> {
        let tag = format!("\"{expected}\"").parse().map_err(invalid_header)?;
        self.put(name, body, HeaderMap::from_iter([(IF_MATCH, tag)]))
            .await
    }
}

impl Platform for PlatformClient {
    async fn list(&self, prefix: &str) -> Result<Vec<ObjectName>, PlatformError> {
        let mut url = self.url("objects", "");
        url.query_pairs_mut().append_pair("prefix", prefix);
        self.get_json(url).await
    }

    async fn watch(
        &self,
        name: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Object>, PlatformError> {
        let mut url = self.url("objects", name);
        url.query_pairs_mut()
            .append_pair("after", &after.to_string())
            .append_pair("wait_ms", &wait.as_millis().to_string());
        let response = self.send(self.client.get(url), self.timeout + wait).await?;
        match response.status() {
            StatusCode::OK => object(response).await.map(Some),
            StatusCode::NOT_MODIFIED => Ok(None),
            _ => Err(status_error(response).await),
        }
    }

    async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError> {
        self.get_json(self.url("hosts", "")).await
    }
}

/// Reads version and contents of an object from a response.
async fn object(response: Response) -> Result<Object, PlatformError> {
    let version = version(&response)?;
    let body = bounded_body(response, MAX_OBJECT_BYTES).await;
    let body = body.map_err(|e| unknown_outcome(&e))?;
    Ok(Object { version, body })
}

/// Reads the version of an object from the entity tag of a response.
fn version(response: &Response) -> Result<u64, PlatformError> {
    response
        .headers()
        .get(ETAG)
        .and_then(|tag| tag.to_str().ok())
        .and_then(|tag| tag.trim_matches('"').parse().ok())
        .ok_or_else(|| PlatformError::Unknown("the response has no version".into()))
}

/// Converts a response with an unexpected status to an error.
async fn status_error(response: Response) -> PlatformError {
    let status = response.status();
    let text = bounded_body(response, MAX_TEXT_BYTES).await;
    let text = text.unwrap_or_default();
    let text = String::from_utf8_lossy(&text);
    let text = format!("{status} {text}");
    if status == StatusCode::SERVICE_UNAVAILABLE {
        PlatformError::Unavailable(text)
    } else if status.is_client_error() {
        PlatformError::Rejected(text)
    } else {
        PlatformError::Unknown(text)
    }
}

/// Error for a call that may have taken effect.
fn unknown_outcome<E>(error: &E) -> PlatformError
where
    E: std::error::Error,
{
    PlatformError::Unknown(error.to_string())
}

/// Error for a value that cannot be sent in a header.
fn invalid_header<E>(error: E) -> PlatformError
where
    E: std::error::Error,
{
    PlatformError::Rejected(error.to_string())
}
