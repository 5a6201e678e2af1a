use {
    crate::{key::AttemptId, port::Chunk},
    thiserror::Error,
};

/// Checks that the chunks of a stream belong to one attempt and follow each other.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChunkCheck {
    attempt: AttemptId,
    next: u32,
    done: bool,
}

/// What to do with a chunk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChunkVerdict {
    /// Pass it on: it is the next one.
    Take,
    /// Drop it: the answer needs nothing of it.
    Drop(ChunkDrop),
}

/// Why a chunk is dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ChunkDrop {
    /// It belongs to another attempt.
    Crossed,
    /// Its tokens were seen before.
    Repeated,
    /// It came after the final chunk.
    Late,
}

/// Why a stream cannot go on; resuming at `ChunkCheck::next` may mend it.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum ChunkError {
    /// Tokens are missing before the chunk.
    #[error("token {expected} is missing, the stream went on with {found}; resume at {expected}")]
    Gap {
        /// Index of the first missing token.
        expected: u32,
        /// Index of the chunk's first token.
        found: u32,
    },
    /// The chunk holds both known and new tokens.
    #[error("a chunk at {found} overlaps the tokens before {expected}; resume at {expected}")]
    Overlap {
        /// Index of the next token.
        expected: u32,
        /// Index of the chunk's first token.
        found: u32,
    },
    /// The stream ended before the final chunk.
    #[error("the stream ended without its final chunk; resume at {expected}")]
    Truncated {
        /// Index of the next token.
        expected: u32,
    },
}

impl ChunkCheck {
    /// Expects the chunks of `attempt` from token `index` on.
    pub fn new(attempt: AttemptId, index: u32) -> Self {
        Self {
            attempt,
            next: index,
            done: false,
        }
    }

    /// Index of the next token.
    pub fn next(&self) -> u32 {
        self.next
    }

    /// Whether the final chunk was taken.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Judges one chunk and advances if it is the next one.
    pub fn accept(&mut self, chunk: &Chunk) -> Result<ChunkVerdict, ChunkError> {
        if chunk.attempt != self.attempt {
            return Ok(ChunkVerdict::Drop(ChunkDrop::Crossed));
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
        Ok(ChunkVerdict::Take)
    }

    /// Judges the end of the stream: without the final chunk it is truncated.
    pub fn end(&self) -> Result<(), ChunkError> {
        if self.done {
            return Ok(());
        }
        Err(ChunkError::Truncated {
            expected: self.next,
        })
    }
}
