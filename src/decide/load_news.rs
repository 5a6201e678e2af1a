use {
    crate::{
        board::{Endpoint, Fleet, Owners, Role, Tick},
        key::{EndpointKey, HostKey, name_hash},
        port::EndpointNews,
    },
    slotmap::SecondaryMap,
    std::{cmp::Reverse, time::Duration},
};

/// Endpoints told in one heartbeat.
const LOADS_MAX: usize = 16;

/// Time after which the load of an endpoint is told again although it has not changed.
const REPEAT_TIME: Duration = Duration::from_secs(5);

/// Chooses which loads of owned endpoints to tell, most changed first.
#[derive(Clone, Debug, Default)]
pub struct LoadNews {
    told: SecondaryMap<EndpointKey, Told>,
}

#[derive(Clone, Debug)]
struct Told {
    news: EndpointNews,
    when: Tick,
}

impl LoadNews {
    /// Chooses at most `LOADS_MAX` endpoints that `own` owns and whose load is new to the others.
    pub fn choose(
        &mut self,
        fleet: &Fleet,
        owners: &Owners,
        own: HostKey,
        now: Tick,
    ) -> Vec<EndpointNews> {
        self.told
            .retain(|key, _| owners.by_endpoint.get(key).is_some_and(|o| o.owner == own));
        let owned = owners.by_endpoint.iter().filter(|(_, o)| o.owner == own);
        let mut due = Vec::new();
        for (key, _) in owned {
            let Some(endpoint) = fleet.endpoints.get(key) else {
                continue;
            };
            let news = load_of(endpoint);
            let change = self.change(key, &news, now);
            if change > 0 {
                due.push((Reverse(change), key, news));
            }
        }
        due.sort_unstable_by_key(|(change, key, _)| (*change, *key));
        due.truncate(LOADS_MAX);
        for (_, key, news) in &due {
            let news = news.clone();
            self.told.insert(*key, Told { news, when: now });
        }
        due.into_iter().map(|(_, _, news)| news).collect()
    }

    /// How much the load differs from what was told; an old one counts as the smallest change.
    fn change(&self, key: EndpointKey, news: &EndpointNews, now: Tick) -> u32 {
        let Some(told) = self.told.get(key) else {
            return u32::MAX;
        };
        let old = now.since(told.when) >= REPEAT_TIME;
        let change = told.news.free.abs_diff(news.free)
            + told.news.running.abs_diff(news.running)
            + told.news.waiting.abs_diff(news.waiting);
        change.max(u32::from(old))
    }
}

fn load_of(endpoint: &Endpoint) -> EndpointNews {
    let slot = &endpoint.slot;
    let free = if endpoint.role == Role::Service {
        endpoint.slots.saturating_sub(slot.running())
    } else {
        let held = slot.granted().max(slot.reported());
        endpoint.pieces.saturating_sub(held)
    };
    EndpointNews {
        endpoint: name_hash(&endpoint.name),
        free,
        running: slot.running(),
        waiting: slot.waiting(),
    }
}
