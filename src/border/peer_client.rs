use {
    super::{
        PeerTraffic,
        peer_body::read_body,
        peer_link::Link,
        peer_wire::{WireError, decode, encode},
    },
    crate::{
        board::Secret,
        key::name_hash,
        port::{Peer, PeerCall, PeerError, PeerReply},
    },
    bytes::Bytes,
    h2::{
        Reason,
        client::{ResponseFuture, SendRequest},
    },
    http::{HeaderValue, Request, StatusCode},
    std::{
        collections::HashMap,
        fmt::{self, Debug, Display, Formatter},
        sync::{Arc, Mutex, PoisonError},
    },
};

/// Header that carries the peer key.
pub const KEY_HEADER: &str = "x-peer-key";

/// Calls other daemons over one kept HTTP/2 connection to each.
#[derive(Clone)]
pub struct PeerClient {
    shared: Arc<Shared>,
}

struct Shared {
    key: HeaderValue,
    links: Mutex<HashMap<String, Arc<Link>>>,
    seed: u64,
    traffic: PeerTraffic,
}

impl Debug for PeerClient {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerClient").finish_non_exhaustive()
    }
}

impl PeerClient {
    /// Creates a client that presents `key`; `seed` spreads its reconnects.
    pub fn new(key: &Secret, seed: u64, traffic: PeerTraffic) -> Result<Self, PeerError> {
        let key = HeaderValue::from_str(&key.0)
            .map_err(|e| PeerError::Refused(format!("the peer key is no header value: {e}")))?;
        let shared = Shared {
            key,
            links: Mutex::default(),
            seed,
            traffic,
        };
        Ok(Self {
            shared: Arc::new(shared),
        })
    }

    fn link(&self, address: &str) -> Arc<Link> {
        let mut links = self
            .shared
            .links
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(link) = links.get(address) {
            return Arc::clone(link);
        }
        let seed = self.shared.seed ^ name_hash(address);
        let (link, keeper) = Link::new(address, seed, self.shared.traffic.clone());
        links.insert(String::from(address), Arc::clone(&link));
        let client = self.clone();
        let address = String::from(address);
        let kept = Arc::clone(&link);
        tokio::spawn(async move {
            keeper.run().await;
            client.forget(&address, &kept);
        });
        link
    }

    fn forget(&self, address: &str, link: &Arc<Link>) {
        let mut links = self
            .shared
            .links
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if links
            .get(address)
            .is_some_and(|held| Arc::ptr_eq(held, link))
        {
            links.remove(address);
        }
    }

    fn send(
        &self,
        sender: &mut SendRequest<Bytes>,
        address: &str,
        body: Bytes,
    ) -> Result<ResponseFuture, PeerError> {
        let request = Request::post(format!("http://{address}/"))
            .header(KEY_HEADER, self.shared.key.clone())
            .body(())
            .map_err(|e| PeerError::Refused(e.to_string()))?;
        let (response, mut stream) = sender
            .send_request(request, false)
            .map_err(|e| unsent(&e))?;
        stream.send_data(body, true).map_err(|e| lost(&e))?;
        self.shared.traffic.calls_out.inc();
        Ok(response)
    }
}

impl Peer for PeerClient {
    async fn call(&self, address: &str, call: PeerCall) -> Result<PeerReply, PeerError> {
        let body = encode(&call).map_err(|e| refused(&e))?;
        let (link, sender) = loop {
            let link = self.link(address);
            if let Some(state) = link.connected().await {
                break (link, state.map_err(PeerError::Unsent)?);
            }
            self.forget(address, &link);
        };
        let _flight = link.fly();
        let mut sender = sender.ready().await.map_err(|e| unsent(&e))?;
        let response = self
            .send(&mut sender, address, body)?
            .await
            .map_err(|e| broken(&e))?;
        let status = response.status();
        let body = read_body(response.into_body())
            .await
            .map_err(|e| unread(&e))?;
        if status != StatusCode::OK {
            let why = String::from_utf8_lossy(&body).into_owned();
            return Err(PeerError::Refused(why));
        }
        decode(&body).map_err(|e| unread(&e))
    }
}

fn unsent(error: &h2::Error) -> PeerError {
    PeerError::Unsent(error.to_string())
}

fn lost(error: &h2::Error) -> PeerError {
    PeerError::Lost(error.to_string())
}

fn unread<E>(error: &E) -> PeerError
where
    E: Display,
{
    PeerError::Lost(error.to_string())
}

fn refused(error: &WireError) -> PeerError {
    PeerError::Refused(error.to_string())
}

/// A stream that the peer refused before reading it provably had no effect.
fn broken(error: &h2::Error) -> PeerError {
    if error.reason() == Some(Reason::REFUSED_STREAM) {
        unsent(error)
    } else {
        lost(error)
    }
}
