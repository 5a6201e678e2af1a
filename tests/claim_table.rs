//! Decisions of two claim committers that write one head, in any order and with lost responses of
//! the store.

use {
    lentillead::{
        decide::{ClaimTable, ClaimTime},
        key::{AttemptId, RequestId},
        port::{ClaimEnd, ClaimKey, ClaimOutcome, ClaimRecord, ClaimRequest},
    },
    proptest::prelude::*,
    std::time::Duration,
};

const TIME: ClaimTime = ClaimTime {
    now_ms: 1_000,
    retention: Duration::from_hours(1),
};

/// One request at one of the committers.
#[derive(Clone, Copy, Debug)]
struct Step {
    committer: usize,
    attempt: u64,
    action: Action,
    /// Whether the store's response to the write is lost, so that the committer decides again.
    lost: bool,
}

#[derive(Clone, Copy, Debug)]
enum Action {
    Take,
    NotRun,
    Answer,
    Unknown,
}

/// A committer, with the version of the head that it has read.
#[derive(Default)]
struct Committer {
    table: ClaimTable,
    version: usize,
}

impl Committer {
    fn read(&mut self, head: &[Vec<ClaimRecord>]) {
        for records in &head[self.version..] {
            self.table.merge(records.iter().cloned());
        }
        self.version = head.len();
    }

    /// Decides and writes until the write is confirmed, and returns the outcome.
    fn commit(
        &mut self,
        head: &mut Vec<Vec<ClaimRecord>>,
        request: &ClaimRequest,
        lost: bool,
    ) -> ClaimOutcome {
        let mut lost = lost;
        let mut fresh = false;
        loop {
            let decided = self.table.decide([request], TIME, |_| false);
            let outcome = decided.outcomes[0].clone();
            if decided.verify && !fresh {
                self.read(head);
                fresh = true;
                continue;
            }
            if decided.records.is_empty() {
                return outcome;
            }
            if self.version != head.len() {
                self.read(head);
                continue;
            }
            head.push(decided.records);
            if !lost {
                self.read(head);
                return outcome;
            }
            lost = false;
            self.read(head);
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    let action = prop_oneof![
        4 => Just(Action::Take),
        2 => Just(Action::NotRun),
        1 => Just(Action::Answer),
        1 => Just(Action::Unknown),
    ];
    (0..2_usize, 0..4_u64, action, any::<bool>()).prop_map(|(committer, attempt, action, lost)| {
        Step {
            committer,
            attempt,
            action,
            lost,
        }
    })
}

fn claim_request(step: Step) -> ClaimRequest {
    let request = RequestId {
        host: 1,
        incarnation: 1,
        sequence: step.attempt,
    };
    let attempt = AttemptId { request, number: 0 };
    let key = ClaimKey {
        branch: "cardiff".into(),
        kind: "appointment".into(),
        key: "k".into(),
    };
    let end = match step.action {
        Action::Take => {
            return ClaimRequest::Take {
                key,
                body_hash: 1,
                attempt,
                remaining: Duration::from_secs(1),
            };
        }
        Action::NotRun => ClaimEnd::NotRun,
        Action::Unknown => ClaimEnd::Unknown,
        Action::Answer => ClaimEnd::Answered {
            status: 200,
            content_type: String::new(),
            body: Vec::new(),
            complete: true,
        },
    };
    ClaimRequest::Finish { key, attempt, end }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Two attempts take one key only if the first was recorded as not run in between, and an
    /// attempt that was recorded as not run never takes the key before another one did.
    #[test]
    fn one_attempt_at_a_time_takes_a_key(steps in prop::collection::vec(step(), 1..40)) {
        let mut committers = [Committer::default(), Committer::default()];
        let mut head = Vec::new();
        let mut holder = None;
        for step in steps {
            let outcome = committers[step.committer].commit(&mut head, &claim_request(step), step.lost);
            match step.action {
                Action::Take if outcome == ClaimOutcome::Taken => {
                    prop_assert!(holder.is_none() || holder == Some(step.attempt));
                    holder = Some(step.attempt);
                }
                Action::NotRun if holder == Some(step.attempt) => {
                    let latest = head.last().and_then(|records| records.first());
                    if latest.is_some_and(|record| record.end == Some(ClaimEnd::NotRun)) {
                        holder = None;
                    }
                }
                Action::Take | Action::NotRun | Action::Answer | Action::Unknown => {}
            }
        }
    }
}
