//! Requests over a quota are refused before an endpoint is chosen, and credit is used by those that ran.

use {
    crate::forward_site::{Act, Site, full, placed, routes, site},
    insta::assert_yaml_snapshot,
    lentillead::{
        board::{
            CallerLimits, DeclaredOrganisation, KeySalt, Organisation, OrganisationList, Quota,
            QuotaUnit, Routing, Secret,
        },
        port::{Clock, Credentials, MonoClock},
    },
    std::{collections::HashMap, time::Duration},
};

/// Cost of each request of the site: 5,000 tokens of prompt and 1,000 of output.
const COST: u64 = 6_000;

/// A site with one organisation with `key-1` and a quota, and credit for `requests` requests.
fn quota_site(acts: Vec<Act>, requests: u64) -> Site {
    let mut site = site(placed(), acts);
    let salt = KeySalt::from_bytes([7; 32]);
    let quota = Quota {
        rate: 1_000,
        burst: 1_000,
        unit: QuotaUnit::Tokens { plain: 200 },
    };
    let organisation = Organisation {
        name: "usual".to_owned(),
        priority: None,
        quota: Some(quota),
    };
    let list = OrganisationList {
        salt,
        entries: vec![DeclaredOrganisation {
            organisation,
            digests: vec![salt.digest("key-1")],
        }],
        faults: Vec::new(),
    };
    let routing = Routing::new(5, routes(), HashMap::new(), CallerLimits::default());
    site.writers
        .routing
        .publish(routing.with_organisations(list));
    let until = MonoClock::start().since_boot() + Duration::from_mins(10);
    site.quotas.0.add(requests * COST, until);
    site
}

/// Sends a request of the organisation; returns what the caller got, the calls of endpoints, and how many
/// requests' credit is free, reserved or free, used, and to be given back.
async fn send(site: &Site, path: &str) -> (String, Vec<String>, [u64; 4]) {
    let key = Credentials::AccessKey(Secret("key-1".to_owned()));
    let (reply, calls, _) = site.send_as(path, key).await;
    let credit = &site.quotas.0;
    let credit = [
        credit.free(),
        credit.held(),
        credit.used(),
        credit.take_refunded(),
    ];
    (reply, calls, credit.map(|amount| amount / COST))
}

#[tokio::test(start_paused = true)]
async fn requests_use_credit_when_they_are_sent() {
    let mut seen = Vec::new();
    let site = quota_site(vec![Act::Answer(200, 1), Act::Answer(500, 1)], 3);
    seen.push(("a call", send(&site, "/read/").await));
    // The second endpoint runs it too, with the same credit.
    seen.push(("a call that runs twice", send(&site, "/read/").await));
    seen.push(("the last credit", send(&site, "/order/").await));
    seen.push(("no credit left", send(&site, "/read/").await));
    seen.push(("no credit left for a stream", send(&site, "/stream/").await));
    let site = quota_site(vec![Act::Answer(200, 1), Act::Events(vec![1, 2], true)], 2);
    seen.push(("a stream", send(&site, "/stream/").await));
    let site = quota_site(vec![full(), full()], 2);
    seen.push(("a call that is not run", send(&site, "/order/").await));
    assert_yaml_snapshot!(seen);
}

/// Guards against credit that is held by a request which is refused before it is sent.
#[tokio::test(start_paused = true)]
async fn credit_of_a_request_without_an_endpoint_is_free_again() {
    let mut site = quota_site(Vec::new(), 1);
    site.writers
        .fleet
        .publish(lentillead::board::Fleet::default());
    let seen = [send(&site, "/read/").await, send(&site, "/read/").await];
    assert_yaml_snapshot!(seen);
}
