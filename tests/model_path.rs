//! Attempts of a completion at scripted engines: broken and silent streams, evicted caches and the bound
//! on attempts.

use {
    crate::queue_bench::QueueBench,
    lentillead::{
        board::{Counters, Repeat, Route, Rule, Target, section},
        control::{QueueHandle, SuspectController, SuspectHandle},
        key::{AttemptId, RequestId},
        port::{
            CacheEvents, Chunk, ClaimOutcome, ClaimRequest, Claimer, Clock, DecodeRequest,
            Description, Engine, EngineError, KvHandle, LoadReport, MonoClock, Order, Peer,
            PeerCall, PeerError, PeerReply, PrefillRequest, Service, ServiceCall, ServiceResponse,
            TokenStream,
        },
        request::{Call, Completion, ModelPath, Parts, PathOptions, Shared, TextChunk},
    },
    prometheus_client::registry::Registry,
    std::{
        collections::{HashMap, VecDeque},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        sync::mpsc,
        time::{Instant, sleep, sleep_until},
    },
};

/// Output tokens that the caller requests.
const TOKENS: u32 = 4;

/// Behaviour of the engine on one decode call.
#[derive(Clone, Copy, Debug)]
enum Act {
    /// Refuses to import the cache because it was evicted.
    EvictedCache,
    /// Responds after this many milliseconds, sends that many tokens, is silent for that many milliseconds,
    /// and sends the rest.
    Silent(u64, u32, u64),
    /// Sends that many tokens, then breaks the stream.
    Break(u32),
    /// Sends that many tokens, the last with a finish reason, then ends the stream.
    Finish(u32),
}

/// Engines that share one script of decode calls and record the calls they get.
#[derive(Clone, Debug, Default)]
struct ScriptEngine {
    acts: Arc<Mutex<VecDeque<Act>>>,
    calls: Arc<Mutex<Vec<String>>>,
    /// Time that a prefill takes.
    prefill: Duration,
    /// Silent streams that may be resumed.
    silent: Arc<Mutex<HashMap<AttemptId, ScriptTokens>>>,
}

/// Token stream of one scripted decode call.
#[derive(Clone, Debug)]
struct ScriptTokens {
    attempt: AttemptId,
    next: u32,
    act: Act,
    start: Instant,
}

impl ScriptEngine {
    fn record(&self, call: String) {
        self.calls.lock().unwrap().push(call);
    }
}

impl TokenStream for ScriptTokens {
    async fn next(&mut self) -> Result<Option<Chunk>, EngineError> {
        let (count, finishes) = match self.act {
            Act::EvictedCache => (0, false),
            Act::Break(count) => (count, false),
            Act::Finish(count) => (count, true),
            Act::Silent(_, count, ms) => {
                if self.next == count {
                    sleep_until(self.start + Duration::from_millis(ms)).await;
                }
                (TOKENS, true)
            }
        };
        if self.next == count {
            return if finishes {
                Ok(None)
            } else {
                Err(EngineError::Broken("script".to_owned()))
            };
        }
        self.next += 1;
        let finish = (finishes && self.next == count).then(|| "length".to_owned());
        let (attempt, index) = (self.attempt, self.next - 1);
        Ok(Some(Chunk {
            attempt,
            index,
            count: 1,
            text: format!("t{index} "),
            finish,
        }))
    }
}

impl Engine for ScriptEngine {
    type Tokens = ScriptTokens;

    async fn prefill(
        &self,
        address: &str,
        request: &PrefillRequest,
    ) -> Result<KvHandle, EngineError> {
        self.record(format!("prefill of `{}`", request.prompt));
        sleep(self.prefill).await;
        Ok(KvHandle {
            address: address.to_owned(),
            handle: "kv".to_owned(),
            tokens: 1,
            cached: 0,
            expires_ms: 800,
        })
    }

    async fn decode(&self, _: &str, request: &DecodeRequest) -> Result<ScriptTokens, EngineError> {
        self.record(format!("decode of {} tokens", request.max_tokens));
        let act = self.acts.lock().unwrap().pop_front().unwrap();
        if let Act::EvictedCache = act {
            return Err(EngineError::CacheEvicted);
        }
        if let Act::Silent(ms, ..) = act {
            sleep(Duration::from_millis(ms)).await;
        }
        let tokens = ScriptTokens {
            attempt: request.attempt,
            next: 0,
            act,
            start: Instant::now(),
        };
        if let Act::Silent(..) = act {
            let mut silent = self.silent.lock().unwrap();
            silent.insert(request.attempt, tokens.clone());
        }
        Ok(tokens)
    }

    async fn resume(
        &self,
        _: &str,
        attempt: AttemptId,
        index: u32,
    ) -> Result<ScriptTokens, EngineError> {
        let silent = self.silent.lock().unwrap();
        let tokens = silent.get(&attempt).ok_or(EngineError::UnknownAttempt)?;
        self.record(format!("resume at {index}"));
        Ok(ScriptTokens {
            next: index,
            ..tokens.clone()
        })
    }

    async fn cancel(&self, _: &str, _: AttemptId) -> Result<(), EngineError> {
        Ok(())
    }

    async fn describe(&self, _: &str) -> Result<Description, EngineError> {
        Err(EngineError::UnknownAttempt)
    }

    async fn load(&self, _: &str) -> Result<LoadReport, EngineError> {
        Ok(LoadReport::default())
    }

    async fn events(&self, _: &str, _: u64) -> Result<CacheEvents, EngineError> {
        Ok(CacheEvents::default())
    }

    async fn order(&self, _: &str, _: &Order) -> Result<Description, EngineError> {
        Err(EngineError::UnknownAttempt)
    }
}

/// Ports that a completion does not use; every call fails.
#[derive(Clone, Debug)]
struct Unused;

impl Service for Unused {
    async fn call(&self, _: &str, _: &ServiceCall) -> Result<ServiceResponse, EngineError> {
        Err(EngineError::Unsent("unused".to_owned()))
    }
}

impl Peer for Unused {
    async fn call(&self, _: &str, _: PeerCall) -> Result<PeerReply, PeerError> {
        Err(PeerError::Unsent("unused".to_owned()))
    }
}

impl Claimer for Unused {
    async fn submit(&self, _: ClaimRequest) -> ClaimOutcome {
        ClaimOutcome::Unavailable
    }
}

#[derive(Clone, Debug)]
struct ScriptParts {
    clock: MonoClock,
    engine: ScriptEngine,
    unused: Unused,
    queue: QueueHandle,
    suspicions: SuspectHandle,
}

impl Parts for ScriptParts {
    type Clock = MonoClock;
    type Engine = ScriptEngine;
    type Service = Unused;
    type Queue = QueueHandle;
    type Peer = Unused;
    type Claimer = Unused;

    fn clock(&self) -> &MonoClock {
        &self.clock
    }

    fn engine(&self) -> &ScriptEngine {
        &self.engine
    }

    fn service(&self) -> &Unused {
        &self.unused
    }

    fn queue(&self) -> &QueueHandle {
        &self.queue
    }

    fn peer(&self) -> &Unused {
        &self.unused
    }

    fn claimer(&self) -> &Unused {
        &self.unused
    }

    fn suspicions(&self) -> &SuspectHandle {
        &self.suspicions
    }
}

/// What differs between the completions of these tests.
#[derive(Clone, Copy, Debug)]
struct Setup {
    /// Number of decode and as many prefill endpoints.
    endpoints: usize,
    /// Maximum attempts.
    attempts: u16,
    /// Retries that the budget has left; `None` without a budget.
    retries: Option<u64>,
    repeat: Repeat,
    /// Milliseconds that a prefill takes.
    prefill_ms: u64,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            endpoints: 3,
            attempts: 6,
            retries: None,
            repeat: Repeat::Idempotent,
            prefill_ms: 0,
        }
    }
}

fn rule(repeat: Repeat) -> Rule {
    Rule {
        branch: "bangor".to_owned(),
        kind: "note-summary".to_owned(),
        route: Route::Model {
            prefill: "prefill".to_owned(),
            decode: "decode".to_owned(),
        },
        priority: 1,
        model: "m".to_owned(),
        version: "1".to_owned(),
        adapter: None,
        repeat,
        target: Target {
            first_token: Duration::from_secs(1),
            per_token: Duration::from_millis(36),
        },
        borrow: None,
    }
}

/// Runs one completion with `endpoints` decode and as many prefill endpoints, which follow `acts`.
/// Returns the calls at the engines, the chunks that the caller received, the text or the refusal
/// at the end, and the pieces that are still granted afterwards.
async fn run(endpoints: usize, acts: &[Act]) -> (Vec<String>, Vec<TextChunk>, String, u32) {
    let setup = Setup {
        endpoints,
        ..Setup::default()
    };
    run_with(setup, acts).await
}

/// Runs one completion as `run` does, in `setup`.
async fn run_with(setup: Setup, acts: &[Act]) -> (Vec<String>, Vec<TextChunk>, String, u32) {
    let mut bench = QueueBench::new(setup.endpoints, 40);
    let branch = setup.retries.map(|_| bench.add_branch("bangor"));
    let clock = MonoClock::start();
    let (writer, _suspects) = section(lentillead::board::Suspects::default());
    let (controller, suspicions) = SuspectController::new(clock, writer, Duration::from_mins(1));
    tokio::spawn(controller.run());
    let engine = ScriptEngine {
        prefill: Duration::from_millis(setup.prefill_ms),
        ..ScriptEngine::default()
    };
    engine.acts.lock().unwrap().extend(acts);
    let parts = ScriptParts {
        clock,
        engine: engine.clone(),
        unused: Unused,
        queue: bench.queues.clone(),
        suspicions,
    };
    let counters = Counters::new(&mut Registry::default());
    let options = PathOptions {
        local_tokens: 0,
        max_attempts: setup.attempts,
        retry_percent: 0,
        retry_reserve: setup.retries.unwrap_or_default(),
        ..PathOptions::default()
    };
    let shared = Shared::new(parts, bench.board.clone(), counters, options);
    let call = Call {
        id: RequestId {
            host: 1,
            incarnation: 1,
            sequence: 1,
        },
        branch: branch.unwrap_or_default(),
        rule: Arc::new(rule(setup.repeat)),
        key: None,
        arrived: clock.now(),
        deadline: clock.now() + Duration::from_mins(1),
        fingerprint: 1,
    };
    let request = Completion {
        call,
        prompt: "coat notes".to_owned(),
        max_tokens: TOKENS,
    };
    let (mut sender, mut receiver) = mpsc::channel(64);
    let end = ModelPath::new(&shared, &request)
        .unwrap()
        .run(&mut sender)
        .await;
    let end = end.map_or_else(|refused| refused.to_string(), |progress| progress.text);
    drop(sender);
    let mut chunks = Vec::new();
    while let Some(chunk) = receiver.recv().await {
        chunks.push(chunk);
    }
    shared.wait_for_tasks().await;
    bench.settle().await;
    let calls = engine.calls.lock().unwrap().clone();
    (calls, chunks, end, bench.granted())
}

#[tokio::test(start_paused = true)]
async fn a_broken_stream_continues_at_another_engine_without_gap_or_repetition() {
    insta::assert_debug_snapshot!("path_moved", run(3, &[Act::Break(2), Act::Finish(2)]).await);
}

#[tokio::test(start_paused = true)]
async fn a_response_that_lacks_only_its_end_is_not_run_again() {
    insta::assert_debug_snapshot!("path_concluded", run(3, &[Act::Break(TOKENS)]).await);
}

#[tokio::test(start_paused = true)]
async fn an_evicted_cache_is_prefilled_again() {
    insta::assert_debug_snapshot!(
        "path_evicted",
        run(3, &[Act::EvictedCache, Act::Finish(4)]).await
    );
}

#[tokio::test(start_paused = true)]
async fn attempts_are_bounded() {
    insta::assert_debug_snapshot!("path_exhausted", run(3, &[Act::EvictedCache; 6]).await);
}

#[tokio::test(start_paused = true)]
async fn the_only_endpoint_is_retried_after_it_failed() {
    let seen = run(1, &[Act::EvictedCache, Act::Finish(4)]).await;
    insta::assert_debug_snapshot!("path_only_endpoint", seen);
}

#[tokio::test(start_paused = true)]
async fn a_silent_response_is_not_given_up_while_no_attempt_may_follow() {
    let setup = Setup::default();
    let last_attempt = Setup {
        attempts: 1,
        ..setup
    };
    let no_retry = Setup {
        retries: Some(0),
        ..setup
    };
    let at_most_once = Setup {
        repeat: Repeat::AtMostOnce,
        ..setup
    };
    let mut seen = Vec::new();
    for (name, setup) in [
        ("last attempt", last_attempt),
        ("no retry", no_retry),
        ("at most once", at_most_once),
    ] {
        let slow_prefill = Setup {
            prefill_ms: 40_000,
            ..setup
        };
        for (place, setup, act) in [
            ("between tokens", setup, Act::Silent(0, 2, 30_000)),
            ("before the first token", setup, Act::Silent(0, 0, 30_000)),
            ("before the head", setup, Act::Silent(8_000, 2, 0)),
            ("in the prefill", slow_prefill, Act::Finish(TOKENS)),
        ] {
            if name == "at most once" && place == "in the prefill" {
                // No run yet, so another prefill may follow.
                continue;
            }
            let acts = [act, Act::Finish(TOKENS)];
            let (calls, _, end, granted) = run_with(setup, &acts).await;
            seen.push((name, place, calls, end, granted));
        }
    }
    insta::assert_yaml_snapshot!(seen);
}

#[tokio::test(start_paused = true)]
async fn a_silent_response_goes_on_at_another_engine_with_one_retry() {
    let setup = Setup {
        retries: Some(1),
        ..Setup::default()
    };
    let mut seen = Vec::new();
    for (place, acts) in [
        (
            "between tokens",
            [Act::Silent(0, 2, 90_000), Act::Finish(2)],
        ),
        (
            "before the head",
            [Act::Silent(90_000, 2, 0), Act::Finish(TOKENS)],
        ),
    ] {
        let (calls, _, end, granted) = run_with(setup, &acts).await;
        seen.push((place, calls, end, granted));
    }
    insta::assert_yaml_snapshot!(seen);
}
