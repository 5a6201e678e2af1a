use {
    crate::board::ReceiveBounds,
    std::{io, net::SocketAddr},
    tokio::net::{TcpListener, TcpSocket},
};

/// Binds a listener to `address`; what the kernel receives for its connections stays within `bounds`.
///
/// The size of the buffers is set before the socket listens: a connection takes it over from its listener, and
/// receives before it is accepted. Fails if the address is invalid or in use. If the system refuses the size,
/// its own one stays.
pub fn listen(address: SocketAddr, bounds: ReceiveBounds) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    if let Err(e) = set_receive_buffer(&socket, bounds.buffer_bytes) {
        log::warn!(
            bytes = bounds.buffer_bytes, address:% = address;
            "the system refused the size of receive buffers; connections use its own size: {e}"
        );
    }
    socket.bind(address)?;
    socket.listen(bounds.queued as u32)
}

/// Sets the receive buffer to `bytes` with the kernel's own overhead, for which Linux doubles what it is given.
fn set_receive_buffer(socket: &TcpSocket, bytes: usize) -> io::Result<()> {
    let half = u32::try_from(bytes / 2).unwrap_or(u32::MAX);
    socket.set_recv_buffer_size(half)
}
