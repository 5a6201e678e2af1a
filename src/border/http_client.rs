use {
    reqwest::{Client, Error, redirect::Policy},
    std::time::Duration,
};

/// Builds the HTTP client towards endpoints: direct connections, no redirects.
///
/// The endpoint clients turn a time-out of `connect` into "not run", as nothing was sent.
pub fn http_client(connect: Duration) -> Result<Client, Error> {
    Client::builder()
        .no_proxy()
        .redirect(Policy::none())
        .connect_timeout(connect)
        .tcp_nodelay(true)
        .build()
}
