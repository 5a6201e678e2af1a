//! The path of forwarded requests with scripted endpoints.

use {
    crate::{listed::listed, routing::route},
    bytes::Bytes,
    http::{HeaderMap, Method},
    insta::assert_yaml_snapshot,
    lentillead::{
        board::{
            Blackboard, CallerLimits, Counters, Health, PathRoute, Repeat, ReplyKind, Role,
            Routing, SeenLoad, StopPhase, Tick, Writers,
        },
        decide::{CrashRecord, merge_described},
        port::{
            AnswerBody, AnswerEvent, CacheHandle, ForwardRequest, MonoClock, PlaceAsk, PlaceEnd,
            PlaceHandle, PlaceOutcome, Placer, PromptSize, Upstream, UpstreamAnswer, UpstreamAsk,
            UpstreamError,
        },
        request::{
            ForwardEntry, ForwardOptions, ForwardParts, ForwardReply, ForwardShared, Refused,
        },
    },
    prometheus_client::registry::Registry,
    std::{
        collections::{HashMap, VecDeque},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::sleep,
};

/// What an endpoint does with a call.
#[derive(Clone, Debug)]
enum Act {
    /// Answers after a time.
    Answer(u16, u64),
    /// Sends events with these numbers; then ends, or breaks off.
    Events(Vec<u64>, bool),
    /// Fails.
    Fail(UpstreamError),
    /// Never answers.
    Hang,
}

/// Endpoints that act by a script, whichever is called, and note the calls.
#[derive(Clone, Debug, Default)]
struct Script {
    acts: Arc<Mutex<VecDeque<Act>>>,
    calls: Arc<Mutex<Vec<String>>>,
}

impl Script {
    async fn act(&self, call: String) -> Result<Act, UpstreamError> {
        self.calls.lock().unwrap().push(call);
        let act = self.acts.lock().unwrap().pop_front();
        match act.unwrap_or(Act::Answer(200, 1)) {
            Act::Fail(error) => Err(error),
            Act::Hang => {
                sleep(Duration::from_hours(1)).await;
                Err(UpstreamError::Silent)
            }
            Act::Answer(status, ms) => {
                sleep(Duration::from_millis(ms)).await;
                Ok(Act::Answer(status, ms))
            }
            events @ Act::Events(..) => Ok(events),
        }
    }

    fn note(&self, call: &str) {
        self.calls.lock().unwrap().push(call.to_owned());
    }
}

/// Body of a scripted answer.
#[derive(Debug)]
struct Body(VecDeque<u64>, bool);

impl AnswerBody for Body {
    async fn next(&mut self) -> Result<Option<AnswerEvent>, UpstreamError> {
        match self.0.pop_front() {
            Some(id) => Ok(Some(AnswerEvent {
                id: Some(id),
                bytes: Bytes::from(format!("event {id}")),
            })),
            None if self.1 => Ok(None),
            None => Err(UpstreamError::Broken("cut".into())),
        }
    }

    async fn whole(self) -> Result<Bytes, UpstreamError> {
        Ok(Bytes::from_static(b"whole"))
    }
}

impl Upstream for Script {
    type Body = Body;

    async fn send(&self, ask: UpstreamAsk) -> Result<UpstreamAnswer<Body>, UpstreamError> {
        let cache = ask
            .cache
            .map_or(String::new(), |cache| format!(" from {}", cache.handle));
        let resume = ask
            .resume
            .map_or(String::new(), |last| format!(" after {last}"));
        let act = self.act(format!("run{cache}{resume}")).await?;
        let (status, body) = match act {
            Act::Events(ids, ends) => (200, Body(ids.into(), ends)),
            Act::Answer(status, _) => (status, Body(VecDeque::new(), true)),
            Act::Fail(_) | Act::Hang => unreachable!("handled before"),
        };
        Ok(UpstreamAnswer {
            status,
            headers: HeaderMap::new(),
            load: Some(SeenLoad {
                running: 1,
                waiting: 0,
                slots: 6,
            }),
            body,
        })
    }

    async fn prefill(&self, ask: UpstreamAsk) -> Result<CacheHandle, UpstreamError> {
        self.act("prefill".into()).await?;
        Ok(CacheHandle {
            address: ask.address,
            handle: "cache".into(),
        })
    }

    async fn reserve(
        &self,
        ask: UpstreamAsk,
        tokens: u64,
        _: Duration,
    ) -> Result<PlaceHandle, UpstreamError> {
        self.act(format!("reserve {tokens}")).await?;
        Ok(PlaceHandle {
            address: ask.address,
            handle: "place".into(),
        })
    }

    async fn release(&self, _: PlaceHandle) -> Result<(), UpstreamError> {
        self.note("release");
        Ok(())
    }

    async fn free(&self, _: CacheHandle) -> Result<(), UpstreamError> {
        self.note("free");
        Ok(())
    }
}

/// A daemon that places requests as the test says.
#[derive(Clone, Debug)]
struct Places(PlaceOutcome);

impl Placer for Places {
    async fn place(&self, ask: PlaceAsk) -> PlaceOutcome {
        sleep(Duration::from_millis(100)).await;
        match self.0.clone() {
            PlaceOutcome::Placed {
                decode,
                prefill,
                suspect,
            } => PlaceOutcome::Placed {
                suspect,
                decode: if ask.avoid.contains(&decode) {
                    "d2".to_owned()
                } else {
                    decode
                },
                prefill: prefill.filter(|name| ask.apart && !ask.avoid.contains(name)),
            },
            other => other,
        }
    }

    fn end(&self, _: PlaceEnd) {}
}

#[derive(Clone, Debug)]
struct Ports(Script, Places, MonoClock);

impl ForwardParts for Ports {
    type Clock = MonoClock;
    type Upstream = Script;
    type Placer = Places;

    fn clock(&self) -> &MonoClock {
        &self.2
    }

    fn upstream(&self) -> &Script {
        &self.0
    }

    fn placer(&self) -> &Places {
        &self.1
    }
}

/// A daemon with endpoints of every role.
struct Site {
    entry: ForwardEntry<Ports>,
    script: Script,
    writers: Writers,
}

fn routes() -> Vec<PathRoute> {
    let once = |route| PathRoute {
        repeat: Repeat::AtMostOnce,
        attempts: 1,
        ..route
    };
    let events = |route| PathRoute {
        reply: ReplyKind::Events,
        pools: vec![("models".to_owned(), 1)],
        timeout: Duration::from_secs(14),
        target: Duration::from_millis(900),
        ..route
    };
    vec![
        route("read", "a.example", "/read/"),
        once(route("order", "a.example", "/order/")),
        events(route("stream", "a.example", "/stream/")),
        once(events(route("stream-once", "a.example", "/once/"))),
    ]
}

fn site(places: PlaceOutcome, acts: Vec<Act>) -> Site {
    let (board, mut writers) = Blackboard::new();
    let endpoints = [
        listed("s1", "ledger", Role::Service),
        listed("s2", "ledger", Role::Service),
        listed("d1", "models", Role::Decode),
        listed("d2", "models", Role::Decode),
        listed("p1", "models", Role::Prefill),
    ];
    let described: Vec<_> = endpoints.iter().map(|(l, d)| (l, d)).collect();
    writers
        .fleet
        .update(|fleet| merge_described(fleet, &described));
    let routing = Routing::new(4, routes(), HashMap::new(), CallerLimits::default());
    writers.routing.publish(routing);
    writers.health.publish(Health {
        store: true,
        ready: true,
        ..Health::default()
    });
    let script = Script {
        acts: Arc::new(Mutex::new(acts.into())),
        calls: Arc::default(),
    };
    let ports = Ports(script.clone(), Places(places), MonoClock::start());
    let counters = Counters::new(&mut Registry::default());
    let shared = ForwardShared::new(ports, board, counters, ForwardOptions::default(), 7);
    Site {
        entry: ForwardEntry::new(shared),
        script,
        writers,
    }
}

fn refused(refused: &Refused) -> String {
    let wait = refused.retry_after.map(|wait| wait.as_millis());
    format!(
        "{} ran {:?} again after {wait:?}",
        refused.reason.word(),
        refused.ran
    )
}

impl Site {
    /// Sends a request and returns what the caller and the endpoints saw.
    async fn send(&self, path: &str) -> (String, Vec<String>, u128) {
        let start = tokio::time::Instant::now();
        let request = ForwardRequest {
            id: "r-1".to_owned(),
            method: Method::POST,
            host: "a.example".to_owned(),
            target: format!("{path}x?y=1"),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            size: Some(PromptSize {
                prompt: 5_000,
                output: 1_000,
                hint: None,
            }),
            resume: None,
        };
        let told = match self.entry.forward(request, None).await {
            ForwardReply::Whole(answer) => format!("status {}", answer.status),
            ForwardReply::Refused(reason) => refused(&reason),
            ForwardReply::Events(_, mut relay) => {
                let mut told = Vec::new();
                while let Some(next) = relay.next().await {
                    told.push(match next {
                        Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
                        Err(reason) => refused(&reason),
                    });
                }
                told.join(", ")
            }
        };
        let took = start.elapsed().as_millis();
        self.entry.shared().settle().await;
        (told, self.script.calls.lock().unwrap().clone(), took)
    }
}

fn placed() -> PlaceOutcome {
    PlaceOutcome::Placed {
        suspect: false,
        decode: "d1".to_owned(),
        prefill: Some("p1".to_owned()),
    }
}

fn full() -> Act {
    Act::Fail(UpstreamError::Refused {
        status: 503,
        load: None,
    })
}

fn broken() -> Act {
    Act::Fail(UpstreamError::Broken("reset".into()))
}

fn unsent() -> Act {
    Act::Fail(UpstreamError::Unsent("refused".into()))
}

#[tokio::test(start_paused = true)]
async fn whole_answers() {
    let cases = [
        ("answered", "/read/", vec![]),
        (
            "failure, then answered",
            "/read/",
            vec![Act::Answer(500, 5)],
        ),
        (
            "two failures are passed on",
            "/read/",
            vec![Act::Answer(500, 5), Act::Answer(502, 5)],
        ),
        ("broken, then answered", "/read/", vec![broken()]),
        ("silent, then answered", "/read/", vec![Act::Hang]),
        ("not reached, then answered", "/order/", vec![unsent()]),
        ("full, then answered", "/order/", vec![full()]),
        ("every endpoint full", "/order/", vec![full(), full()]),
        ("an order broken off", "/order/", vec![broken()]),
        (
            "a failed order is passed on",
            "/order/",
            vec![Act::Answer(500, 5)],
        ),
        ("full, then broken off", "/order/", vec![full(), broken()]),
        ("an order without an answer", "/order/", vec![Act::Hang]),
        ("no route", "/none/", vec![]),
    ];
    let mut seen = Vec::new();
    for (name, path, acts) in cases {
        seen.push((name, site(PlaceOutcome::Absent, acts).send(path).await));
    }
    assert_yaml_snapshot!(seen);
}

#[tokio::test(start_paused = true)]
async fn streams() {
    let events = |ids: &[u64], ends| Act::Events(ids.to_vec(), ends);
    let done = || Act::Answer(200, 90);
    let cases = [
        (
            "read apart",
            "/stream/",
            vec![done(), events(&[1, 2, 3], true)],
        ),
        (
            "cut, then resumed",
            "/stream/",
            vec![
                done(),
                events(&[1, 2], false),
                done(),
                events(&[3, 4], true),
            ],
        ),
        (
            "repeated events are dropped",
            "/stream/",
            vec![
                done(),
                events(&[1, 2], false),
                done(),
                events(&[2, 3], true),
            ],
        ),
        (
            "a gap is a break",
            "/stream/",
            vec![done(), events(&[1, 3], true), done(), events(&[2, 3], true)],
        ),
        (
            "cut, never twice",
            "/once/",
            vec![done(), events(&[1, 2], false)],
        ),
        (
            "full, the computed prompt is offered again",
            "/stream/",
            vec![done(), full(), events(&[1], true)],
        ),
        (
            "prefill fails, read in place",
            "/stream/",
            vec![broken(), events(&[1], true)],
        ),
        (
            "the endpoint's failure is passed on",
            "/once/",
            vec![done(), Act::Answer(500, 1)],
        ),
    ];
    let mut seen = Vec::new();
    for (name, path, acts) in cases {
        seen.push((name, site(placed(), acts).send(path).await));
    }
    let suspect = PlaceOutcome::Placed {
        decode: "d1".to_owned(),
        prefill: None,
        suspect: true,
    };
    let crash = site(suspect, vec![events(&[], false)])
        .send("/stream/")
        .await;
    seen.push(("a suspect of crashes is not retried", crash));
    assert_yaml_snapshot!(seen);
}

#[test]
fn two_crashes_make_a_suspect_for_a_while() {
    let mut record = CrashRecord::default();
    let mut seen = Vec::new();
    for (second, print) in [(0, 7), (1, 8), (2, 7), (200, 9)] {
        record.strike(print, Tick(second * 1_000_000));
        seen.push((second, [7, 8, 9].map(|print| record.is_suspect(print))));
    }
    assert_yaml_snapshot!(seen);
}

#[tokio::test(start_paused = true)]
async fn streams_without_a_place() {
    let events = Act::Events(vec![1], true);
    let alone = vec![Act::Answer(200, 1), Act::Answer(200, 90), events];
    let every = vec![full(); 64];
    let seen = vec![
        (
            "no daemon places",
            site(PlaceOutcome::Absent, alone).send("/stream/").await,
        ),
        (
            "nothing gets free",
            site(PlaceOutcome::Wait, vec![]).send("/stream/").await,
        ),
        ("every engine is full", {
            let (told, calls, took) = site(PlaceOutcome::Absent, every).send("/stream/").await;
            (told, vec![format!("{} calls", calls.len())], took)
        }),
    ];
    assert_yaml_snapshot!(seen);
}

#[tokio::test(start_paused = true)]
async fn places_that_are_not_known_here_are_asked_for_anew() {
    let events = || vec![Act::Events(vec![1], true)];
    let places = |decode: &str, prefill: &str| PlaceOutcome::Placed {
        decode: decode.to_owned(),
        prefill: Some(prefill.to_owned()),
        suspect: false,
    };
    let mut read = vec![Act::Answer(200, 1)];
    read.extend(events());
    let seen = vec![
        (
            "an engine that decodes is new",
            site(places("new", "p1"), read).send("/stream/").await,
        ),
        (
            "an engine that reads is new",
            site(places("d1", "new"), events()).send("/stream/").await,
        ),
    ];
    assert_yaml_snapshot!(seen);
}

#[tokio::test(start_paused = true)]
async fn an_engine_that_refuses_again_and_again_is_avoided_until_it_accepts() {
    let events = || Act::Events(vec![1], true);
    let prefill = || Act::Answer(200, 1);
    let mut site = site(placed(), vec![]);
    let refuse = async |site: &Site| {
        *site.script.acts.lock().unwrap() = [prefill(), full(), events()].into();
        site.send("/stream/").await;
    };
    let avoided = |site: &Site| {
        let shared = site.entry.shared();
        let fleet = shared.board().fleet.load();
        let key = fleet.endpoints.find("d1").unwrap();
        let slot = &fleet.endpoints.get(key).unwrap().slot;
        slot.traffic.is_avoided(shared.now())
    };
    let mut seen = Vec::new();
    for turn in ["first refusal", "second refusal"] {
        refuse(&site).await;
        seen.push((turn, avoided(&site)));
    }
    sleep(Duration::from_millis(600)).await;
    seen.push(("600 ms later", avoided(&site)));
    refuse(&site).await;
    seen.push(("third refusal", avoided(&site)));
    let changed = [
        listed("d1", "models", Role::Prefill),
        listed("d2", "models", Role::Decode),
    ];
    let described: Vec<_> = changed.iter().map(|(l, d)| (l, d)).collect();
    site.writers
        .fleet
        .update(|fleet| merge_described(fleet, &described));
    seen.push(("once it does something else", avoided(&site)));
    assert_yaml_snapshot!(seen);
}

#[tokio::test(start_paused = true)]
async fn what_is_said_without_knowledge_or_at_the_end() {
    let mut site = site(placed(), vec![]);
    let health = |store, closing: bool| Health {
        store,
        ready: !closing,
        stop: if closing {
            StopPhase::Closing
        } else {
            StopPhase::Running
        },
    };
    let mut seen = Vec::new();
    site.writers.health.publish(health(false, false));
    seen.push(("no route, store lost", site.send("/none/").await.0));
    site.writers.health.publish(health(true, true));
    seen.push((
        "a stream at the end of a planned stop",
        site.send("/stream/").await.0,
    ));
    seen.push((
        "a call at the end of a planned stop",
        site.send("/read/").await.0,
    ));
    site.writers.routing.publish(Routing::default());
    seen.push(("no routes known", site.send("/read/").await.0));
    assert_yaml_snapshot!(seen);
}
