use {
    super::{Call, Parts, Ran, Refused, Reply, Shared},
    crate::{
        board::Refusal,
        key::AttemptId,
        port::{ClaimEnd, ClaimKey, ClaimOutcome, ClaimRequest, Claimer, Clock},
    },
    bytes::Bytes,
    std::{future::pending, time::Duration},
    tokio::sync::oneshot,
};

/// Wait after the first failure to record the end of a claimed request; it doubles up to
/// `MAX_RECORD_WAIT`.
const RECORD_WAIT: Duration = Duration::from_millis(100);

/// Longest wait between two attempts to record an end.
const MAX_RECORD_WAIT: Duration = Duration::from_secs(5);

/// Attempts to record an end; after the last one, the outcome of the claim stays unknown.
const RECORD_ATTEMPTS: u32 = 20;

/// Time that a planned stop leaves to take a claim and to record an end: a store that responds takes
/// milliseconds, and one that is gone must not hold up the stop.
const STOP_TIME: Duration = Duration::from_secs(5);

/// Wait suggested to a caller while an earlier request with its key is running.
const IN_PROGRESS_WAIT: Duration = Duration::from_secs(1);

/// Runs an at-most-once request under a claim on its idempotency key.
///
/// Once the claim is taken, the run continues even if the caller disconnects, so that its end is
/// recorded and a caller that sends the same key again gets that end.
///
/// # Errors
///
/// Refuses a request without a key, with a key that is claimed and has no recorded response, or
/// whose claim was not confirmed; passes on the refusal of `run`.
pub async fn run_claimed<P, F, R>(shared: &Shared<P>, call: &Call, run: F) -> Result<Reply, Refused>
where
    P: Parts,
    F: FnOnce() -> R,
    R: Future<Output = Result<Reply, Refused>> + Send + 'static,
{
    let claim = Claim::new(shared, call)?;
    match claim.take().await {
        ClaimOutcome::Taken => {}
        outcome => return existing_result(outcome),
    }
    let (sender, receiver) = oneshot::channel();
    let running = run();
    shared.spawn(async move {
        let result = running.await;
        claim.conclude(result, sender).await;
    });
    receiver.await.unwrap_or_else(|_| {
        let detail =
            "the daemon stopped before the outcome was known; send the request again with its key";
        Err(Refused::unknown(Refusal::OutcomeUnknown, detail))
    })
}

/// Claim of one request on its idempotency key.
#[derive(Debug)]
struct Claim<P> {
    shared: Shared<P>,
    key: ClaimKey,
    body_hash: u64,
    attempt: AttemptId,
    remaining: Duration,
}

impl<P> Claim<P>
where
    P: Parts,
{
    fn new(shared: &Shared<P>, call: &Call) -> Result<Self, Refused> {
        let Some(key) = call.key.clone() else {
            let detail = "send an Idempotency-Key header; this kind runs at most once";
            return Err(Refused::not_run(Refusal::KeyMissing, detail));
        };
        let rule = &call.rule;
        Ok(Self {
            shared: shared.clone(),
            key: ClaimKey {
                branch: rule.branch.clone(),
                kind: rule.kind.clone(),
                key,
            },
            body_hash: call.fingerprint,
            attempt: AttemptId {
                request: call.id,
                number: 0,
            },
            remaining: shared.left(call.deadline),
        })
    }

    async fn take(&self) -> ClaimOutcome {
        let request = ClaimRequest::Take {
            key: self.key.clone(),
            body_hash: self.body_hash,
            attempt: self.attempt,
            remaining: self.remaining,
        };
        let taken = self.shared.parts().claimer().submit(request);
        // Dropping the request has the claim ended as not run, should it be written yet.
        self.unless_stopped(taken)
            .await
            .unwrap_or(ClaimOutcome::Unavailable)
    }

    /// Waits for `outcome`; `None` if a planned stop has left it its time.
    async fn unless_stopped<F>(&self, outcome: F) -> Option<F::Output>
    where
        F: Future,
    {
        let stopped = async {
            let mut health = self.shared.board().health.clone();
            while !health.load().stopping() {
                if !health.changed().await {
                    pending::<()>().await;
                }
            }
            self.shared.parts().clock().sleep(STOP_TIME).await;
        };
        tokio::select! {
            biased;
            outcome = outcome => Some(outcome),
            () = stopped => None,
        }
    }

    /// Sends the result to the caller and records the end.
    ///
    /// An end without a response is recorded first, so that a caller that retries at once may run
    /// after "not run", and gets the same refusal again after "unknown".
    async fn conclude(
        self,
        result: Result<Reply, Refused>,
        sender: oneshot::Sender<Result<Reply, Refused>>,
    ) {
        let end = self.end(&result);
        if matches!(end, ClaimEnd::NotRun | ClaimEnd::Unknown) {
            let recorded = self.unless_stopped(self.record(end.clone())).await;
            drop(sender.send(result));
            if recorded != Some(true) {
                self.record_later(end).await;
            }
            return;
        }
        drop(sender.send(result));
        self.record_later(end).await;
    }

    fn end(&self, result: &Result<Reply, Refused>) -> ClaimEnd {
        match result {
            Ok(reply) => {
                let complete = reply.body.len() <= self.shared.options().record_bytes;
                ClaimEnd::Answered {
                    status: reply.status,
                    content_type: reply.header("content-type").unwrap_or_default().to_owned(),
                    body: if complete {
                        reply.body.to_vec()
                    } else {
                        Vec::new()
                    },
                    complete,
                }
            }
            Err(refused) if refused.ran == Ran::No => ClaimEnd::NotRun,
            Err(_) => ClaimEnd::Unknown,
        }
    }

    async fn record(&self, end: ClaimEnd) -> bool {
        let request = ClaimRequest::Finish {
            key: self.key.clone(),
            attempt: self.attempt,
            end,
        };
        self.shared.parts().claimer().submit(request).await == ClaimOutcome::Recorded
    }

    async fn record_later(&self, end: ClaimEnd) {
        if self.unless_stopped(self.try_record(end)).await == Some(true) {
            return;
        }
        log::error!(
            branch = self.key.branch.as_str(),
            kind = self.key.kind.as_str();
            "end of a claimed request not recorded; its key will be refused as `outcome-unknown`"
        );
    }

    /// Records an end, in several attempts; returns whether it is recorded.
    async fn try_record(&self, end: ClaimEnd) -> bool {
        let mut wait = RECORD_WAIT;
        for _ in 0..RECORD_ATTEMPTS {
            if self.record(end.clone()).await {
                return true;
            }
            self.shared.parts().clock().sleep(wait).await;
            wait = (wait * 2).min(MAX_RECORD_WAIT);
        }
        false
    }
}

/// Returns the result for a caller whose claim was not taken: a recorded response or a refusal.
fn existing_result(outcome: ClaimOutcome) -> Result<Reply, Refused> {
    match outcome {
        ClaimOutcome::Ended(ClaimEnd::Answered {
            status,
            content_type,
            body,
            complete,
        }) => replay(status, content_type, body, complete),
        ClaimOutcome::Ended(ClaimEnd::NotRun) | ClaimOutcome::Unavailable => {
            let detail = "the platform did not confirm the claim in time; send the request again";
            let refused = Refused::not_run(Refusal::ClaimUnavailable, detail);
            Err(refused.after(IN_PROGRESS_WAIT))
        }
        ClaimOutcome::InProgress { .. } => {
            let detail = "a request with this key is running; send it again later for its response";
            Err(Refused::unknown(Refusal::InProgress, detail).after(IN_PROGRESS_WAIT))
        }
        ClaimOutcome::Mismatch => {
            let detail = "the key was used with another body; use a new key for a new request";
            Err(Refused::not_run(Refusal::KeyReused, detail))
        }
        ClaimOutcome::Ended(ClaimEnd::Unknown) | ClaimOutcome::Taken | ClaimOutcome::Recorded => {
            let detail = "an earlier request with this key may have run; check at the service";
            Err(Refused::unknown(Refusal::OutcomeUnknown, detail))
        }
    }
}

/// Returns the recorded response, or a refusal if its body was too long to be recorded.
fn replay(
    status: u16,
    content_type: String,
    body: Vec<u8>,
    complete: bool,
) -> Result<Reply, Refused> {
    if !complete {
        let detail = "the request ran, but its response was too long to be recorded";
        return Err(Refused::unknown(Refusal::OutcomeUnknown, detail));
    }
    let headers = vec![("content-type".to_owned(), content_type)];
    Ok(Reply {
        status,
        headers,
        body: Bytes::from(body),
        replayed: true,
    })
}
