use {
    super::{
        EngineSettings, FaultKind, RunObserved,
        completion_text::{completion_length, split_generated, text_fingerprint},
        fault::FaultPlan,
    },
    crate::{
        border::endpoint_wire::{CompletionRequest, KvTransferParams},
        decide::{count_tokens, prefixes},
    },
    slotmap::new_key_type,
    std::time::Duration,
    tokio::sync::watch,
};

new_key_type! {
    /// Key of an attempt at a fake engine.
    pub(super) struct RunKey;
}

/// Stage of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// Its KV cache is being imported.
    Importing,
    /// Its prompt is being prefilled.
    Prefilling,
    /// Its KV cache waits for export.
    Exported,
    /// It generates tokens.
    Decoding,
    /// It has ended and holds no memory.
    Ended,
}

/// Why an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum End {
    /// The caller's token limit was reached.
    Length,
    /// The text was complete.
    Stop,
    /// A cancel call ended it.
    Cancelled,
    /// Its KV cache was sent completely.
    Exported,
    /// Its KV cache expired before it was fetched.
    Evicted,
    /// The KV cache to import could not be fetched completely.
    CacheGone,
    /// The engine died.
    Died,
}

/// Progress of an attempt as its subscribers see it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Progress {
    /// Number of tokens generated.
    pub tokens: u32,
    /// Whether the response may begin: the prefill is complete or the import has started.
    pub ready: bool,
    /// Why it ended; `None` while it runs.
    pub end: Option<End>,
}

/// State of one attempt at a fake engine.
#[derive(Debug)]
pub(super) struct Run {
    /// Record that the observed call returns.
    pub observed: RunObserved,
    pub stage: Stage,
    /// Priority; lower values are batched first.
    pub priority: u8,
    /// Sequence number of the arrival.
    pub order: u64,
    /// Hashes of the prefixes of the prompt, for the prefix cache.
    pub prefixes: Vec<u64>,
    /// Prompt tokens that remain to be computed.
    pub remaining: u32,
    /// Prompt tokens that the exporting engine computed for the KV cache to import.
    pub import_tokens: u32,
    /// Number of tokens to generate.
    pub limit: u32,
    /// Whether `limit` is the caller's maximum; the finish reason is then `length`.
    pub capped: bool,
    /// Seed of the generated text.
    pub fingerprint: u64,
    /// Generated tokens that the prompt already holds at its end.
    pub prior_tokens: u32,
    /// Publishes the progress to subscribers.
    pub progress: watch::Sender<Progress>,
    /// Number of tokens after which generation stalls, and for how long.
    pub stall: Option<(u32, Duration)>,
    /// Whether generation is stalled now.
    pub stalled: bool,
    /// Number of tokens after which the attempt kills the engine.
    pub fatal_after: Option<u32>,
    /// Number of transfers that read the exported KV cache now.
    pub pins: u32,
    /// Whether the exported KV cache has expired.
    pub expired: bool,
}

impl Run {
    /// Creates an attempt from its request and draws the faults that hit it.
    pub(super) fn new(
        request: &CompletionRequest,
        settings: &EngineSettings,
        faults: &mut FaultPlan,
    ) -> Self {
        let prompt = count_tokens(&request.prompt);
        let import = request
            .kv_transfer_params
            .as_ref()
            .filter(|kv| is_import(kv));
        let stall = faults.draw(FaultKind::StallTokens);
        let (start, prior_tokens) = split_generated(&request.model, &request.prompt);
        let limit = completion_length(start, request.max_tokens.saturating_add(prior_tokens))
            .saturating_sub(prior_tokens);
        Self {
            observed: RunObserved {
                attempt: request.attempt.clone(),
                prefill: !request.stream,
                prompt,
                pieces: pieces(prompt, request.max_tokens, settings.piece_tokens),
                ..RunObserved::default()
            },
            stage: import.map_or(Stage::Prefilling, |_| Stage::Importing),
            priority: request.priority,
            order: 0,
            prefixes: prefixes(&request.prompt, &request.model, request.adapter.as_deref()),
            remaining: prompt,
            import_tokens: import.map_or(0, uncached),
            limit,
            capped: limit == request.max_tokens,
            fingerprint: text_fingerprint(&request.model, start),
            prior_tokens,
            progress: watch::Sender::default(),
            stall: stall.map(|stall| (stall.after, settings.scaled_ms(stall.ms))),
            stalled: false,
            fatal_after: fatal_after(request, settings, faults),
            pins: 0,
            expired: false,
        }
    }

    /// Whether the next step may include it.
    pub(super) fn is_ready(&self) -> bool {
        !self.stalled && matches!(self.stage, Stage::Prefilling | Stage::Decoding)
    }

    /// Whether the next step on it kills the engine.
    pub(super) fn is_fatal(&self) -> bool {
        self.fatal_after
            .is_some_and(|after| self.observed.generated >= after.min(self.limit))
    }

    /// Returns the prompt tokens that were computed for it and never used for decode.
    pub(super) fn wasted(&self) -> u32 {
        match self.observed.end.as_deref() {
            Some("exported") => 0,
            _ if self.observed.prefill => self.observed.computed,
            _ if self.observed.generated == 0 => self.observed.computed + self.observed.imported,
            _ => 0,
        }
    }
}

impl End {
    /// Returns the reason as it is sent to clients.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Stop => "stop",
            Self::Cancelled => "cancelled",
            Self::Exported => "exported",
            Self::Evicted => "evicted",
            Self::CacheGone => "cache-gone",
            Self::Died => "died",
        }
    }
}

/// Whether `kv` asks for an import.
pub(super) fn is_import(kv: &KvTransferParams) -> bool {
    kv.do_remote_prefill
}

/// Returns the prompt tokens that the exporting engine had to compute.
fn uncached(kv: &KvTransferParams) -> u32 {
    let tokens = kv.remote_tokens.unwrap_or_default();
    tokens.saturating_sub(kv.cached_tokens.unwrap_or_default())
}

/// Returns the memory for the prompt and all tokens to generate, in pieces.
fn pieces(prompt: u32, max_tokens: u32, piece_tokens: u32) -> u32 {
    let tokens = prompt.saturating_add(max_tokens).max(1);
    tokens.div_ceil(piece_tokens.max(1))
}

/// Returns the number of tokens after which the attempt kills the engine: 0 for a poisoned prompt,
/// else what the fault `Die` sets if it is drawn.
fn fatal_after(
    request: &CompletionRequest,
    settings: &EngineSettings,
    faults: &mut FaultPlan,
) -> Option<u32> {
    let poison = Some(settings.poison.as_str()).filter(|word| !word.is_empty());
    let poisoned = poison.is_some_and(|poison| request.prompt.contains(poison));
    let drawn = faults.draw(FaultKind::Die).map(|fault| fault.after);
    if poisoned { Some(0) } else { drawn }
}
