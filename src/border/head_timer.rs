use {
    std::{
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::time::{Instant, Sleep, sleep},
};

/// Bytes that end the head of an HTTP/1.1 request.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// First bytes of the preface of an HTTP/2 connection.
const HTTP2_PREFACE: &[u8] = b"PRI ";

/// Start of the interim response that invites the client to send its body; it does not end the
/// request.
const CONTINUE: &[u8] = b"HTTP/1.1 100";

/// Time limit for receiving a request head, from its first byte to its last.
///
/// It does not apply to an idle connection, to a body or to a response, however long. On an HTTP/2
/// connection it applies to the preface only.
#[derive(Debug)]
pub struct HeadTimer {
    limit: Duration,
    phase: Phase,
    expiry: Pin<Box<Sleep>>,
}

/// What the client is expected to send next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The first byte of a head.
    Idle,
    /// The rest of a head.
    Head {
        /// Number of bytes at the start of `HEAD_END` that the last bytes match.
        matched: usize,
        /// Number of bytes of `HTTP2_PREFACE` that the connection began with; `None` if it began
        /// with others or after its first request.
        preface: Option<usize>,
    },
    /// A body, or nothing until the response.
    Request,
    /// HTTP/2 frames, which have no time limit.
    Http2,
}

impl HeadTimer {
    /// Creates a timer for a new connection; a head must arrive within `limit` of its first byte.
    pub fn new(limit: Duration) -> Self {
        Self {
            limit,
            phase: Phase::Idle,
            expiry: Box::pin(sleep(limit)),
        }
    }

    /// Records bytes that were read; `is_first` is true until a response was written to the
    /// connection.
    pub fn on_read(&mut self, bytes: &[u8], is_first: bool) {
        if self.phase == Phase::Idle && !bytes.is_empty() {
            self.expiry.as_mut().reset(Instant::now() + self.limit);
            self.phase = Phase::Head {
                matched: 0,
                preface: is_first.then_some(0),
            };
        }
        for byte in bytes {
            self.phase = self.phase.next(*byte);
        }
    }

    /// Records bytes that were written; unless they are an interim response, the request is
    /// answered and the next head may begin.
    pub fn on_written(&mut self, bytes: &[u8]) {
        if self.phase == Phase::Request && !bytes.starts_with(CONTINUE) {
            self.phase = Phase::Idle;
        }
    }

    /// Returns whether a head has begun and is not complete.
    pub fn is_in_head(&self) -> bool {
        matches!(self.phase, Phase::Head { .. })
    }

    /// Returns whether the connection uses HTTP/2.
    pub fn is_http2(&self) -> bool {
        self.phase == Phase::Http2
    }

    /// Completes when a head has begun and its time limit has passed.
    pub fn poll_expired(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        match self.phase {
            Phase::Head { .. } => self.expiry.as_mut().poll(cx),
            Phase::Idle | Phase::Request | Phase::Http2 => Poll::Pending,
        }
    }
}

impl Phase {
    /// Returns the phase after `byte` was read.
    fn next(self, byte: u8) -> Self {
        let Self::Head { matched, preface } = self else {
            return self;
        };
        let preface = preface.and_then(|count| match HTTP2_PREFACE.get(count) {
            Some(expected) => (*expected == byte).then_some(count + 1),
            None => Some(count),
        });
        let matched = match byte {
            _ if HEAD_END[matched] == byte => matched + 1,
            b'\r' => 1,
            _ => 0,
        };
        if matched < HEAD_END.len() {
            return Self::Head { matched, preface };
        }
        if preface == Some(HTTP2_PREFACE.len()) {
            Self::Http2
        } else {
            Self::Request
        }
    }
}
