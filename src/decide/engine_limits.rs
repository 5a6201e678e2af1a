use {
    crate::{
        board::{RequestRate, Tick},
        port::StatedLimit,
    },
    std::{collections::HashMap, time::Duration},
};

/// Time after which a limit that no response has stated again counts as ended: the few requests that it
/// allows state it more often.
const RETENTION: Duration = Duration::from_secs(20);

/// Requests that may follow each other at once after a time without any.
const BURST: u32 = 2;

/// Limits that engines stated on the rate of the requests of all daemons together, as the one daemon
/// that places the requests of a pool keeps to them.
#[derive(Clone, Debug, Default)]
pub struct EngineLimits {
    engines: HashMap<String, EngineLimit>,
}

/// Limit of one engine.
#[derive(Clone, Copy, Debug)]
struct EngineLimit {
    /// Start time of the process that stated it.
    incarnation: u64,
    /// The limit; `None` once the engine has ended it.
    rate: Option<RequestRate>,
    /// When it was stated.
    stated: Tick,
    /// When the next request is due if all come evenly.
    due: Tick,
}

impl EngineLimits {
    /// Takes over what daemons heard from engines; the newest statement about each counts.
    pub fn merge(&mut self, stated: &[StatedLimit], now: Tick) {
        for limit in stated {
            let next = EngineLimit {
                incarnation: limit.incarnation,
                rate: limit.rate,
                stated: now.before(limit.age),
                due: now,
            };
            let known = self.engines.entry(limit.engine.clone()).or_insert(next);
            if next.stated > known.stated {
                *known = EngineLimit {
                    due: known.due,
                    ..next
                };
            }
        }
        self.engines
            .retain(|_, limit| now - limit.stated < RETENTION);
    }

    /// Returns the time from `now` until the process of `engine` that started at `incarnation` takes a
    /// request; zero if it does.
    pub fn wait(&self, engine: &str, incarnation: u64, now: Tick) -> Duration {
        let limit = self.engines.get(engine);
        let Some(limit) = limit.filter(|limit| limit.incarnation == incarnation) else {
            return Duration::ZERO;
        };
        let ahead = limit
            .rate
            .map_or(Duration::MAX, |rate| rate.interval(1) * (BURST - 1));
        limit.due.before(ahead) - now
    }

    /// Returns whether the limit of `engine` allows fewer requests now than after a time without any.
    pub fn is_scarce(&self, engine: &str, now: Tick) -> bool {
        let limit = self.engines.get(engine);
        limit.is_some_and(|limit| limit.rate.is_some() && limit.due > now)
    }

    /// Records that a request to `engine` was placed at `now`.
    pub fn record_request(&mut self, engine: &str, now: Tick) {
        if let Some(limit) = self.engines.get_mut(engine)
            && let Some(rate) = limit.rate
        {
            limit.due = limit.due.max(now) + rate.interval(1);
        }
    }
}
