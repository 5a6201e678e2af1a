use {
    super::{CommandError, ExitStatus},
    crate::border::{OperatorProblem, read_settings},
    reqwest::{Client, Method, RequestBuilder, Response, StatusCode},
    serde::de::DeserializeOwned,
    std::{env, path::Path, time::Duration},
};

/// Environment variable that holds the operators' key.
const KEY_VARIABLE: &str = "LENTILLEAD_OPERATOR_KEY";
/// Address of the operator listener of a daemon with default settings.
const DEFAULT_DAEMON: &str = "127.0.0.1:7101";
/// Time within which a call must be completed.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Client of a daemon's operator listener.
#[derive(Clone)]
pub struct OperatorClient {
    client: Client,
    daemon: String,
    key: String,
}

impl std::fmt::Debug for OperatorClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("OperatorClient")
            .field("daemon", &self.daemon)
            .finish_non_exhaustive()
    }
}

impl OperatorClient {
    /// Creates a client with the key of the `settings` file, or of the environment variable
    /// `LENTILLEAD_OPERATOR_KEY` if there is none. The address is `daemon`, else that in the
    /// settings, else 127.0.0.1:7101.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid, no key is given or the HTTP client cannot be created.
    pub async fn new(
        daemon: Option<String>,
        settings: Option<&Path>,
    ) -> Result<Self, CommandError> {
        let (address, key) = match settings {
            Some(path) => {
                let settings = read_settings(path).await?;
                let address = settings.listen.operators.to_string();
                (address, settings.keys.operators.0)
            }
            None => (DEFAULT_DAEMON.to_owned(), key_from_environment()?),
        };
        let client = Client::builder()
            .no_proxy()
            .timeout(CALL_TIMEOUT)
            .build()
            .map_err(|error| CommandError::failed(error.to_string()))?;
        Ok(Self {
            client,
            daemon: daemon.unwrap_or(address),
            key,
        })
    }

    /// Gets a JSON document.
    ///
    /// # Errors
    ///
    /// Fails if the daemon is unreachable, refuses the request or sends no valid document.
    pub async fn get<T>(&self, path: &str) -> Result<T, CommandError>
    where
        T: DeserializeOwned,
    {
        self.read(self.request(Method::GET, path)).await
    }

    /// Sends `body` and returns the JSON document of the response.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::get`] does; the outcome is unknown if the response did not arrive.
    pub async fn put<T>(&self, path: &str, body: Vec<u8>) -> Result<T, CommandError>
    where
        T: DeserializeOwned,
    {
        self.read(self.request(Method::PUT, path).body(body)).await
    }

    /// Sends a request without a body and returns the text of the response.
    ///
    /// # Errors
    ///
    /// Fails if the daemon is unreachable or refuses the request.
    pub async fn text(&self, method: Method, path: &str) -> Result<String, CommandError> {
        let response = self.send(self.request(method, path)).await?;
        response
            .text()
            .await
            .map_err(|error| self.unreachable(&error))
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("http://{}{path}", self.daemon);
        self.client.request(method, url).bearer_auth(&self.key)
    }

    async fn read<T>(&self, request: RequestBuilder) -> Result<T, CommandError>
    where
        T: DeserializeOwned,
    {
        let response = self.send(request).await?;
        response
            .json()
            .await
            .map_err(|error| self.unreachable(&error))
    }

    async fn send(&self, request: RequestBuilder) -> Result<Response, CommandError> {
        let response = request
            .send()
            .await
            .map_err(|error| self.unreachable(&error))?;
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let text = response
            .text()
            .await
            .map_err(|error| self.unreachable(&error))?;
        Err(match serde_json::from_str::<OperatorProblem>(&text) {
            Ok(problem) => refused(&problem),
            Err(_) => CommandError::failed(format!(
                "{} responded with {status} and no problem document; check the address",
                self.daemon
            )),
        })
    }

    fn unreachable(&self, error: &reqwest::Error) -> CommandError {
        let message = if error.is_connect() {
            format!(
                "cannot connect to {}; check the address and whether the daemon runs",
                self.daemon
            )
        } else {
            format!("no complete response from {}: {error}", self.daemon)
        };
        CommandError::with_status(ExitStatus::Unreachable, message)
    }
}

fn key_from_environment() -> Result<String, CommandError> {
    env::var(KEY_VARIABLE).map_err(|_absent| {
        let message = format!("no operators' key; set {KEY_VARIABLE} or give --settings FILE");
        CommandError::with_status(ExitStatus::Usage, message)
    })
}

fn refused(problem: &OperatorProblem) -> CommandError {
    let status = match problem.reason.as_str() {
        "sheet-faults" => ExitStatus::Sheet,
        "conflict" | "change-reused" => ExitStatus::Conflict,
        "wrong-key" => ExitStatus::Forbidden,
        "store-unavailable" | "outcome-unknown" => ExitStatus::Unreachable,
        _ if problem.status == StatusCode::BAD_REQUEST.as_u16() => ExitStatus::Usage,
        _ => ExitStatus::Failed,
    };
    let mut message = format!("{} ({})", problem.detail, problem.reason);
    for fault in &problem.faults {
        message.push_str("\n  ");
        message.push_str(&fault.to_string());
    }
    CommandError::with_status(status, message)
}
