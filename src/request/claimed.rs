use {
    super::{Call, Parts, Ran, Refused, Reply, Shared},
    crate::{
        board::Refusal,
        key::AttemptId,
        port::{ClaimAsk, ClaimEnd, ClaimKey, ClaimOutcome, Claimer, Clock},
    },
    bytes::Bytes,
    std::time::Duration,
    tokio::sync::oneshot,
};

/// Wait after the first failed record of an end; it doubles up to `RECORD_WAIT_MOST`.
const RECORD_WAIT: Duration = Duration::from_millis(100);

/// Longest wait between records of an end.
const RECORD_WAIT_MOST: Duration = Duration::from_secs(5);

/// Records of an end that are tried before the claim is left to be resolved as unknown.
const RECORD_TRIES: u32 = 20;

/// Wait suggested to a caller whose key is running.
const IN_PROGRESS_WAIT: Duration = Duration::from_secs(1);

/// Runs an at-most-once request under a claim.
///
/// Once the claim is taken the run goes on without its caller, so that its end is recorded and a
/// caller who sends the same key again gets that end.
pub async fn claimed<P, F, R>(shared: &Shared<P>, call: &Call, run: F) -> Result<Reply, Refused>
where
    P: Parts,
    F: FnOnce() -> R,
    R: Future<Output = Result<Reply, Refused>> + Send + 'static,
{
    let claim = Claim::new(shared, call)?;
    match claim.take().await {
        ClaimOutcome::Taken => {}
        outcome => return answer(outcome),
    }
    let (sender, receiver) = oneshot::channel();
    let running = run();
    shared.spawn(async move {
        let result = running.await;
        claim.conclude(result, sender).await;
    });
    receiver.await.unwrap_or_else(|_| {
        let detail = "the daemon stopped before the end was known; ask again with the same key";
        Err(Refused::unknown(Refusal::OutcomeUnknown, detail))
    })
}

/// One claim of one attempt.
#[derive(Debug)]
struct Claim<P> {
    shared: Shared<P>,
    key: ClaimKey,
    body: u64,
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
            body: call.print,
            attempt: AttemptId {
                request: call.id,
                number: 0,
            },
            remaining: shared.left(call.deadline),
        })
    }

    async fn take(&self) -> ClaimOutcome {
        let ask = ClaimAsk::Take {
            key: self.key.clone(),
            body: self.body,
            attempt: self.attempt,
            remaining: self.remaining,
        };
        self.shared.parts().claimer().ask(ask).await
    }

    /// Answers the caller and records the end.
    ///
    /// An end without an answer is recorded first, so that a caller who tries again at once may run
    /// after "not run", and is told the same again after "unknown".
    async fn conclude(
        self,
        result: Result<Reply, Refused>,
        sender: oneshot::Sender<Result<Reply, Refused>>,
    ) {
        let end = self.end(&result);
        if matches!(end, ClaimEnd::NotRun | ClaimEnd::Unknown) {
            let first = self.record(end.clone()).await;
            drop(sender.send(result));
            if !first {
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
                let whole = reply.body.len() <= self.shared.options().record_bytes;
                ClaimEnd::Answered {
                    status: reply.status,
                    content: reply.header("content-type").unwrap_or_default().to_owned(),
                    body: if whole {
                        reply.body.to_vec()
                    } else {
                        Vec::new()
                    },
                    whole,
                }
            }
            Err(refused) if refused.ran == Ran::No => ClaimEnd::NotRun,
            Err(_) => ClaimEnd::Unknown,
        }
    }

    async fn record(&self, end: ClaimEnd) -> bool {
        let ask = ClaimAsk::Finish {
            key: self.key.clone(),
            attempt: self.attempt,
            end,
        };
        self.shared.parts().claimer().ask(ask).await == ClaimOutcome::Recorded
    }

    async fn record_later(&self, end: ClaimEnd) {
        let mut wait = RECORD_WAIT;
        for _ in 0..RECORD_TRIES {
            if self.record(end.clone()).await {
                return;
            }
            self.shared.parts().clock().sleep(wait).await;
            wait = (wait * 2).min(RECORD_WAIT_MOST);
        }
        log::error!(
            branch = self.key.branch.as_str(),
            kind = self.key.kind.as_str();
            "the end of a claimed request was not recorded; its key will answer `outcome-unknown`"
        );
    }
}

/// Turns the outcome of a claim that was not taken into an answer.
fn answer(outcome: ClaimOutcome) -> Result<Reply, Refused> {
    match outcome {
        ClaimOutcome::Ended(ClaimEnd::Answered {
            status,
            content,
            body,
            whole,
        }) => replay(status, content, body, whole),
        ClaimOutcome::Ended(ClaimEnd::NotRun) | ClaimOutcome::Unavailable => {
            let detail = "the platform did not confirm the claim in time; send it again";
            let refused = Refused::not_run(Refusal::ClaimUnavailable, detail);
            Err(refused.after(IN_PROGRESS_WAIT))
        }
        ClaimOutcome::InProgress { .. } => {
            let detail = "a request with this key is running; ask again for its answer";
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

fn replay(status: u16, content: String, body: Vec<u8>, whole: bool) -> Result<Reply, Refused> {
    if !whole {
        let detail = "the request ran and was answered; its answer was too long to be recorded";
        return Err(Refused::unknown(Refusal::OutcomeUnknown, detail));
    }
    let headers = vec![("content-type".to_owned(), content)];
    Ok(Reply {
        status,
        headers,
        body: Bytes::from(body),
        replayed: true,
    })
}
