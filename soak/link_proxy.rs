use {
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::watch,
        time::sleep,
    },
};

/// Size of the buffer of each direction: bytes that are forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// A TCP proxy to one address that can delay or hold back the bytes of its connections, or
/// close them.
#[derive(Debug)]
pub struct LinkProxy {
    address: SocketAddr,
    state: watch::Sender<LinkState>,
}

/// State of a link, as its connections observe it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LinkState {
    /// Current fault.
    pub fault: LinkFault,
    /// Number of resets so far; a connection that was opened before the last one is closed.
    pub resets: u64,
}

/// Fault of a link. Plans print the variant names.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkFault {
    /// No fault.
    #[default]
    None,
    /// Each chunk of up to 16 KiB is forwarded after this delay.
    Delay(Duration),
    /// Bytes to the target are held back until the fault ends; connections stay open.
    CutThere,
    /// Bytes from the target are held back until the fault ends; connections stay open.
    CutBack,
    /// Bytes in both directions are held back until the fault ends; connections stay open.
    Silent,
}

/// Direction in which one half of a connection forwards bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    ToTarget,
    FromTarget,
}

impl LinkProxy {
    /// Starts a proxy to `target` on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (state, changes) = watch::channel(LinkState::default());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(proxy(stream, target, changes.clone()));
            }
        });
        Ok(Self { address, state })
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault; `LinkFault::None` ends it.
    pub fn set_fault(&self, fault: LinkFault) {
        self.state.send_modify(|state| state.fault = fault);
    }

    /// Returns whether it has a fault now.
    pub fn is_faulty(&self) -> bool {
        self.state.borrow().fault != LinkFault::None
    }

    /// Returns the number of resets so far.
    pub fn resets(&self) -> u64 {
        self.state.borrow().resets
    }

    /// Closes every open connection.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }
}

/// Forwards one connection in both directions until it ends or is reset.
async fn proxy(stream: TcpStream, target: SocketAddr, state: watch::Receiver<LinkState>) {
    let resets = state.borrow().resets;
    let Ok(target_stream) = TcpStream::connect(target).await else {
        return;
    };
    let (client, target) = (stream.into_split(), target_stream.into_split());
    let outbound = forward(client.0, target.1, Direction::ToTarget, state.clone());
    let inbound = forward(target.0, client.1, Direction::FromTarget, state.clone());
    let mut changes = state;
    tokio::select! {
        _ = async { tokio::join!(outbound, inbound) } => {}
        _ = changes.wait_for(|state| state.resets != resets) => {}
    }
}

/// Forwards bytes in one direction, and the end of the stream as well.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    mut state: watch::Receiver<LinkState>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(count @ 1..) = from.read(&mut chunk).await {
        let fault = state.borrow().fault;
        if let LinkFault::Delay(time) = fault {
            sleep(time).await;
        }
        if state
            .wait_for(|state| is_open(state.fault, direction))
            .await
            .is_err()
            || to.write_all(&chunk[..count]).await.is_err()
        {
            return;
        }
    }
    let _ = to.shutdown().await;
}

fn is_open(fault: LinkFault, direction: Direction) -> bool {
    match fault {
        LinkFault::None | LinkFault::Delay(_) => true,
        LinkFault::CutThere => direction == Direction::FromTarget,
        LinkFault::CutBack => direction == Direction::ToTarget,
        LinkFault::Silent => false,
    }
}
