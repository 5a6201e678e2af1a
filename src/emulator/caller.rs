use {
    super::{Ending, LoadAsk, LoadItem, Observation, RefusalSeen},
    crate::fake::{answer_length, answer_text},
    futures_util::StreamExt,
    reqwest::{Client, RequestBuilder, Response},
    serde_json::{Value, json},
    std::time::{Duration, Instant},
    tokio::time::timeout,
};

/// Stand-in of a caller: sends a request over HTTP and checks that the answer is its own.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    patience: Duration,
}

/// Tokens of an answer as they arrive.
#[derive(Debug, Default)]
pub(super) struct Received {
    text: String,
    tokens: u32,
    done: bool,
    first: Option<Instant>,
    last: Option<Instant>,
    error: Option<Value>,
    fault: Option<String>,
}

impl Caller {
    /// Creates a caller that gives up after `patience`.
    pub fn new(client: Client, patience: Duration) -> Self {
        Self { client, patience }
    }

    /// Sends `item` to the daemon at `address` with the branch's `key`.
    ///
    /// `model` is the model that the sheet names for the kind; the stand-in's text depends on it.
    pub async fn send(
        &self,
        address: &str,
        key: &str,
        model: &str,
        item: &LoadItem,
    ) -> Observation {
        let start = Instant::now();
        let sent = self.run(address, key, model, item, start);
        let limit = item.leave.unwrap_or(self.patience);
        let unseen = Observation {
            kind: item.kind.clone(),
            key: item.key().map(str::to_owned),
            ..Observation::ended(Ending::Left)
        };
        match timeout(limit, sent).await {
            Ok(seen) => Observation {
                kind: unseen.kind,
                key: unseen.key,
                ..seen
            },
            Err(_) if item.leave.is_some() => unseen,
            Err(_) => Observation {
                end: Ending::Lost,
                ..unseen
            },
        }
    }

    async fn run(
        &self,
        address: &str,
        key: &str,
        model: &str,
        item: &LoadItem,
        start: Instant,
    ) -> Observation {
        let request = self.request(address, key, item);
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) => return Observation::ended(Ending::Broken(error.to_string())),
        };
        if !response.status().is_success() {
            return Observation::ended(refusal(response).await);
        }
        match &item.ask {
            LoadAsk::Completion { prompt, max_tokens } => {
                let received = receive(response).await;
                received.judge(start, model, prompt, *max_tokens)
            }
            LoadAsk::Service { path, body, .. } => {
                let replayed = response.headers().contains_key("idempotent-replayed");
                let end = echo(response, path, body).await;
                let first_token = Some(start.elapsed());
                Observation {
                    replayed,
                    first_token,
                    ..Observation::ended(end)
                }
            }
        }
    }

    fn request(&self, address: &str, key: &str, item: &LoadItem) -> RequestBuilder {
        let request = match &item.ask {
            LoadAsk::Completion { prompt, max_tokens } => {
                let body = json!({
                    "model": item.kind,
                    "prompt": prompt,
                    "max_tokens": max_tokens,
                    "stream": true,
                });
                self.client
                    .post(format!("http://{address}/v1/completions"))
                    .json(&body)
            }
            LoadAsk::Service { path, body, .. } => {
                let url = format!("http://{address}/v1/services/{}{path}", item.kind);
                self.client.post(url).body(body.clone())
            }
        };
        let request = request.bearer_auth(key);
        match item.key() {
            Some(key) => request.header("idempotency-key", key),
            None => request,
        }
    }
}

impl Observation {
    /// An observation of nothing but the end.
    pub(super) fn ended(end: Ending) -> Self {
        Self {
            kind: String::new(),
            key: None,
            end,
            replayed: false,
            first_token: None,
            per_token: None,
        }
    }
}

impl LoadItem {
    /// Idempotency key of an at-most-once request.
    pub fn key(&self) -> Option<&str> {
        match &self.ask {
            LoadAsk::Service { key, .. } => key.as_deref(),
            LoadAsk::Completion { .. } => None,
        }
    }
}

impl Received {
    /// Takes over one event of the stream.
    fn take(&mut self, event: &str) {
        let data = event
            .lines()
            .find_map(|line| line.strip_prefix("data: "))
            .unwrap_or_default();
        if data == "[DONE]" {
            self.finish();
            return;
        }
        let Ok(value) = serde_json::from_str::<Value>(data) else {
            self.fault = Some(format!("no JSON: {data}"));
            return;
        };
        if event.starts_with("event: error") {
            self.error = Some(value);
            return;
        }
        let choice = &value["choices"][0];
        let text = choice["text"].as_str().unwrap_or_default();
        if choice["token_index"].as_u64() != Some(u64::from(self.tokens)) {
            self.fault = Some(format!(
                "token {} came as {}",
                self.tokens, choice["token_index"]
            ));
        }
        self.add(text);
    }

    /// Takes over the text of the next tokens.
    pub(super) fn add(&mut self, text: &str) {
        self.tokens += text.split_whitespace().count() as u32;
        self.text.push_str(text);
        self.first.get_or_insert_with(Instant::now);
        self.last = Some(Instant::now());
    }

    /// Notes that the final chunk came.
    pub(super) fn finish(&mut self) {
        self.done = true;
    }

    /// Judges the answer to `prompt` that was asked for at `start`.
    pub(super) fn judge(
        &self,
        start: Instant,
        model: &str,
        prompt: &str,
        max_tokens: u32,
    ) -> Observation {
        let first_token = self.first.map(|first| first - start);
        let gaps = self.tokens.saturating_sub(1).max(1);
        let per_token = self
            .first
            .zip(self.last)
            .map(|(first, last)| (last - first) / gaps);
        let end = self.end(model, prompt, max_tokens);
        Observation {
            first_token,
            per_token,
            ..Observation::ended(end)
        }
    }

    fn end(&self, model: &str, prompt: &str, max_tokens: u32) -> Ending {
        if let Some(fault) = &self.fault {
            return Ending::Wrong(fault.clone());
        }
        if let Some(error) = &self.error {
            return Ending::Broken(error["reason"].as_str().unwrap_or_default().to_owned());
        }
        if !self.done {
            return Ending::Broken("the stream ended without [DONE]".to_owned());
        }
        let expected = answer_text(model, prompt, 0, answer_length(prompt, max_tokens));
        if self.text.trim() != expected.trim() {
            return Ending::Wrong(format!("{} tokens of another answer", self.tokens));
        }
        Ending::Answered
    }
}

async fn receive(response: Response) -> Received {
    let mut received = Received::default();
    let mut body = response.bytes_stream();
    let mut buffer = Vec::new();
    while let Some(Ok(bytes)) = body.next().await {
        buffer.extend_from_slice(&bytes);
        while let Some(end) = buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = buffer.drain(..end + 2).collect();
            received.take(&String::from_utf8_lossy(&event));
        }
    }
    received
}

async fn refusal(response: Response) -> Ending {
    match response.json::<RefusalSeen>().await {
        Ok(seen) => Ending::Refused(seen),
        Err(error) => Ending::Broken(error.to_string()),
    }
}

/// Checks that a service's answer repeats the call.
async fn echo(response: Response, path: &str, body: &str) -> Ending {
    match response.json::<Value>().await {
        Ok(answer) => echoed(&answer, path, body),
        Err(error) => Ending::Broken(error.to_string()),
    }
}

/// Judges a service's answer, which repeats the call.
pub(super) fn echoed(answer: &Value, path: &str, body: &str) -> Ending {
    if answer["path"] == path && answer["body"] == body {
        return Ending::Answered;
    }
    Ending::Wrong(answer.to_string())
}
