//! The chunk check against streams with repeated, lost and swapped chunks and chunks of another
//! attempt.

use {
    crate::engine::attempt,
    lentillead::{
        decide::{ChunkCheck, ChunkVerdict},
        port::Chunk,
    },
    proptest::prelude::{Just, Strategy, any, prop_assert, prop_assert_eq, prop_oneof, proptest},
};

/// Number of tokens of the response.
const TOKENS: u32 = 12;

/// Chunks of a complete response: `sizes` holds the number of tokens of each chunk but the last.
fn complete(sizes: &[u32]) -> Vec<Chunk> {
    let mut index = 0;
    let mut chunks = Vec::new();
    for size in sizes {
        let end = TOKENS.min(index + size);
        chunks.push(chunk(index, end));
        index = end;
    }
    chunks.push(chunk(index, TOKENS));
    if let Some(last) = chunks.last_mut() {
        last.finish = Some("length".into());
    }
    chunks
}

fn text(index: u32, end: u32) -> String {
    let tokens = (index..end).map(|token| token.to_string());
    tokens.map(|token| token + " ").collect()
}

fn chunk(index: u32, end: u32) -> Chunk {
    Chunk {
        attempt: attempt(1),
        index,
        count: end - index,
        text: text(index, end),
        finish: None,
    }
}

/// Change to one chunk of a stream.
#[derive(Clone, Debug)]
enum Fault {
    None,
    Repeat,
    OtherAttempt,
    Lose,
    Swap,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::None),
        1 => Just(Fault::Repeat),
        1 => Just(Fault::OtherAttempt),
        1 => Just(Fault::Lose),
        1 => Just(Fault::Swap),
    ]
}

fn with_faults(chunks: Vec<Chunk>, faults: &[Fault]) -> Vec<Chunk> {
    let mut stream = Vec::<Chunk>::new();
    for (chunk, fault) in chunks.into_iter().zip(faults) {
        match fault {
            Fault::None => stream.push(chunk),
            Fault::Repeat => stream.extend([chunk.clone(), chunk]),
            Fault::OtherAttempt => stream.extend([
                Chunk {
                    attempt: attempt(2),
                    ..chunk.clone()
                },
                chunk,
            ]),
            Fault::Lose => {}
            Fault::Swap => {
                let last = stream.pop();
                stream.push(chunk);
                stream.extend(last);
            }
        }
    }
    stream
}

proptest! {
    #[test]
    fn only_a_complete_response_passes_as_complete(
        sizes in proptest::collection::vec(1_u32..5, 0..6),
        faults in proptest::collection::vec(fault(), 7),
        cut in any::<bool>(),
    ) {
        let mut stream = with_faults(complete(&sizes), &faults);
        if cut {
            stream.pop();
        }
        let mut check = ChunkCheck::new(attempt(1), 0);
        let mut text = String::new();
        for chunk in &stream {
            match check.accept(chunk) {
                Ok(ChunkVerdict::Accept) => text += &chunk.text,
                Ok(ChunkVerdict::Drop(_)) => {}
                Err(_) => break,
            }
        }
        let response = chunk(0, TOKENS).text;
        prop_assert!(response.starts_with(&text));
        prop_assert_eq!(text.split_whitespace().count() as u32, check.next());
        prop_assert_eq!(check.end().is_ok(), text == response && check.is_done());
        if check.end().is_ok() {
            prop_assert_eq!(text, response);
        }
    }
}
