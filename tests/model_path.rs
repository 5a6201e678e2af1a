//! Attempts of a completion at scripted engines: broken streams, evicted caches and the bound on
//! attempts.

use {
    crate::queue_bench::QueueBench,
    lentillead::{
        board::{Counters, Repeat, Route, Rule, Target, section},
        control::{QueueHandle, SuspectController, SuspectHandle},
        key::{AttemptId, BranchKey, RequestId},
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
        collections::VecDeque,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::sync::mpsc,
};

/// Output tokens that the caller requests.
const TOKENS: u32 = 4;

/// Behaviour of the engine on one decode call.
#[derive(Clone, Copy, Debug)]
enum Act {
    /// Refuses to import the cache because it was evicted.
    EvictedCache,
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
}

/// Token stream of one scripted decode call.
#[derive(Debug)]
struct ScriptTokens {
    attempt: AttemptId,
    next: u32,
    act: Act,
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
        match act {
            Act::EvictedCache => Err(EngineError::CacheEvicted),
            act => Ok(ScriptTokens {
                attempt: request.attempt,
                next: 0,
                act,
            }),
        }
    }

    async fn resume(&self, _: &str, _: AttemptId, _: u32) -> Result<ScriptTokens, EngineError> {
        Err(EngineError::UnknownAttempt)
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

fn rule() -> Rule {
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
        repeat: Repeat::Idempotent,
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
    let bench = QueueBench::new(endpoints, 40);
    let clock = MonoClock::start();
    let (writer, _suspects) = section(lentillead::board::Suspects::default());
    let (controller, suspicions) = SuspectController::new(clock, writer, Duration::from_mins(1));
    tokio::spawn(controller.run());
    let engine = ScriptEngine::default();
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
        ..PathOptions::default()
    };
    let shared = Shared::new(parts, bench.board.clone(), counters, options);
    let call = Call {
        id: RequestId {
            host: 1,
            incarnation: 1,
            sequence: 1,
        },
        branch: BranchKey::default(),
        rule: Arc::new(rule()),
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
