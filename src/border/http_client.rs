use {
    reqwest::{Client, Error, redirect::Policy},
    std::time::Duration,
};

/// Builds an HTTP client that uses no proxy and follows no redirects.
///
/// `connect` limits the time to open a connection. The endpoint clients report this time-out as
/// "not run", because nothing was sent. Fails if the client cannot be set up.
pub fn http_client(connect: Duration) -> Result<Client, Error> {
    Client::builder()
        .no_proxy()
        .redirect(Policy::none())
        .connect_timeout(connect)
        .tcp_nodelay(true)
        .build()
}
