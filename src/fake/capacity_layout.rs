use {
    crate::{
        board::Role,
        port::{Description, HostEntry},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, io, time::Instant},
};

/// Entry of the layout `by_service`: a host with the description of one model and adapter.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct ServiceEntry {
    host: HostEntry,
    model: String,
    version: String,
    adapter: String,
    pieces: u32,
    piece_tokens: u32,
    slots: u32,
    fenced: bool,
    incarnation: u64,
}

/// Size and parse time of one layout of the host list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LayoutCost {
    /// Number of entries in the list.
    pub entries: usize,
    /// Length of the list as JSON in bytes.
    pub bytes: usize,
    /// Time to parse the list in milliseconds, the shortest of three runs.
    pub parse: f64,
    /// Length of one description fetched from an endpoint as JSON in bytes; 0 if none is needed.
    pub description: usize,
}

/// Costs of both layouts of the host list at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LayoutPoint {
    /// Number of endpoints.
    pub endpoints: usize,
    /// Pairs of model and adapter that each endpoint serves.
    pub services: usize,
    /// One entry for each host; the description is fetched from the endpoint.
    pub by_host: LayoutCost,
    /// One entry for each endpoint, model and adapter.
    pub by_service: LayoutCost,
}

impl LayoutPoint {
    /// Builds, serialises and parses both layouts.
    ///
    /// Fails if a list cannot be serialised or parsed.
    pub fn measure(endpoints: usize, services: usize) -> io::Result<Self> {
        let hosts: Vec<_> = (0..endpoints).map(host).collect();
        let mut by_host = cost(&hosts)?;
        by_host.description = serde_json::to_vec(&description(services))?.len();
        let by_service: Vec<_> = hosts
            .iter()
            .flat_map(|host| (0..services).map(|i| service(host, i)))
            .collect();
        Ok(Self {
            endpoints,
            services,
            by_host,
            by_service: cost(&by_service)?,
        })
    }
}

/// Serialises `entries` as JSON and parses them three times.
fn cost<T>(entries: &[T]) -> io::Result<LayoutCost>
where
    T: Serialize + for<'a> Deserialize<'a>,
{
    let body = serde_json::to_vec(entries)?;
    let mut parse = f64::INFINITY;
    for _ in 0..3 {
        let start = Instant::now();
        let parsed = serde_json::from_slice::<Vec<T>>(&body)?;
        parse = parse.min(start.elapsed().as_secs_f64() * 1_000.0);
        drop(parsed);
    }
    Ok(LayoutCost {
        entries: entries.len(),
        bytes: body.len(),
        parse,
        description: 0,
    })
}

fn host(number: usize) -> HostEntry {
    HostEntry {
        name: format!("engine-{number:05}.region-1.example"),
        role: String::from("decode"),
        address: format!(
            "10.{}.{}.{}:8000",
            number >> 16,
            (number >> 8) & 255,
            number & 255
        ),
        zone: format!("region-1-{}", number % 17),
        pool: String::from("decode"),
        leaving: false,
    }
}

fn model(number: usize) -> String {
    format!("model-{}", number % 7)
}

fn adapter(number: usize) -> String {
    format!("house-style-{number:03}")
}

fn description(services: usize) -> Description {
    Description {
        role: Role::Decode,
        models: (0..services.min(7))
            .map(|i| (model(i), String::from("2026-11")))
            .collect::<BTreeMap<_, _>>(),
        adapters: (0..services).map(adapter).collect(),
        pieces: 2_000,
        piece_tokens: 16,
        slots: 20,
        fenced: true,
        fence: 1,
        incarnation: 1_764_800_000_000,
    }
}

fn service(host: &HostEntry, number: usize) -> ServiceEntry {
    ServiceEntry {
        host: host.clone(),
        model: model(number),
        version: String::from("2026-11"),
        adapter: adapter(number),
        pieces: 2_000,
        piece_tokens: 16,
        slots: 20,
        fenced: true,
        incarnation: 1_764_800_000_000,
    }
}
