//! A feed is followed without going back, through outages and lost history.

use {
    insta::assert_yaml_snapshot,
    lentillead::{
        control::{FeedFollower, FeedUpdate},
        port::{Change, Changes, Feed, FeedError, Listing, MonoClock},
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// One scripted answer.
#[derive(Clone, Debug)]
enum Answer {
    Listing(u64, &'static str),
    Changes(u64, Vec<&'static str>),
    Fails(FeedError),
}

/// A feed that answers by a script and notes what it was asked.
#[derive(Clone, Debug)]
struct Scripted {
    script: Arc<Mutex<VecDeque<Answer>>>,
    asked: Arc<Mutex<Vec<String>>>,
}

impl Scripted {
    fn next(&self, asked: String) -> Answer {
        self.asked.lock().unwrap().push(asked);
        let next = self.script.lock().unwrap().pop_front();
        next.unwrap_or(Answer::Fails(FeedError::Unreachable(
            "end of the script".into(),
        )))
    }
}

fn put(name: &str) -> Change<u64> {
    Change::Put(name.to_owned(), 1)
}

impl Feed for Scripted {
    type Item = u64;

    async fn list(&self) -> Result<Listing<u64>, FeedError> {
        match self.next("list".into()) {
            Answer::Listing(revision, name) => Ok(Listing {
                items: vec![put(name)],
                revision,
            }),
            Answer::Fails(error) => Err(error),
            Answer::Changes(..) => panic!("a list was asked for"),
        }
    }

    async fn watch(&self, since: u64, _: Duration) -> Result<Changes<u64>, FeedError> {
        match self.next(format!("watch from {since}")) {
            Answer::Changes(revision, names) => Ok(Changes {
                changes: names.into_iter().map(put).collect(),
                revision,
            }),
            Answer::Fails(error) => Err(error),
            Answer::Listing(..) => panic!("a watch was asked for"),
        }
    }
}

/// Plays `script` and returns what was asked and what was told.
async fn follow(script: Vec<Answer>) -> Vec<(String, String)> {
    let steps = script.len();
    let feed = Scripted {
        script: Arc::new(Mutex::new(script.into())),
        asked: Arc::default(),
    };
    let rng = SmallRng::seed_from_u64(1);
    let wait = Duration::from_secs(4);
    let mut follower = FeedFollower::new(feed.clone(), MonoClock::start(), "test", wait, rng);
    let mut seen = Vec::new();
    for _ in 0..steps {
        let told = match follower.next().await {
            FeedUpdate::Listing(items) => format!("all {}", items.len()),
            FeedUpdate::Changes(items) => format!("some {}", items.len()),
            FeedUpdate::Unavailable => "lost".to_owned(),
            FeedUpdate::Unchanged => "same".to_owned(),
        };
        let asked = feed.asked.lock().unwrap().pop().unwrap();
        seen.push((asked, format!("{told}, at {}", follower.revision())));
    }
    seen
}

#[tokio::test(start_paused = true)]
async fn an_answer_without_changes_proves_nothing() {
    let seen = follow(vec![
        Answer::Listing(8, "a"),
        Answer::Changes(24, vec![]),
        Answer::Changes(25, vec!["b"]),
        Answer::Changes(25, vec![]),
    ]);
    assert_yaml_snapshot!(seen.await);
}

#[tokio::test(start_paused = true)]
async fn a_cut_or_lost_history_is_listed_anew_and_never_back() {
    let seen = follow(vec![
        Answer::Fails(FeedError::Unreachable("down".into())),
        Answer::Listing(8, "a"),
        Answer::Fails(FeedError::Unreachable("cut".into())),
        Answer::Listing(7, "stale"),
        Answer::Listing(9, "a"),
        Answer::Fails(FeedError::HistoryExpired),
        Answer::Listing(12, "a"),
        Answer::Changes(11, vec!["old"]),
    ]);
    assert_yaml_snapshot!(seen.await);
}

#[tokio::test(start_paused = true)]
async fn changes_are_gathered_briefly_at_first_and_longer_afterwards() {
    let changes = (1..=6).map(|revision| Answer::Changes(revision, vec!["a"]));
    let script = std::iter::once(Answer::Listing(0, "a")).chain(changes);
    let feed = Scripted {
        script: Arc::new(Mutex::new(script.collect())),
        asked: Arc::default(),
    };
    let rng = SmallRng::seed_from_u64(1);
    let wait = Duration::from_secs(4);
    let mut follower = FeedFollower::new(feed, MonoClock::start(), "test", wait, rng)
        .with_pause(Duration::from_secs(3))
        .with_initial_pause(Duration::from_millis(300), Duration::from_secs(1));
    let start = tokio::time::Instant::now();
    let mut seen = Vec::new();
    for _ in 0..7 {
        follower.next().await;
        seen.push(start.elapsed().as_millis());
    }
    assert_yaml_snapshot!(seen);
}
