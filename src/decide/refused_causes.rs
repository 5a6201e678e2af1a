use {
    crate::{board::Tick, key::CauseKey},
    std::{collections::HashMap, time::Duration},
};

/// Most causes that are refused at once; the ones that end first make room.
const MAX_REFUSED: usize = 64;

/// Causes of crashes whose requests are refused, and until when.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RefusedCauses {
    until: HashMap<CauseKey, Tick>,
}

impl RefusedCauses {
    /// Refuses requests with `cause` for `time`, or longer if they are refused longer already.
    pub fn refuse(&mut self, cause: CauseKey, time: Duration, now: Tick) {
        self.until.retain(|_, until| *until > now);
        let end = now + time;
        let until = self.until.entry(cause).or_insert(end);
        *until = (*until).max(end);
        if self.until.len() > MAX_REFUSED {
            let first = self.until.iter().min_by_key(|(_, until)| **until);
            if let Some(first) = first.map(|(cause, _)| *cause) {
                self.until.remove(&first);
            }
        }
    }

    /// Takes over causes that another daemon refuses, each with the time left.
    pub fn merge(&mut self, refused: &[(CauseKey, Duration)], now: Tick) {
        for (cause, left) in refused {
            self.refuse(*cause, *left, now);
        }
    }

    /// Stops to refuse requests with `cause`.
    pub fn clear(&mut self, cause: CauseKey) {
        self.until.remove(&cause);
    }

    /// Returns the longest time for which one of `causes` is still refused; `None` if none is.
    pub fn remaining(&self, causes: &[CauseKey], now: Tick) -> Option<Duration> {
        let until = causes.iter().filter_map(|cause| self.until.get(cause));
        until
            .filter(|until| **until > now)
            .max()
            .map(|until| *until - now)
    }

    /// Returns the refused causes, each with the time left, in order of their keys.
    pub fn list(&self, now: Tick) -> Vec<(CauseKey, Duration)> {
        let current = self.until.iter().filter(|(_, until)| **until > now);
        let mut list: Vec<_> = current
            .map(|(cause, until)| (*cause, *until - now))
            .collect();
        list.sort_unstable();
        list
    }

    /// Returns whether no cause is refused.
    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }
}
