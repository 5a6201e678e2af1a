//! Choice of a route by host name and longest prefix, and of an endpoint.

use {
    insta::assert_yaml_snapshot,
    lentillead::{
        board::{CallerLimits, PathRoute, Repeat, ResponseKind, Routing},
        decide::{EndpointOption, choose_endpoint},
        key::EndpointKey,
    },
    std::{collections::HashMap, time::Duration},
};

pub fn route(name: &str, host: &str, prefix: &str) -> PathRoute {
    PathRoute {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        pools: vec![("ledger".to_owned(), 1)],
        response: ResponseKind::Complete,
        repeat: Repeat::Idempotent,
        timeout: Duration::from_millis(800),
        target: Duration::from_millis(300),
        attempts: 2,
        priority: 1,
        public: false,
    }
}

#[test]
fn the_longest_prefix_of_the_host_is_chosen() {
    let routes = [
        route("all", "a.example", "/"),
        route("orders", "a.example", "/orders/"),
        route("old-orders", "a.example", "/orders/old/"),
        route("other", "b.example", "/orders/"),
    ];
    let routing = Routing::new(3, routes, HashMap::new(), CallerLimits::default());
    let find = |host, path| {
        routing
            .find(host, path)
            .map(|(_, route)| route.name.clone())
    };
    assert_yaml_snapshot!(vec![
        ("/", find("a.example", "/")),
        ("/orders", find("a.example", "/orders")),
        ("/orders/7", find("a.example", "/orders/7")),
        ("/orders/old/7", find("a.example", "/orders/old/7")),
        ("b /orders/7", find("b.example", "/orders/7")),
        ("b /", find("b.example", "/")),
        ("unknown host", find("c.example", "/orders/7")),
    ]);
}

fn option(own_work: f64) -> EndpointOption {
    EndpointOption {
        key: EndpointKey::default(),
        same_zone: true,
        avoided: false,
        tried: false,
        own_work,
        other_work: None,
        added_work: 1.0,
        capacity: 6.0,
        failure_ratio: 0.0,
        response_time: Some(Duration::from_millis(60)),
    }
}

#[test]
fn load_response_time_failures_and_avoidance_decide() {
    let base = option(2.0);
    let others = |work, ms| EndpointOption {
        other_work: Some((work, Duration::from_millis(ms))),
        ..option(0.0)
    };
    let pairs = [
        ("less loaded", option(1.0)),
        ("more loaded", option(3.0)),
        ("loaded by others", others(4.0, 10)),
        ("was loaded by others long ago", others(4.0, 5_000)),
        (
            "in another zone",
            EndpointOption {
                same_zone: false,
                ..base
            },
        ),
        (
            "slow",
            EndpointOption {
                response_time: Some(Duration::from_millis(600)),
                ..option(0.0)
            },
        ),
        (
            "failing",
            EndpointOption {
                failure_ratio: 0.4,
                ..option(1.0)
            },
        ),
        (
            "avoided",
            EndpointOption {
                avoided: true,
                ..option(0.0)
            },
        ),
        (
            "tried",
            EndpointOption {
                tried: true,
                ..option(0.0)
            },
        ),
    ];
    let seen: Vec<_> = pairs
        .into_iter()
        .map(|(name, other)| {
            let chosen = choose_endpoint(&[base, other], 0).unwrap();
            (
                name,
                if chosen == other {
                    "chosen"
                } else {
                    "not chosen"
                },
            )
        })
        .collect();
    assert_yaml_snapshot!(seen);
    assert_eq!(choose_endpoint(&[], 3), None);
}
