use {
    super::{
        FaultKind,
        engine_core::EngineCore,
        engine_run::{RunKey, Stage},
        link::PART_TOKENS,
    },
    crate::border::endpoint_wire::KvTransferParams,
    bytes::Bytes,
    futures_util::{Stream, stream::unfold},
    reqwest::Response,
    std::{io, sync::Arc, time::Duration},
    tokio::{select, time::sleep},
};

/// Transfer of a KV cache to another engine; dropping it ends the transfer.
struct Export {
    core: Arc<EngineCore>,
    key: RunKey,
    /// Tokens that remain to be sent.
    remaining: u32,
    /// Duration of an injected stall after the first part.
    stall: Option<Duration>,
}

impl Drop for Export {
    fn drop(&mut self) {
        self.core.unpin(self.key, self.remaining == 0);
    }
}

/// Streams the KV cache that `handle` names at the rate of the link, one byte for each token.
///
/// `None` if no such KV cache waits for export.
pub(super) fn export(
    core: &Arc<EngineCore>,
    handle: &str,
) -> Option<impl Stream<Item = io::Result<Bytes>> + Send + 'static> {
    let (key, tokens) = core.pin(handle)?;
    let mut state = core.lock();
    let stall = state.faults.draw(FaultKind::StallTransfer);
    let stall = stall.map(|fault| state.settings.scaled_ms(fault.ms));
    drop(state);
    let export = Export {
        core: Arc::clone(core),
        key,
        remaining: tokens,
        stall,
    };
    Some(unfold(export, |mut export| async {
        let part = export.part().await?;
        Some((Ok(part), export))
    }))
}

impl Export {
    /// Returns the next part; `None` at the end or if the attempt has ended meanwhile.
    async fn part(&mut self) -> Option<Bytes> {
        let tokens = self.remaining.min(PART_TOKENS);
        if tokens == 0 {
            return None;
        }
        self.core.egress.transmit(tokens).await;
        if let Some(stall) = self.stall.take() {
            sleep(stall).await;
        }
        if self.core.lock().runs.get(self.key)?.stage != Stage::Exported {
            return None;
        }
        self.remaining -= tokens;
        Some(Bytes::from(vec![0; tokens as usize]))
    }
}

/// Imports the KV cache that `kv` names, after which the attempt decodes.
///
/// The import stops if the attempt ends.
pub(super) async fn import(core: Arc<EngineCore>, key: RunKey, kv: KvTransferParams) {
    let Some(mut progress) = core.subscribe(key) else {
        return;
    };
    let ended = progress.wait_for(|progress| progress.end.is_some());
    let complete = select! {
        fetched = fetch(&core, key, &kv) => fetched.is_some(),
        _ = ended => false,
    };
    core.import_ended(key, complete);
}

/// Fetches a KV cache; `None` if the transfer fails or its length differs from `kv`.
async fn fetch(core: &EngineCore, key: RunKey, kv: &KvTransferParams) -> Option<()> {
    let (address, handle) = (kv.remote_address.as_ref()?, kv.remote_handle.as_ref()?);
    let url = format!("http://{address}/v1/kv/{handle}");
    let response = core.client.get(url).send().await.ok()?;
    let response = response.error_for_status().ok()?;
    core.import_started(key);
    let tokens = receive(core, response).await?;
    (Some(tokens) == kv.remote_tokens).then_some(())
}

/// Receives a response at the rate of the link and returns the number of tokens; `None` if it
/// breaks off.
async fn receive(core: &EngineCore, mut response: Response) -> Option<u32> {
    let mut tokens = 0;
    while let Some(part) = response.chunk().await.ok()? {
        let count = u32::try_from(part.len()).ok()?;
        core.ingress.transmit(count).await;
        tokens += count;
    }
    Some(tokens)
}
