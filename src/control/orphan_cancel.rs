use {
    crate::{
        key::{AttemptId, GrantKey},
        port::{Clock, Engine, EngineError},
    },
    std::time::Duration,
    tokio::select,
};

/// Time that one cancel may take.
const CANCEL_LIMIT: Duration = Duration::from_secs(2);

/// Pause after the first failed cancel; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause between cancels.
const LAST_PAUSE: Duration = Duration::from_secs(5);

/// Repeats a cancel until the endpoint confirms that it holds nothing of the attempt.
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
    let mut pause = FIRST_PAUSE;
    loop {
        select! {
            outcome = engine.cancel(&address, attempt) => {
                if matches!(outcome, Ok(()) | Err(EngineError::UnknownAttempt)) {
                    return key;
                }
            }
            () = clock.sleep(CANCEL_LIMIT) => {}
        }
        clock.sleep(pause).await;
        pause = (pause * 2).min(LAST_PAUSE);
    }
}
