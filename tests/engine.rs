//! `EngineClient` against `FakeEngine`: prefill with decode, memory limits, eviction, resumed
//! streams and orders.

use {
    insta::assert_yaml_snapshot,
    lentillead::{
        board::Role,
        border::{EngineClient, http_client},
        fake::{EngineControl, EngineSettings, FakeEngine, completion_text},
        key::{AttemptId, RequestId},
        port::{
            Chunk, DecodeRequest, Engine, EngineError, KvHandle, Order, PrefillRequest, TokenStream,
        },
    },
    prometheus_client::metrics::counter::Counter,
    std::{collections::BTreeMap, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Longest wait for any result; a test that reaches it fails.
pub const LIMIT: Duration = Duration::from_secs(30);
pub const MODEL: &str = "m";
const SCALE: f64 = 0.05;
/// One hour in milliseconds: a timer of this length never fires during a test.
const NEVER_MS: u64 = 3_600_000;

pub struct Pair {
    pub prefill: FakeEngine,
    pub decode: FakeEngine,
    pub client: EngineClient,
    pub stray: Counter,
}

pub fn settings(role: Role) -> EngineSettings {
    let settings = EngineSettings::builder(role).scale(SCALE).load_ms(0);
    settings.expiry_ms(NEVER_MS).resume_ms(NEVER_MS).build()
}

pub async fn pair(prefill: EngineSettings, decode: EngineSettings) -> Pair {
    let client = http_client(Duration::from_secs(5)).unwrap();
    let stray = Counter::default();
    Pair {
        prefill: FakeEngine::start(prefill).await.unwrap(),
        decode: FakeEngine::start(decode).await.unwrap(),
        client: EngineClient::new(client, stray.clone()),
        stray,
    }
}

pub async fn plain_pair() -> Pair {
    pair(settings(Role::Prefill), settings(Role::Decode)).await
}

pub fn attempt(sequence: u64) -> AttemptId {
    let request = RequestId {
        host: 0xaa,
        incarnation: 1,
        sequence,
    };
    AttemptId { request, number: 0 }
}

pub fn prompt(words: usize) -> String {
    let words = (0..words).map(|word| format!("w{word}"));
    words.collect::<Vec<_>>().join(" ")
}

pub fn prefill_request(sequence: u64, prompt: &str) -> PrefillRequest {
    PrefillRequest {
        attempt: attempt(sequence),
        model: MODEL.into(),
        adapter: None,
        prompt: prompt.into(),
        priority: 0,
    }
}

pub fn decode_request(sequence: u64, prompt: &str, import: Option<KvHandle>) -> DecodeRequest {
    DecodeRequest {
        attempt: attempt(sequence),
        model: MODEL.into(),
        adapter: None,
        prompt: prompt.into(),
        max_tokens: 8,
        priority: 0,
        import,
    }
}

/// Reads a stream to its end; returns the text, the finish reason and the final result.
pub async fn drain<T>(tokens: &mut T) -> (String, Option<String>, Result<(), EngineError>)
where
    T: TokenStream,
{
    let (mut text, mut finish) = (String::new(), None);
    loop {
        match timeout(LIMIT, tokens.next()).await.unwrap() {
            Ok(Some(chunk)) => {
                text += &chunk.text;
                finish = chunk.finish;
            }
            Ok(None) => return (text, finish, Ok(())),
            Err(e) => return (text, finish, Err(e)),
        }
    }
}

/// Names the kind of a result, without error texts that differ between runs.
pub fn kind<T>(result: &Result<T, EngineError>) -> String {
    match result {
        Ok(_) => "ok".into(),
        Err(EngineError::Unsent(_)) => "unsent".into(),
        Err(EngineError::Refused(reason)) => format!("refused: {reason}"),
        Err(EngineError::Broken(_)) => "broken".into(),
        Err(EngineError::CacheEvicted) => "cache-gone".into(),
        Err(EngineError::UnknownAttempt) => "unknown-attempt".into(),
    }
}

pub fn address(engine: &FakeEngine) -> String {
    engine.address().to_string()
}

/// Waits until exactly `pieces` pieces of the engine's memory are in use.
pub async fn wait_used(engine: &FakeEngine, pieces: u32) {
    let reached = async {
        while engine.observed().used != pieces {
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(LIMIT, reached).await.unwrap();
}

#[tokio::test]
async fn decode_continues_from_a_prefill() {
    let pair = plain_pair().await;
    let prompt = prompt(100);
    let mut seen = Vec::new();
    for sequence in [1, 3] {
        let request = prefill_request(sequence, &prompt);
        let kv = pair.client.prefill(&address(&pair.prefill), &request).await;
        let kv = kv.unwrap();
        seen.push(format!("{} tokens, {} cached", kv.tokens, kv.cached));
        let request = decode_request(sequence + 1, &prompt, Some(kv));
        let tokens = pair.client.decode(&address(&pair.decode), &request).await;
        let (text, finish, end) = drain(&mut tokens.unwrap()).await;
        seen.push(format!("{text}{finish:?} {end:?}"));
        assert_eq!(text, completion_text(MODEL, &prompt, 0, 8));
    }
    wait_used(&pair.prefill, 0).await;
    let totals = (
        pair.prefill.observed().totals,
        pair.decode.observed().totals,
    );
    assert_yaml_snapshot!("engine_whole_path", (seen, totals));
}

#[tokio::test]
async fn memory_that_does_not_fit_is_refused() {
    let small = EngineSettings {
        pieces: 3,
        step_us: NEVER_MS * 1_000,
        ..settings(Role::Decode)
    };
    let pair = pair(settings(Role::Prefill), small).await;
    let (two, one) = (prompt(3_000), prompt(10));
    let mut seen = Vec::new();
    for (sequence, prompt) in [(1, &two), (2, &two), (3, &one), (4, &one), (3, &one)] {
        let request = decode_request(sequence, prompt, None);
        let result = pair.client.decode(&address(&pair.decode), &request).await;
        let load = pair.client.load(&address(&pair.decode)).await.unwrap();
        seen.push(format!("{}, {} used", kind(&result), load.used));
    }
    assert_yaml_snapshot!("engine_memory", seen);
}

#[tokio::test]
async fn decode_after_eviction_reports_the_cache_evicted() {
    let short_expiry = EngineSettings {
        expiry_ms: 1,
        ..settings(Role::Prefill)
    };
    let pair = pair(short_expiry, settings(Role::Decode)).await;
    let prompt = prompt(50);
    let request = prefill_request(1, &prompt);
    let kv = pair.client.prefill(&address(&pair.prefill), &request).await;
    wait_used(&pair.prefill, 0).await;
    let request = decode_request(2, &prompt, kv.ok());
    let result = pair.client.decode(&address(&pair.decode), &request).await;
    let waste = pair.prefill.observed().totals.wasted;
    let used = pair.decode.observed().used;
    assert_yaml_snapshot!("engine_eviction", (kind(&result), waste, used));
}

#[tokio::test]
async fn a_resumed_stream_sends_only_the_missing_tokens() {
    let pair = plain_pair().await;
    let (at, prompt) = (address(&pair.decode), prompt(20));
    let request = decode_request(1, &prompt, None);
    let mut tokens = pair.client.decode(&at, &request).await.unwrap();
    let first = timeout(LIMIT, tokens.next()).await.unwrap();
    let first: Chunk = first.unwrap().unwrap();
    drop(tokens);
    let mut rest = pair.client.resume(&at, request.attempt, first.count).await;
    let (text, finish, end) = drain(rest.as_mut().unwrap()).await;
    assert_eq!(first.text + &text, completion_text(MODEL, &prompt, 0, 8));
    let mut last = pair.client.resume(&at, request.attempt, 6).await.unwrap();
    let (text, ..) = drain(&mut last).await;
    let unknown = pair.client.resume(&at, attempt(9), 0).await;
    assert_yaml_snapshot!("engine_resume", (finish, end.is_ok(), text, kind(&unknown)));
}

#[tokio::test]
async fn only_a_fenced_engine_refuses_an_old_order() {
    let mut seen = BTreeMap::new();
    for fenced in [true, false] {
        let settings = EngineSettings {
            fenced,
            ..settings(Role::Decode)
        };
        let pair = pair(self::settings(Role::Prefill), settings).await;
        let mut results = Vec::new();
        for (fence, version) in [(7, "2"), (6, "1")] {
            let order = Order {
                fence,
                role: Role::Decode,
                models: BTreeMap::from([(MODEL.into(), version.into())]),
                adapters: vec!["a".into()],
            };
            let result = pair.client.order(&address(&pair.decode), &order).await;
            results.push(kind(&result));
        }
        let after = pair.client.describe(&address(&pair.decode)).await.unwrap();
        seen.insert(fenced, (results, after.models, after.fence));
    }
    assert_yaml_snapshot!("engine_orders", seen);
}

#[tokio::test]
async fn a_draining_engine_refuses_requests_and_reports_the_drain() {
    let pair = plain_pair().await;
    let at = address(&pair.decode);
    let running = decode_request(1, &prompt(20), None);
    let mut tokens = pair.client.decode(&at, &running).await.unwrap();
    pair.decode.control(&EngineControl {
        leaving: Some(true),
        ..EngineControl::default()
    });
    let later = decode_request(2, &prompt(20), None);
    let refused = pair.client.decode(&at, &later).await;
    let load = pair.client.load(&at).await.unwrap();
    let (_, finish, _) = drain(&mut tokens).await;
    assert_yaml_snapshot!("engine_leaving", (kind(&refused), load.leaving, finish));
}

#[tokio::test]
async fn a_prompt_with_its_first_tokens_is_continued() {
    let pair = plain_pair().await;
    let prompt = prompt(20);
    for (sequence, count) in [(1, 1), (2, 3), (3, 7), (4, 8)] {
        let start = completion_text(MODEL, &prompt, 0, count);
        let request = DecodeRequest {
            max_tokens: 8 - count,
            ..decode_request(sequence, &format!("{prompt} {}", start.trim()), None)
        };
        let decode = pair.client.decode(&address(&pair.decode), &request).await;
        let (rest, _, end) = drain(&mut decode.unwrap()).await;
        assert_eq!(start + &rest, completion_text(MODEL, &prompt, 0, 8));
        assert_eq!(end, Ok(()));
    }
}
