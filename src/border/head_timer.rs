use {
    std::{
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::time::{Instant, Sleep, sleep},
};

/// End of a request head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// First bytes of an HTTP/2 connection.
const HTTP2_PREFACE: &[u8] = b"PRI ";

/// Answer that lets a caller send its body, and does not end the request.
const CONTINUE: &[u8] = b"HTTP/1.1 100";

/// Limit on the time from the first byte of a request head to its last.
///
/// Neither an idle connection, nor a body, nor an answer of any length is limited by it. On a
/// connection with HTTP/2 the preface is limited, and nothing after it.
#[derive(Debug)]
pub struct HeadTimer {
    limit: Duration,
    phase: Phase,
    expiry: Pin<Box<Sleep>>,
}

/// What is expected next from the client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The first byte of a head.
    Idle,
    /// The rest of a head.
    Head {
        /// Bytes of `HEAD_END` that came last.
        matched: usize,
        /// Bytes of `HTTP2_PREFACE` that the connection began with; none after its first request.
        preface: Option<usize>,
    },
    /// A body, or nothing until the answer.
    Request,
    /// Frames of HTTP/2.
    Frames,
}

impl HeadTimer {
    /// Creates a timer for a new connection.
    pub fn new(limit: Duration) -> Self {
        Self {
            limit,
            phase: Phase::Idle,
            expiry: Box::pin(sleep(limit)),
        }
    }

    /// Takes note of bytes that were read; `first` tells whether no request was answered yet.
    pub fn read(&mut self, bytes: &[u8], first: bool) {
        if self.phase == Phase::Idle && !bytes.is_empty() {
            self.expiry.as_mut().reset(Instant::now() + self.limit);
            self.phase = Phase::Head {
                matched: 0,
                preface: first.then_some(0),
            };
        }
        for byte in bytes {
            self.phase = self.phase.after(*byte);
        }
    }

    /// Takes note of bytes that were written: the request before them has an answer.
    pub fn wrote(&mut self, bytes: &[u8]) {
        if self.phase == Phase::Request && !bytes.starts_with(CONTINUE) {
            self.phase = Phase::Idle;
        }
    }

    /// Is ready when a head has not arrived in time.
    pub fn poll_expired(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        match self.phase {
            Phase::Head { .. } => self.expiry.as_mut().poll(cx),
            Phase::Idle | Phase::Request | Phase::Frames => Poll::Pending,
        }
    }
}

impl Phase {
    fn after(self, byte: u8) -> Self {
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
            Self::Frames
        } else {
            Self::Request
        }
    }
}
