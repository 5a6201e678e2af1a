//! Behaviour of the simulated engines: prefills, handovers and decode steps.

use {
    super::{
        bench_job::{JobKey, Stage},
        bench_profile::{EVICTION_DELAY, PIECES, PREFILL_BASE_TIME, PREFILL_TIME_PER_TOKEN},
        bench_world::{Event, HandoverRefusal, Notice, World},
    },
    crate::key::EndpointKey,
    std::time::Duration,
};

/// Time after which a broken engine fails a request.
const FAILURE_DELAY: Duration = Duration::from_millis(50);

impl World {
    /// Adds a request to the queue of a prefill endpoint.
    pub(super) fn prefill(&mut self, job: JobKey, engine: EndpointKey) {
        self.jobs[job].prefill = Some(engine);
        let queue = &mut self.engines[engine].queue;
        queue.push_back(job);
        if queue.len() == 1 {
            self.begin(engine);
        }
    }

    /// Starts the handover of a request's KV cache to a decode endpoint.
    ///
    /// # Errors
    ///
    /// Fails if the KV cache is not there or the decode endpoint has too little free memory.
    pub(super) fn import(
        &mut self,
        key: JobKey,
        decode: EndpointKey,
    ) -> Result<(), HandoverRefusal> {
        let job = &mut self.jobs[key];
        let Some(prefill) = job.prefill.filter(|_| job.stage == Stage::Prefilled) else {
            return Err(HandoverRefusal::KvEvicted);
        };
        let engine = &mut self.engines[decode];
        if engine.used + job.pieces() > PIECES {
            return Err(HandoverRefusal::Full);
        }
        engine.used += job.pieces();
        engine.held += 1;
        job.decode = Some(decode);
        job.stage = Stage::Transferring;
        let tokens = f64::from(job.prompt);
        let link = &mut self.engines[prefill].link;
        link.advance(self.now);
        link.active.push((key, tokens));
        self.schedule_link(prefill);
        Ok(())
    }

    /// Aborts the present attempt of a request and frees the memory and the queue position that it
    /// holds.
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

    /// Starts to prefill the first prompt in the queue of an endpoint.
    fn begin(&mut self, key: EndpointKey) {
        let engine = &mut self.engines[key];
        let Some(first) = engine.queue.front().copied() else {
            return;
        };
        let job = &mut self.jobs[first];
        let attempt = job.attempt;
        if engine.broken {
            self.schedule(FAILURE_DELAY, Event::Broken(key, first, attempt));
            return;
        }
        let cached = if engine.use_prefix(job.prefix) {
            job.prefix_tokens
        } else {
            0
        };
        let tokens = job.prompt - cached;
        let time = PREFILL_BASE_TIME + PREFILL_TIME_PER_TOKEN * tokens;
        self.schedule(time, Event::Computed(key, first, attempt, tokens));
    }

    /// Ends a prefill: the KV cache is ready for the handover and the next prompt starts. Does
    /// nothing if the attempt has been aborted.
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
        job.stage = Stage::Prefilled;
        job.computed = tokens;
        self.computed += u64::from(tokens);
        self.schedule(EVICTION_DELAY, Event::Evict(key, attempt));
        self.engines[engine].queue.pop_front();
        self.begin(engine);
        self.notices.push_back(Notice::Computed(key));
    }

    /// Evicts the KV cache of a request unless its handover has begun or the attempt has been
    /// aborted.
    pub(super) fn evict(&mut self, key: JobKey, attempt: u32) {
        let job = &mut self.jobs[key];
        if job.attempt != attempt || job.stage != Stage::Prefilled {
            return;
        }
        job.stage = Stage::Queued;
        self.wasted += u64::from(std::mem::take(&mut job.computed));
        self.notices.push_back(Notice::Evicted(key));
    }

    /// Ends the handovers that are complete. Does nothing if the link has changed since the event
    /// was scheduled.
    pub(super) fn end_handovers(&mut self, key: EndpointKey, version: u64) {
        let now = self.now;
        let link = &mut self.engines[key].link;
        if link.version != version {
            return;
        }
        link.advance(now);
        for ended in link.remove_ended() {
            self.join_batch(ended);
        }
        self.schedule_link(key);
    }

    /// Adds a request whose handover is complete to the batch of its decode endpoint.
    fn join_batch(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        job.stage = Stage::Decoding;
        let attempt = job.attempt;
        let Some(decode) = job.decode else {
            return;
        };
        self.notices.push_back(Notice::Transferred(key));
        if self.engines[decode].broken {
            self.schedule(FAILURE_DELAY, Event::Broken(decode, key, attempt));
            return;
        }
        self.engines[decode].batch.push(key);
        if !self.engines[decode].stepping {
            self.start_step(decode);
        }
    }

    /// Starts a decode step if the batch is not empty.
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

    /// Ends a decode step: generates one token for each request of the batch. Does nothing if
    /// another step has started since.
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

    /// Generates one output token; the request stays in the batch until its output is complete.
    fn generate(&mut self, engine: EndpointKey, key: JobKey) {
        let job = &mut self.jobs[key];
        job.tokens += 1;
        // A prefill counts as wasted until the first token is generated from it.
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

    /// Fails a request at a broken engine. Does nothing if the attempt has been aborted.
    pub(super) fn fail_job(&mut self, engine: EndpointKey, key: JobKey, attempt: u32) {
        if self.jobs[key].attempt == attempt {
            self.abort(key);
            self.notices.push_back(Notice::Failed(key, engine));
        }
    }
}
