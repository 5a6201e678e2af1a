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

/// A KV cache on its way out; dropping it ends the read.
struct Export {
    core: Arc<EngineCore>,
    key: RunKey,
    left: u32,
    stall: Option<Duration>,
}

impl Drop for Export {
    fn drop(&mut self) {
        self.core.unpin(self.key, self.left == 0);
    }
}

/// Streams the KV cache that `handle` names, one byte a token, at the rate of the link.
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
        left: tokens,
        stall,
    };
    Some(unfold(export, |mut export| async {
        let part = export.part().await?;
        Some((Ok(part), export))
    }))
}

impl Export {
    async fn part(&mut self) -> Option<Bytes> {
        let tokens = self.left.min(PART_TOKENS);
        if tokens == 0 {
            return None;
        }
        self.core.egress.pass(tokens).await;
        if let Some(stall) = self.stall.take() {
            sleep(stall).await;
        }
        if self.core.lock().runs.get(self.key)?.stage != Stage::Exported {
            return None;
        }
        self.left -= tokens;
        Some(Bytes::from(vec![0; tokens as usize]))
    }
}

/// Imports the KV cache that `kv` names and lets the attempt go on; its end stops the import.
pub(super) async fn import(core: Arc<EngineCore>, key: RunKey, kv: KvTransferParams) {
    let Some(mut progress) = core.subscribe(key) else {
        return;
    };
    let ended = progress.wait_for(|progress| progress.end.is_some());
    let whole = select! {
        pulled = pull(&core, key, &kv) => pulled.is_some(),
        _ = ended => false,
    };
    core.import_ended(key, whole);
}

async fn pull(core: &EngineCore, key: RunKey, kv: &KvTransferParams) -> Option<()> {
    let (address, handle) = (kv.remote_address.as_ref()?, kv.remote_handle.as_ref()?);
    let url = format!("http://{address}/v1/kv/{handle}");
    let response = core.client.get(url).send().await.ok()?;
    let response = response.error_for_status().ok()?;
    core.import_begun(key);
    let tokens = read(core, response).await?;
    (Some(tokens) == kv.remote_tokens).then_some(())
}

async fn read(core: &EngineCore, mut response: Response) -> Option<u32> {
    let mut tokens = 0;
    while let Some(part) = response.chunk().await.ok()? {
        let count = u32::try_from(part.len()).ok()?;
        core.ingress.pass(count).await;
        tokens += count;
    }
    Some(tokens)
}
