use {std::pin::pin, tokio::sync::watch};

/// Pauses tasks as a pause of their process would: they are not polled until they are resumed.
///
/// Clones share the same state.
#[derive(Clone, Debug)]
pub struct Pause {
    paused: watch::Sender<bool>,
}

impl Default for Pause {
    fn default() -> Self {
        Self {
            paused: watch::Sender::new(false),
        }
    }
}

impl Pause {
    /// Pauses or resumes the tasks.
    pub fn set(&self, paused: bool) {
        self.paused.send_replace(paused);
    }

    /// Waits until the tasks may run.
    pub async fn resumed(&self) {
        self.wait_for(false).await;
    }

    /// Waits until the state is `wanted`.
    async fn wait_for(&self, wanted: bool) {
        let mut paused = self.paused.subscribe();
        // Cannot fail: `self` holds the sender.
        let _ = paused.wait_for(|paused| *paused == wanted).await;
    }

    /// Runs `task` to its end and polls it only while it is not paused.
    pub async fn run<F>(self, task: F) -> F::Output
    where
        F: Future,
    {
        let mut task = pin!(task);
        loop {
            tokio::select! {
                biased;
                () = self.wait_for(true) => self.resumed().await,
                output = &mut task => return output,
            }
        }
    }
}
