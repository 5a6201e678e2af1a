use {
    crate::{key::AttemptId, port::Chunk},
    thiserror::Error,
};

/// Checks that the chunks of a stream belong to one attempt and have consecutive tokens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChunkCheck {
    attempt: AttemptId,
    next: u32,
    done: bool,
}

/// What to do with a chunk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChunkVerdict {
    /// Pass it on: its first token is the next one.
    Accept,
    /// Drop it: the response needs nothing of it.
    Drop(ChunkDrop),
}

/// Why a chunk is dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ChunkDrop {
    /// It belongs to another attempt.
    OtherAttempt,
    /// All of its tokens were accepted before.
    Repeated,
    /// It came after the final chunk.
    Late,
}

/// Why a stream cannot continue; it may be resumed at `ChunkCheck::next`.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum ChunkError {
    /// Tokens are missing before the chunk.
    #[error(
        "token {expected} is missing: the stream continued at token {found}; resume at {expected}"
    )]
    Gap {
        /// Index of the first missing token.
        expected: u32,
        /// Index of the chunk's first token.
        found: u32,
    },
    /// The chunk holds both accepted and new tokens.
    #[error("chunk at token {found} overlaps the tokens before {expected}; resume at {expected}")]
    Overlap {
        /// Index of the next expected token.
        expected: u32,
        /// Index of the chunk's first token.
        found: u32,
    },
    /// The stream ended before the final chunk.
    #[error("stream ended without its final chunk; resume at {expected}")]
    Truncated {
        /// Index of the next expected token.
        expected: u32,
    },
}

impl ChunkCheck {
    /// Creates a check that expects the chunks of `attempt` from token `index` on.
    pub fn new(attempt: AttemptId, index: u32) -> Self {
        Self {
            attempt,
            next: index,
            done: false,
        }
    }

    /// Returns the index of the next expected token.
    pub fn next(&self) -> u32 {
        self.next
    }

    /// Whether the final chunk was accepted.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Checks one chunk and advances past it if it is the next one.
    ///
    /// # Errors
    ///
    /// Fails with `Gap` if tokens are missing before the chunk, and with `Overlap` if the chunk
    /// holds both accepted and new tokens.
    pub fn accept(&mut self, chunk: &Chunk) -> Result<ChunkVerdict, ChunkError> {
        if chunk.attempt != self.attempt {
            return Ok(ChunkVerdict::Drop(ChunkDrop::OtherAttempt));
        }
        if self.done {
            return Ok(ChunkVerdict::Drop(ChunkDrop::Late));
        }
        let (expected, found) = (self.next, chunk.index);
        let end = found.saturating_add(chunk.count);
        if found > expected {
            return Err(ChunkError::Gap { expected, found });
        }
        if found < expected && end > expected {
            return Err(ChunkError::Overlap { expected, found });
        }
        if found < expected {
            return Ok(ChunkVerdict::Drop(ChunkDrop::Repeated));
        }
        self.next = end;
        self.done = chunk.finish.is_some();
        Ok(ChunkVerdict::Accept)
    }

    /// Checks the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails with `Truncated` if the final chunk was not accepted.
    pub fn end(&self) -> Result<(), ChunkError> {
        if self.done {
            return Ok(());
        }
        Err(ChunkError::Truncated {
            expected: self.next,
        })
    }
}
