use {
    crate::{
        key::{AttemptId, GrantKey},
        port::{Clock, Engine, EngineError},
    },
    std::time::Duration,
    tokio::select,
};

/// Time limit of one cancel call.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after the first failed cancel; it doubles with each further one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest delay between two cancels.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Repeats a cancel until the endpoint confirms that it holds nothing of the attempt, without a
/// limit on the number of tries.
///
/// Returns `key`, the grant of the attempt, so that the caller knows which one to free.
pub(super) async fn cancel_orphan<C, E>(
    clock: C,
    engine: E,
    address: String,
    attempt: AttemptId,
    key: GrantKey,
) -> GrantKey
where
    C: Clock,
    E: Engine,
{
    let mut delay = MIN_RETRY_DELAY;
    loop {
        select! {
            outcome = engine.cancel(&address, attempt) => {
                if matches!(outcome, Ok(()) | Err(EngineError::UnknownAttempt)) {
                    return key;
                }
            }
            () = clock.sleep(CANCEL_TIMEOUT) => {}
        }
        clock.sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}
