use {
    super::{
        PeerTraffic,
        peer_body::read_body,
        peer_link::PeerLink,
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

/// Name of the header that carries the peer key.
pub const KEY_HEADER: &str = "x-peer-key";

/// Client of other daemons, with one persistent HTTP/2 connection to each.
///
/// Clones share the connections.
#[derive(Clone)]
pub struct PeerClient {
    state: Arc<PeerClientState>,
}

/// State that all clones share.
struct PeerClientState {
    key: HeaderValue,
    links: Mutex<HashMap<String, Arc<PeerLink>>>,
    seed: u64,
    traffic: PeerTraffic,
}

impl Debug for PeerClient {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerClient").finish_non_exhaustive()
    }
}

impl PeerClient {
    /// Creates a client that presents `key`; `seed` randomizes its pauses between connection
    /// attempts.
    ///
    /// Fails with `PeerError::Refused` if `key` is not a valid header value.
    pub fn new(key: &Secret, seed: u64, traffic: PeerTraffic) -> Result<Self, PeerError> {
        let key = HeaderValue::from_str(&key.0).map_err(|e| {
            PeerError::Refused(format!("the peer key is not a valid header value: {e}"))
        })?;
        let state = PeerClientState {
            key,
            links: Mutex::default(),
            seed,
            traffic,
        };
        Ok(Self {
            state: Arc::new(state),
        })
    }

    /// Returns the link to `address`; creates it and starts its task if there is none.
    fn link(&self, address: &str) -> Arc<PeerLink> {
        let mut links = self
            .state
            .links
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(link) = links.get(address) {
            return Arc::clone(link);
        }
        let seed = self.state.seed ^ name_hash(address);
        let (link, task) = PeerLink::new(address, seed, self.state.traffic.clone());
        links.insert(String::from(address), Arc::clone(&link));
        let client = self.clone();
        let address = String::from(address);
        let retired = Arc::clone(&link);
        tokio::spawn(async move {
            task.run().await;
            client.remove_link(&address, &retired);
        });
        link
    }

    /// Removes `link` unless another one has taken its place.
    fn remove_link(&self, address: &str, link: &Arc<PeerLink>) {
        let mut links = self
            .state
            .links
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if links
            .get(address)
            .is_some_and(|current| Arc::ptr_eq(current, link))
        {
            links.remove(address);
        }
    }

    /// Sends a message on a new stream and returns the future of its response.
    fn send(
        &self,
        sender: &mut SendRequest<Bytes>,
        address: &str,
        body: Bytes,
    ) -> Result<ResponseFuture, PeerError> {
        let request = Request::post(format!("http://{address}/"))
            .header(KEY_HEADER, self.state.key.clone())
            .body(())
            .map_err(|e| PeerError::Refused(e.to_string()))?;
        let (response, mut stream) = sender
            .send_request(request, false)
            .map_err(|e| unsent(&e))?;
        stream.send_data(body, true).map_err(|e| lost_reply(&e))?;
        self.state.traffic.calls_out.inc();
        Ok(response)
    }
}

impl Peer for PeerClient {
    async fn call(&self, address: &str, call: PeerCall) -> Result<PeerReply, PeerError> {
        let body = encode(&call).map_err(|e| refused(&e))?;
        let (link, sender) = loop {
            let link = self.link(address);
            if let Some(connection) = link.connected().await {
                break (link, connection.map_err(PeerError::Unsent)?);
            }
            self.remove_link(address, &link);
        };
        let _in_flight = link.start_call();
        let mut sender = sender.ready().await.map_err(|e| unsent(&e))?;
        let response = self
            .send(&mut sender, address, body)?
            .await
            .map_err(|e| call_error(&e))?;
        let status = response.status();
        let body = read_body(response.into_body())
            .await
            .map_err(|e| invalid_reply(&e))?;
        if status != StatusCode::OK {
            let reason = String::from_utf8_lossy(&body).into_owned();
            return Err(PeerError::Refused(reason));
        }
        decode(&body).map_err(|e| invalid_reply(&e))
    }
}

fn unsent(error: &h2::Error) -> PeerError {
    PeerError::Unsent(error.to_string())
}

fn lost_reply(error: &h2::Error) -> PeerError {
    PeerError::Lost(error.to_string())
}

fn invalid_reply<E>(error: &E) -> PeerError
where
    E: Display,
{
    PeerError::Lost(error.to_string())
}

fn refused(error: &WireError) -> PeerError {
    PeerError::Refused(error.to_string())
}

/// Converts the error of a call that was sent.
///
/// A stream that the peer refused with `REFUSED_STREAM` was not processed, so the call counts as
/// not sent.
fn call_error(error: &h2::Error) -> PeerError {
    if error.reason() == Some(Reason::REFUSED_STREAM) {
        unsent(error)
    } else {
        lost_reply(error)
    }
}
