use super::{
    recorder::{RunEnd, RunGuard},
    worker_stand_in::WorkerStandIn,
};

/// A run at a worker. If the worker or its link ends it, this is recorded when it is dropped.
#[derive(Debug)]
pub struct WorkerRun {
    run: RunGuard,
    worker: WorkerStandIn,
    /// Starts of the worker and resets of its link before the run.
    breaks: (u64, u64),
}

impl WorkerRun {
    /// Wraps `run`, which begins now at `worker`.
    pub fn new(run: RunGuard, worker: &WorkerStandIn) -> Self {
        Self {
            run,
            worker: worker.clone(),
            breaks: worker.breaks(),
        }
    }

    /// Records who ends the run.
    pub fn end(&self, end: RunEnd) {
        self.run.end(end);
    }
}

impl Drop for WorkerRun {
    fn drop(&mut self) {
        if self.worker.breaks() != self.breaks || self.worker.link().is_faulty() {
            self.run.cut();
        }
    }
}
