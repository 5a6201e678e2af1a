//! What the engines of the bench do: prefills, handovers and decode steps.

use {
    super::{
        bench_job::{JobKey, Stage},
        bench_profile::{EVICTION, PIECES, PREFILL_START, PREFILL_TOKEN},
        bench_world::{Event, Notice, Unmoved, World},
    },
    crate::key::EndpointKey,
    std::time::Duration,
};

/// Time until a broken engine breaks a request.
const BREAK_TIME: Duration = Duration::from_millis(50);

impl World {
    /// Sends a prompt to a prefill endpoint.
    pub(super) fn prefill(&mut self, job: JobKey, engine: EndpointKey) {
        self.jobs[job].prefill = Some(engine);
        let queue = &mut self.engines[engine].queue;
        queue.push_back(job);
        if queue.len() == 1 {
            self.begin(engine);
        }
    }

    /// Starts the handover of a computed KV cache to a decode endpoint.
    pub(super) fn import(&mut self, key: JobKey, decode: EndpointKey) -> Result<(), Unmoved> {
        let job = &mut self.jobs[key];
        let Some(prefill) = job.prefill.filter(|_| job.stage == Stage::Ready) else {
            return Err(Unmoved::Gone);
        };
        let engine = &mut self.engines[decode];
        if engine.used + job.pieces() > PIECES {
            return Err(Unmoved::Full);
        }
        engine.used += job.pieces();
        engine.held += 1;
        job.decode = Some(decode);
        job.stage = Stage::Moving;
        let tokens = f64::from(job.prompt);
        let link = &mut self.engines[prefill].link;
        link.advance(self.now);
        link.active.push((key, tokens));
        self.schedule_link(prefill);
        Ok(())
    }

    /// Ends the present attempt of a request and frees everything that it holds.
    pub(super) fn abort(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        job.attempt += 1;
        let (prefill, decode) = (job.prefill.take(), job.decode.take());
        self.wasted += u64::from(std::mem::take(&mut job.computed));
        let pieces = job.pieces();
        job.stage = Stage::Queued;
        if let Some(decode) = decode {
            let engine = &mut self.engines[decode];
            engine.used -= pieces;
            engine.held -= 1;
            engine.batch.retain(|other| *other != key);
        }
        let Some(prefill) = prefill else {
            return;
        };
        let engine = &mut self.engines[prefill];
        engine.link.advance(self.now);
        engine.link.active.retain(|(other, _)| *other != key);
        self.schedule_link(prefill);
        self.leave_queue(key, prefill);
    }

    fn leave_queue(&mut self, key: JobKey, prefill: EndpointKey) {
        let queue = &mut self.engines[prefill].queue;
        let first = queue.front() == Some(&key);
        queue.retain(|other| *other != key);
        if first {
            self.begin(prefill);
        }
    }

    /// Starts to compute the first prompt of a queue.
    fn begin(&mut self, key: EndpointKey) {
        let engine = &mut self.engines[key];
        let Some(first) = engine.queue.front().copied() else {
            return;
        };
        let job = &mut self.jobs[first];
        let attempt = job.attempt;
        if engine.broken {
            self.schedule(BREAK_TIME, Event::Broken(key, first, attempt));
            return;
        }
        let cached = if engine.touch(job.group) {
            job.shared
        } else {
            0
        };
        let tokens = job.prompt - cached;
        let time = PREFILL_START + PREFILL_TOKEN * tokens;
        self.schedule(time, Event::Computed(key, first, attempt, tokens));
    }

    pub(super) fn end_prefill(
        &mut self,
        engine: EndpointKey,
        key: JobKey,
        attempt: u32,
        tokens: u32,
    ) {
        let job = &mut self.jobs[key];
        if job.attempt != attempt {
            return;
        }
        job.stage = Stage::Ready;
        job.computed = tokens;
        self.computed += u64::from(tokens);
        self.schedule(EVICTION, Event::Evict(key, attempt));
        self.engines[engine].queue.pop_front();
        self.begin(engine);
        self.notices.push_back(Notice::Computed(key));
    }

    pub(super) fn evict(&mut self, key: JobKey, attempt: u32) {
        let job = &mut self.jobs[key];
        if job.attempt != attempt || job.stage != Stage::Ready {
            return;
        }
        job.stage = Stage::Queued;
        self.wasted += u64::from(std::mem::take(&mut job.computed));
        self.notices.push_back(Notice::Evicted(key));
    }

    pub(super) fn end_handovers(&mut self, key: EndpointKey, version: u64) {
        let now = self.now;
        let link = &mut self.engines[key].link;
        if link.version != version {
            return;
        }
        link.advance(now);
        for ended in link.take_ended() {
            self.join_batch(ended);
        }
        self.schedule_link(key);
    }

    fn join_batch(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        job.stage = Stage::Decoding;
        let attempt = job.attempt;
        let Some(decode) = job.decode else {
            return;
        };
        self.notices.push_back(Notice::Moved(key));
        if self.engines[decode].broken {
            self.schedule(BREAK_TIME, Event::Broken(decode, key, attempt));
            return;
        }
        self.engines[decode].batch.push(key);
        if !self.engines[decode].stepping {
            self.start_step(decode);
        }
    }

    fn start_step(&mut self, key: EndpointKey) {
        let engine = &mut self.engines[key];
        engine.stepping = !engine.batch.is_empty();
        if !engine.stepping {
            return;
        }
        engine.steps += 1;
        let (time, number) = (engine.step_time(), engine.steps);
        self.schedule(time, Event::Step(key, number));
    }

    pub(super) fn end_step(&mut self, key: EndpointKey, number: u64) {
        if self.engines[key].steps != number {
            return;
        }
        let batch = std::mem::take(&mut self.engines[key].batch);
        for member in batch {
            self.generate(key, member);
        }
        self.start_step(key);
    }

    /// Adds one token to an answer; it stays in the batch until it is whole.
    fn generate(&mut self, engine: EndpointKey, key: JobKey) {
        let job = &mut self.jobs[key];
        job.tokens += 1;
        // From now on the prefill was of use.
        job.computed = 0;
        job.first.get_or_insert(self.now);
        job.last = self.now;
        if job.tokens < job.output {
            self.engines[engine].batch.push(key);
            return;
        }
        job.stage = Stage::Done;
        self.engines[engine].used -= job.pieces();
        self.engines[engine].held -= 1;
        self.notices.push_back(Notice::Done(key));
    }

    pub(super) fn break_job(&mut self, engine: EndpointKey, key: JobKey, attempt: u32) {
        if self.jobs[key].attempt == attempt {
            self.abort(key);
            self.notices.push_back(Notice::Failed(key, engine));
        }
    }
}
