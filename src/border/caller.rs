use {
    super::Limits,
    crate::{
        board::{Refusal, Secret},
        key::BranchKey,
        request::{Admission, Arrival, Call, Entry, Parts, Refused, Shared},
    },
    poem::http::HeaderMap,
    std::{sync::Arc, time::Duration},
    subtle::ConstantTimeEq,
};

/// What the handlers of the caller listener share.
#[derive(Debug)]
pub struct Caller<P>
where
    P: Parts,
{
    shared: Shared<P>,
    entry: Arc<Entry>,
    limits: Limits,
}

impl<P> Clone for Caller<P>
where
    P: Parts,
{
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
            entry: Arc::clone(&self.entry),
            limits: self.limits,
        }
    }
}

impl<P> Caller<P>
where
    P: Parts,
{
    /// Creates the state of the handlers.
    pub fn new(shared: Shared<P>, entry: Entry, limits: Limits) -> Self {
        Self {
            shared,
            entry: Arc::new(entry),
            limits,
        }
    }

    /// State of the path of a request.
    pub fn shared(&self) -> &Shared<P> {
        &self.shared
    }

    /// Limits.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Finds the branch whose key `headers` carry.
    pub fn branch(&self, headers: &HeaderMap) -> Result<BranchKey, Refused> {
        let bearer = headers
            .get("authorization")
            .and_then(|value| value.to_str().ok());
        let key = bearer
            .and_then(|value| value.strip_prefix("Bearer "))
            .unwrap_or_default();
        let branches = self.shared.board().branches.load();
        // Every branch is compared, so that the time tells nothing about which one matched.
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

    /// Accepts a request of `kind`.
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

    /// Time that the caller waits: `Request-Timeout` in seconds, at most the configured limit.
    fn timeout(&self, header: Option<&str>) -> Result<Duration, Refused> {
        let most = self.limits.request_time;
        let Some(text) = header else { return Ok(most) };
        let parsed = text
            .trim()
            .parse()
            .ok()
            .and_then(|secs| Duration::try_from_secs_f64(secs).ok());
        parsed.map(|asked| asked.min(most)).ok_or_else(|| {
            let detail = "Request-Timeout must be a number of seconds, for example `30`";
            Refused::not_run(Refusal::BadRequest, detail)
        })
    }
}
