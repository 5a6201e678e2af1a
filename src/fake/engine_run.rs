use {
    super::{
        EngineSettings, FaultKind, RunObserved,
        answer_text::{answer_length, answer_print, split_answer},
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
    /// Key of an attempt at an engine's stand-in.
    pub(super) struct RunKey;
}

/// Where an attempt stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// Its KV cache is being imported.
    Importing,
    /// Its prompt is being computed.
    Prefilling,
    /// Its KV cache waits for export.
    Exported,
    /// It generates tokens.
    Decoding,
    /// It holds nothing any more.
    Ended,
}

/// Why an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum End {
    Length,
    Stop,
    Cancelled,
    Exported,
    Evicted,
    CacheGone,
    Died,
}

/// What followers of an attempt are told.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Progress {
    /// Tokens generated.
    pub tokens: u32,
    /// Whether the import, or the prefill for export, got this far.
    pub ready: bool,
    /// End.
    pub end: Option<End>,
}

/// One attempt.
#[derive(Debug)]
pub(super) struct Run {
    pub seen: RunObserved,
    pub stage: Stage,
    pub priority: u8,
    /// Number of the arrival.
    pub order: u64,
    pub prefixes: Vec<u64>,
    /// Prompt tokens still to compute.
    pub todo: u32,
    /// Prompt tokens that the KV cache to import took to compute.
    pub import: u32,
    /// Tokens to generate.
    pub limit: u32,
    /// Whether the limit is the caller's.
    pub capped: bool,
    /// Seed of the text.
    pub print: u64,
    /// Tokens of the answer that the prompt already has.
    pub base: u32,
    pub progress: watch::Sender<Progress>,
    /// Tokens after which generation stops for a while.
    pub stall: Option<(u32, Duration)>,
    pub stalled: bool,
    /// Tokens after which the attempt kills the engine.
    pub fatal: Option<u32>,
    /// Transfers that read the exported KV cache now.
    pub pins: u32,
    /// Whether the exported KV cache has outlived its time.
    pub expired: bool,
}

impl Run {
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
        let (start, base) = split_answer(&request.model, &request.prompt);
        let limit =
            answer_length(start, request.max_tokens.saturating_add(base)).saturating_sub(base);
        Self {
            seen: RunObserved {
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
            todo: prompt,
            import: import.map_or(0, uncached),
            limit,
            capped: limit == request.max_tokens,
            print: answer_print(&request.model, start),
            base,
            progress: watch::Sender::default(),
            stall: stall.map(|stall| (stall.after, settings.scaled_ms(stall.ms))),
            stalled: false,
            fatal: fatal(request, settings, faults),
            pins: 0,
            expired: false,
        }
    }

    /// Whether the next step may work on it.
    pub(super) fn is_ready(&self) -> bool {
        !self.stalled && matches!(self.stage, Stage::Prefilling | Stage::Decoding)
    }

    /// Whether the next step on it kills the engine.
    pub(super) fn is_fatal(&self) -> bool {
        self.fatal
            .is_some_and(|after| self.seen.generated >= after.min(self.limit))
    }

    /// Prompt tokens that were computed for it and never decoded from.
    pub(super) fn wasted(&self) -> u32 {
        match self.seen.end.as_deref() {
            Some("exported") => 0,
            _ if self.seen.prefill => self.seen.computed,
            _ if self.seen.generated == 0 => self.seen.computed + self.seen.imported,
            _ => 0,
        }
    }
}

impl End {
    pub(super) fn word(self) -> &'static str {
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

fn uncached(kv: &KvTransferParams) -> u32 {
    let tokens = kv.remote_tokens.unwrap_or_default();
    tokens.saturating_sub(kv.cached_tokens.unwrap_or_default())
}

fn pieces(prompt: u32, max_tokens: u32, piece_tokens: u32) -> u32 {
    let tokens = prompt.saturating_add(max_tokens).max(1);
    tokens.div_ceil(piece_tokens.max(1))
}

fn fatal(
    request: &CompletionRequest,
    settings: &EngineSettings,
    faults: &mut FaultPlan,
) -> Option<u32> {
    let poison = Some(settings.poison.as_str()).filter(|word| !word.is_empty());
    let poisoned = poison.is_some_and(|poison| request.prompt.contains(poison));
    let drawn = faults.draw(FaultKind::Die).map(|fault| fault.after);
    if poisoned { Some(0) } else { drawn }
}
