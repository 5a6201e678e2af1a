//! Organisations: their access keys, the admission of callers and the cost of requests.

use {
    crate::{
        forward_site::{Act, Site, full, placed, routes, site},
        routing::route,
    },
    insta::assert_yaml_snapshot,
    lentillead::{
        board::{
            CallerLimits, DeclaredOrganisation, Health, KeySalt, Organisation, OrganisationFault,
            OrganisationList, PathRoute, Quota, QuotaUnit, Routing, Secret,
        },
        decide::admit_caller,
        port::{Credentials, PlacementOutcome, TokenCounts},
    },
    std::{collections::HashMap, time::Duration},
    tokio::{join, time::sleep},
};

/// Time after which a stream's first placement, which takes 100 ms, is still awaited.
const WHILE_WAITING: Duration = Duration::from_millis(50);

/// Time after which the prefill that follows the placement is awaited.
const WHILE_PREFILLING: Duration = Duration::from_millis(150);

fn organisation(name: &str, priority: Option<u8>) -> Organisation {
    Organisation {
        name: name.to_owned(),
        priority,
        quota: None,
    }
}

/// Returns a list of organisations, each with its keys.
fn list(entries: &[(Organisation, &[&str])]) -> OrganisationList {
    let salt = KeySalt::from_bytes([7; 32]);
    let entries = entries
        .iter()
        .map(|(organisation, keys)| DeclaredOrganisation {
            organisation: organisation.clone(),
            digests: keys.iter().map(|key| salt.digest(key)).collect(),
        });
    OrganisationList {
        salt,
        entries: entries.collect(),
        faults: Vec::new(),
    }
}

fn routing(version: u64, routes: Vec<PathRoute>) -> Routing {
    Routing::new(version, routes, HashMap::new(), CallerLimits::default())
}

/// Two organisations: `urgent` with the keys `key-1` and `key-2`, and `usual` with `key-3`.
fn two() -> OrganisationList {
    list(&[
        (organisation("urgent", Some(0)), &["key-1", "key-2"]),
        (organisation("usual", None), &["key-3"]),
    ])
}

fn access_key(key: &str) -> Credentials {
    Credentials::AccessKey(Secret(key.to_owned()))
}

fn name_of(routing: &Routing, key: &str) -> Option<String> {
    let found = routing.authenticate(key)?;
    Some(routing.organisations.get(found)?.name.clone())
}

#[test]
fn keys_routes_and_organisations_decide_who_is_admitted() {
    let private = route("private", "a.example", "/");
    let public = PathRoute {
        public: true,
        ..route("public", "a.example", "/open/")
    };
    let configurations = [
        ("no organisations", routing(1, Vec::new())),
        (
            "two organisations",
            routing(1, Vec::new()).with_organisations(two()),
        ),
        (
            "an empty list",
            routing(1, Vec::new()).with_organisations(list(&[])),
        ),
    ];
    let credentials = [
        ("no key", Credentials::Missing),
        ("other credentials", Credentials::Malformed),
        ("an unknown key", access_key("key-4")),
        ("the beginning of a key", access_key("key-")),
        ("a key of urgent", access_key("key-2")),
        ("a key of usual", access_key("key-3")),
    ];
    let mut seen = Vec::new();
    for (configuration, routing) in &configurations {
        for route in [&private, &public] {
            for (what, credentials) in &credentials {
                let admitted = match admit_caller(routing, route, credentials) {
                    Ok(admission) => {
                        let name = admission.organisation.map(|found| found.name);
                        let priority = admission.priority;
                        format!("{name:?} at {priority}, told {:?}", admission.identity)
                    }
                    Err(reason) => reason.as_str().to_owned(),
                };
                seen.push(format!(
                    "{configuration}, {}, {what}: {admitted}",
                    route.name
                ));
            }
        }
    }
    assert_yaml_snapshot!(seen);
}

// A daemon that got the configuration from another one must admit the same callers.
#[test]
fn a_relayed_configuration_has_the_same_keys_and_faults() {
    let mut first = list(&[
        (organisation("a", Some(3)), &["shared", "own-a"]),
        (organisation("b", None), &["shared"]),
        (organisation("c", None), &[]),
        (organisation("a", Some(4)), &["more-a", "own-a"]),
    ]);
    first.faults = vec![OrganisationFault::BadQuota("c".to_owned())];
    let routing = routing(5, routes()).with_organisations(first);
    let text = serde_json::to_string(&routing).unwrap();
    let relayed: Routing = serde_json::from_str(&text).unwrap();
    let again: Routing = serde_json::from_str(&serde_json::to_string(&relayed).unwrap()).unwrap();
    let keys = ["shared", "own-a", "more-a", "unknown"];
    let seen = [&routing, &relayed, &again].map(|routing| {
        let owners = keys.map(|key| (key, name_of(routing, key)));
        let faults: Vec<_> = routing.faults.iter().map(ToString::to_string).collect();
        (owners, faults, routing.organisations.len())
    });
    assert_eq!(seen[0], seen[1]);
    assert_eq!(seen[0], seen[2]);
    assert_yaml_snapshot!(seen[0]);
    for key in keys {
        assert!(!text.contains(key), "{key}");
    }
}

// A large configuration with a fault in every entry must not fill memory, messages or the log.
#[test]
fn the_faults_of_a_configuration_are_bounded() {
    let names: Vec<_> = (0..500)
        .map(|number| format!("organisation-{number}"))
        .collect();
    let entries: Vec<_> = names
        .iter()
        .map(|name| (organisation(name, None), &[][..]))
        .collect();
    let routing = routing(5, Vec::new()).with_organisations(list(&entries));
    assert_yaml_snapshot!((routing.organisations.len(), routing.faults.len()));
}

// A key must not get into a log through the Debug output of a type that holds one.
#[test]
fn debug_output_holds_no_key_and_no_digest() {
    let routing = routing(5, Vec::new()).with_organisations(two());
    let debug = format!("{:?} {:?}", routing.access, access_key("key-1"));
    let list = format!("{:?}", two());
    assert!(!format!("{routing:?}").contains("key-1"));
    assert_yaml_snapshot!((debug, list));
}

#[test]
fn the_unit_decides_the_cost_of_a_request() {
    let quota = |unit| Quota {
        rate: 100,
        burst: 10,
        unit,
    };
    let counts = |prompt, max_output| {
        Some(TokenCounts {
            prompt,
            max_output,
            output_hint: Some(3),
        })
    };
    let tokens = quota(QuotaUnit::Tokens { plain: 200 });
    let requests = quota(QuotaUnit::Requests);
    let costs = [None, counts(5_000, 270), counts(0, 0), counts(u64::MAX, 1)]
        .map(|counts| (tokens.cost(counts), requests.cost(counts)));
    assert_yaml_snapshot!(costs);
}

/// Puts the organisations `urgent` and `usual` in force.
fn configure(site: &mut Site, version: u64, organisations: OrganisationList) {
    let next = routing(version, routes()).with_organisations(organisations);
    site.writers.routing.publish(next);
}

fn set_store(site: &mut Site, store_reachable: bool) {
    site.writers.health.publish(Health {
        store_reachable,
        ready: true,
        ..Health::default()
    });
}

#[tokio::test(start_paused = true)]
async fn requests_need_a_key_once_organisations_are_configured() {
    let answer = Act::Answer(200, 1);
    let events = Act::Events(vec![1], true);
    let acts = vec![answer.clone(), answer.clone(), answer, events];
    let mut site = site(placed(), acts);
    let mut seen = Vec::new();
    seen.push((
        "no organisations",
        site.send_as("/read/", Credentials::Missing).await,
    ));
    configure(&mut site, 5, two());
    let cases = [
        ("no key", "/read/", Credentials::Missing),
        ("other credentials", "/read/", Credentials::Malformed),
        ("an unknown key", "/read/", access_key("key-4")),
        ("a key", "/read/", access_key("key-1")),
        ("a key, a stream", "/stream/", access_key("key-3")),
        ("no key, no route", "/none/", Credentials::Missing),
    ];
    for (what, path, credentials) in cases {
        seen.push((what, site.send_as(path, credentials).await));
    }
    // The store may hold a newer configuration with the key.
    set_store(&mut site, false);
    seen.push((
        "an unknown key, no store",
        site.send_as("/read/", access_key("key-4")).await,
    ));
    seen.push((
        "no key, no store",
        site.send_as("/read/", Credentials::Missing).await,
    ));
    seen.push((
        "a key, no store",
        site.send_as("/read/", access_key("key-1")).await,
    ));
    assert_yaml_snapshot!((seen, site.script.identities()));
}

/// Sends a stream with `key-1`, and puts `next` in force `after` this time.
async fn change_meanwhile(
    site: &mut Site,
    after: Duration,
    next: Option<OrganisationList>,
) -> (String, Vec<String>, u128) {
    let routing = routing(6, routes());
    let routing = match next {
        Some(organisations) => routing.with_organisations(organisations),
        None => routing,
    };
    let entry = site.entry.clone();
    let script = site.script.clone();
    let change = async {
        sleep(after).await;
        site.writers.routing.publish(routing);
    };
    let request = crate::forward_site::send(&entry, &script, "/stream/", access_key("key-1"));
    let (received, ()) = join!(request, change);
    received
}

// A key that was taken away while the request waited must not be served; one that was given must be.
#[tokio::test(start_paused = true)]
async fn the_key_is_checked_again_before_a_waiting_request_is_sent() {
    let without = || list(&[(organisation("usual", None), &["key-3"])]);
    let moved = || list(&[(organisation("other", Some(2)), &["key-1"])]);
    let cases = [
        ("unchanged", WHILE_WAITING, Some(two()), Some(two())),
        (
            "taken away during placement",
            WHILE_WAITING,
            Some(two()),
            Some(without()),
        ),
        (
            "taken away during prefill",
            WHILE_PREFILLING,
            Some(two()),
            Some(without()),
        ),
        (
            "another organisation's now",
            WHILE_WAITING,
            Some(two()),
            Some(moved()),
        ),
        ("organisations are new", WHILE_WAITING, None, Some(two())),
        (
            "organisations are new, without the key",
            WHILE_WAITING,
            None,
            Some(without()),
        ),
        ("organisations are gone", WHILE_WAITING, Some(two()), None),
    ];
    let mut seen = Vec::new();
    for (what, after, before, next) in cases {
        let acts = vec![Act::Answer(200, 100), Act::Events(vec![1], true)];
        let mut site = site(placed(), acts);
        if let Some(before) = before {
            configure(&mut site, 5, before);
        }
        let sent = change_meanwhile(&mut site, after, next).await;
        seen.push((what, sent, site.script.identities()));
    }
    assert_yaml_snapshot!(seen);
}

// An attempt that may have run makes a refusal useless: the request is finished.
#[tokio::test(start_paused = true)]
async fn a_stream_that_has_begun_goes_on_without_its_key() {
    let placement = PlacementOutcome::Placed {
        suspect: false,
        decode: "d1".to_owned(),
        prefill: None,
    };
    let begun = Act::Events(vec![1, 2], false);
    let without = || list(&[(organisation("usual", None), &["key-3"])]);
    let mut seen = Vec::new();
    for (what, before) in [("organisations before", Some(two())), ("none before", None)] {
        let acts = vec![begun.clone(), Act::Events(vec![3], true)];
        let mut site = site(placement.clone(), acts);
        if let Some(before) = before {
            configure(&mut site, 5, before);
        }
        // The first attempt breaks at 100 ms, and the placement of the second takes until 200 ms.
        let sent = change_meanwhile(&mut site, WHILE_PREFILLING, Some(without())).await;
        seen.push((what, sent, site.script.identities()));
    }
    assert_yaml_snapshot!(seen);
}

// An endpoint that refused did not run the request, so a key that was taken away since is refused.
#[tokio::test(start_paused = true)]
async fn a_request_that_was_refused_needs_its_key_again() {
    let placement = PlacementOutcome::Placed {
        suspect: false,
        decode: "d1".to_owned(),
        prefill: None,
    };
    let mut site = site(placement, vec![full()]);
    configure(&mut site, 5, two());
    let without = list(&[(organisation("usual", None), &["key-3"])]);
    let sent = change_meanwhile(&mut site, WHILE_PREFILLING, Some(without)).await;
    assert_yaml_snapshot!((sent, site.script.identities()));
}
