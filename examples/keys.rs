//! Measures the time to find the organisation of an access key and to admit its caller, with as many
//! organisations as a large deployment has.
//!
//! Run with `cargo run --release --example keys`.

use {
    hdrhistogram::Histogram,
    lentillead::{
        board::{
            CallerLimits, DeclaredOrganisation, KeySalt, Organisation, OrganisationList, PathRoute,
            Repeat, ResponseKind, Routing, Secret,
        },
        decide::admit_caller,
        port::Credentials,
    },
    std::{
        collections::HashMap,
        error::Error,
        hint::black_box,
        time::{Duration, Instant},
    },
};

const ORGANISATIONS: usize = 200;
const KEYS_EACH: usize = 2;
const ROUNDS: usize = 2_000;
const MAX_NANOS: u64 = 10_000_000;

/// Returns the key with this number, which is as long as the operators' keys are.
fn key(organisation: usize, number: usize) -> String {
    format!("{organisation:08}-{number:011}")
}

fn routing() -> Routing {
    let salt = KeySalt::random();
    let entries = (0..ORGANISATIONS).map(|organisation| DeclaredOrganisation {
        organisation: Organisation {
            name: format!("organisation-{organisation}"),
            priority: Some(1),
            quota: None,
        },
        digests: (0..KEYS_EACH)
            .map(|number| salt.digest(&key(organisation, number)))
            .collect(),
    });
    let list = OrganisationList {
        salt,
        entries: entries.collect(),
        faults: Vec::new(),
    };
    Routing::new(1, [route()], HashMap::new(), CallerLimits::default()).with_organisations(list)
}

fn route() -> PathRoute {
    PathRoute {
        name: "route".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        pools: vec![("pool".to_owned(), 1)],
        response: ResponseKind::Complete,
        repeat: Repeat::Idempotent,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(500),
        attempts: 2,
        priority: 3,
        public: false,
    }
}

/// Runs `operation` on every key many times, and prints how long single runs take.
fn measure<F>(what: &str, keys: &[String], operation: F) -> Result<(), Box<dyn Error>>
where
    F: Fn(&str),
{
    let mut times = Histogram::<u64>::new_with_max(MAX_NANOS, 3)?;
    for _ in 0..ROUNDS {
        for key in keys {
            let start = Instant::now();
            operation(black_box(key));
            times.saturating_record(start.elapsed().as_nanos() as u64);
        }
    }
    let at = |quantile| times.value_at_quantile(quantile);
    println!("{what:<28} {:>8} {:>8} {:>8}", at(0.5), at(0.99), at(0.999));
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    let routing = routing();
    let route = route();
    let known: Vec<_> = (0..ORGANISATIONS).map(|number| key(number, 1)).collect();
    let unknown: Vec<_> = (0..ORGANISATIONS).map(|number| key(number, 9)).collect();
    let credentials = |key: &str| Credentials::AccessKey(Secret(key.to_owned()));
    println!("nanoseconds, including about one reading of the clock");
    println!("{:<28} {:>8} {:>8} {:>8}", "", "median", "99%", "99.9%");
    measure("clock alone", &known, |_| {})?;
    measure("known key", &known, |key| {
        black_box(routing.authenticate(key));
    })?;
    measure("unknown key", &unknown, |key| {
        black_box(routing.authenticate(key));
    })?;
    measure("admission with a key", &known, |key| {
        let admitted = admit_caller(&routing, &route, &credentials(key));
        black_box(admitted.is_ok());
    })?;
    Ok(())
}
