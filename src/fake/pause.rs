use {std::pin::pin, tokio::sync::watch};

/// Stops a task as a pause of its process would: it is not polled until it is resumed.
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
        self.until(false).await;
    }

    async fn until(&self, wanted: bool) {
        let mut paused = self.paused.subscribe();
        // The sender lives in `self`, so the wait ends by a change alone.
        let _ = paused.wait_for(|paused| *paused == wanted).await;
    }

    /// Runs `task`, polling it only while it is not paused.
    pub async fn run<F>(self, task: F) -> F::Output
    where
        F: Future,
    {
        let mut task = pin!(task);
        loop {
            tokio::select! {
                biased;
                () = self.until(true) => self.resumed().await,
                output = &mut task => return output,
            }
        }
    }
}
