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

/// Bytes that are passed on at once.
const PIECE_BYTES: usize = 16 * 1024;

/// A link to one address, through which its bytes pass as long as it is sound.
#[derive(Debug)]
pub struct LinkProxy {
    address: SocketAddr,
    state: watch::Sender<LinkState>,
}

/// What becomes of bytes on a link.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LinkState {
    /// What is wrong.
    pub fault: LinkFault,
    /// Connections of an earlier generation are reset.
    pub resets: u64,
}

/// What is wrong with a link.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkFault {
    /// Nothing.
    #[default]
    None,
    /// Every piece waits.
    Delay(Duration),
    /// Nothing passes towards the address; connections stay open.
    CutThere,
    /// Nothing passes back; connections stay open.
    CutBack,
    /// Nothing passes either way; connections stay open.
    Silent,
}

/// Which way a half of a connection passes bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    There,
    Back,
}

impl LinkProxy {
    /// Starts a link to `target` on a free port.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (state, watched) = watch::channel(LinkState::default());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(pass(stream, target, watched.clone()));
            }
        });
        Ok(Self { address, state })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Goes wrong, or right again.
    pub fn set_fault(&self, fault: LinkFault) {
        self.state.send_modify(|state| state.fault = fault);
    }

    /// Resets every open connection.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }
}

/// Passes one connection on, until it ends or is reset.
async fn pass(stream: TcpStream, target: SocketAddr, state: watch::Receiver<LinkState>) {
    let resets = state.borrow().resets;
    let Ok(other) = TcpStream::connect(target).await else {
        return;
    };
    let (from, to) = (stream.into_split(), other.into_split());
    let there = copy(from.0, to.1, Way::There, state.clone());
    let back = copy(to.0, from.1, Way::Back, state.clone());
    let mut watched = state;
    tokio::select! {
        _ = async { tokio::join!(there, back) } => {}
        _ = watched.wait_for(|state| state.resets != resets) => {}
    }
}

/// Passes bytes one way; an end of the connection passes as well.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    way: Way,
    mut state: watch::Receiver<LinkState>,
) {
    let mut piece = vec![0; PIECE_BYTES];
    while let Ok(count @ 1..) = from.read(&mut piece).await {
        let fault = state.borrow().fault;
        if let LinkFault::Delay(time) = fault {
            sleep(time).await;
        }
        if state
            .wait_for(|state| passes(state.fault, way))
            .await
            .is_err()
            || to.write_all(&piece[..count]).await.is_err()
        {
            return;
        }
    }
    let _ = to.shutdown().await;
}

fn passes(fault: LinkFault, way: Way) -> bool {
    match fault {
        LinkFault::None | LinkFault::Delay(_) => true,
        LinkFault::CutThere => way == Way::Back,
        LinkFault::CutBack => way == Way::There,
        LinkFault::Silent => false,
    }
}
