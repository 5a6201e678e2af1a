use {
    super::{CallerMemory, CallerWork, Limits, MEMORY_RETRY_WAIT, http_server::connection_key},
    crate::{
        board::{Refusal, Secret},
        key::BranchKey,
        request::{Admission, Arrival, Call, Entry, Parts, Refused, Shared},
    },
    poem::{Request, http::HeaderMap},
    std::{sync::Arc, time::Duration},
    subtle::ConstantTimeEq,
};

/// State that the handlers of the caller listener share.
#[derive(Debug)]
pub struct CallerContext<P>
where
    P: Parts,
{
    shared: Shared<P>,
    entry: Arc<Entry>,
    limits: Limits,
    memory: CallerMemory,
}

impl<P> Clone for CallerContext<P>
where
    P: Parts,
{
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
            entry: Arc::clone(&self.entry),
            limits: self.limits,
            memory: self.memory.clone(),
        }
    }
}

impl<P> CallerContext<P>
where
    P: Parts,
{
    /// Creates the state of the handlers.
    ///
    /// `shared` and `entry` belong to the request path; `limits` are those of the settings. What is held
    /// for callers is accounted for in `memory`.
    pub fn new(shared: Shared<P>, entry: Entry, limits: Limits, memory: CallerMemory) -> Self {
        Self {
            shared,
            entry: Arc::new(entry),
            limits,
            memory,
        }
    }

    /// Returns the account of what is held for callers.
    pub fn memory(&self) -> &CallerMemory {
        &self.memory
    }

    /// Records that the body of `request` is about to be read.
    ///
    /// Fails with `Refusal::CallerMemory` if its connection was just closed, or there is no memory for it beside
    /// the other requests of its connection.
    pub fn begin_request(&self, request: &Request) -> Result<CallerWork, Refused> {
        let key = connection_key(request.remote_addr());
        let connection = key.and_then(|key| self.memory.connection(key));
        let connection = connection.ok_or_else(|| {
            let detail = "the connection was closed; open another one";
            Refused::not_run(Refusal::CallerMemory, detail)
        })?;
        connection.begin_request().ok_or_else(|| {
            let detail = "no memory for one more request of the connection; send it again later";
            Refused::not_run(Refusal::CallerMemory, detail).after(MEMORY_RETRY_WAIT)
        })
    }

    /// Returns the state of the request path.
    pub fn shared(&self) -> &Shared<P> {
        &self.shared
    }

    /// Returns the limits on what callers may send.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the branch whose key `headers` present as a bearer token.
    ///
    /// Fails with `Refusal::UnknownBranch` if no branch has this key.
    pub fn branch(&self, headers: &HeaderMap) -> Result<BranchKey, Refused> {
        let bearer = headers
            .get("authorization")
            .and_then(|value| value.to_str().ok());
        let key = bearer
            .and_then(|value| value.strip_prefix("Bearer "))
            .unwrap_or_default();
        let branches = self.shared.board().branches.load();
        // Compares with every branch, so that the response time does not reveal which one matched.
        let mut found = None;
        for (branch, value) in branches.iter() {
            let Secret(secret) = &value.secret;
            if bool::from(secret.as_bytes().ct_eq(key.as_bytes())) {
                found = Some(branch);
            }
        }
        found.ok_or_else(|| {
            let detail = "send the branch's key as `Authorization: Bearer KEY`";
            Refused::not_run(Refusal::UnknownBranch, detail)
        })
    }

    /// Admits a request of `kind` with its headers and complete body.
    ///
    /// Fails if a header is invalid or the request path refuses the request.
    pub fn accept(
        &self,
        branch: BranchKey,
        kind: &str,
        headers: &HeaderMap,
        body: &[u8],
    ) -> Result<(Call, Admission), Refused> {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let arrival = Arrival {
            branch,
            kind,
            key: text("idempotency-key").filter(|key| !key.trim().is_empty()),
            body,
            timeout: self.timeout(text("request-timeout"))?,
        };
        self.entry.accept(&self.shared, arrival)
    }

    /// Returns the time-out of a request: `Request-Timeout` in seconds, at most the configured
    /// limit, which also applies without this header.
    ///
    /// Fails with `Refusal::BadRequest` if the header is not a number of seconds.
    fn timeout(&self, header: Option<&str>) -> Result<Duration, Refused> {
        let limit = self.limits.request_time;
        let Some(text) = header else { return Ok(limit) };
        let parsed = text
            .trim()
            .parse()
            .ok()
            .and_then(|secs| Duration::try_from_secs_f64(secs).ok());
        parsed.map(|requested| requested.min(limit)).ok_or_else(|| {
            let detail = "Request-Timeout must be a number of seconds, for example `30`";
            Refused::not_run(Refusal::BadRequest, detail)
        })
    }
}
