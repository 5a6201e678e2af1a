//! The check of chunks against streams with repeated, crossed, lost and swapped chunks.

use {
    crate::engine::attempt,
    lentillead::{
        decide::{ChunkCheck, ChunkVerdict},
        port::Chunk,
    },
    proptest::prelude::{Just, Strategy, any, prop_assert, prop_assert_eq, prop_oneof, proptest},
};

const TOKENS: u32 = 12;

/// Chunks of a whole answer: `sizes` are the numbers of tokens.
fn whole(sizes: &[u32]) -> Vec<Chunk> {
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

#[derive(Clone, Debug)]
enum Harm {
    None,
    Repeat,
    Cross,
    Lose,
    Swap,
}

fn harm() -> impl Strategy<Value = Harm> {
    prop_oneof![
        4 => Just(Harm::None),
        1 => Just(Harm::Repeat),
        1 => Just(Harm::Cross),
        1 => Just(Harm::Lose),
        1 => Just(Harm::Swap),
    ]
}

fn harmed(chunks: Vec<Chunk>, harms: &[Harm]) -> Vec<Chunk> {
    let mut stream = Vec::<Chunk>::new();
    for (chunk, harm) in chunks.into_iter().zip(harms) {
        match harm {
            Harm::None => stream.push(chunk),
            Harm::Repeat => stream.extend([chunk.clone(), chunk]),
            Harm::Cross => stream.extend([
                Chunk {
                    attempt: attempt(2),
                    ..chunk.clone()
                },
                chunk,
            ]),
            Harm::Lose => {}
            Harm::Swap => {
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
    fn only_the_whole_answer_looks_whole(
        sizes in proptest::collection::vec(1_u32..5, 0..6),
        harms in proptest::collection::vec(harm(), 7),
        cut in any::<bool>(),
    ) {
        let mut stream = harmed(whole(&sizes), &harms);
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
        let answer = chunk(0, TOKENS).text;
        prop_assert!(answer.starts_with(&text));
        prop_assert_eq!(text.split_whitespace().count() as u32, check.next());
        prop_assert_eq!(check.end().is_ok(), text == answer && check.is_done());
        if check.end().is_ok() {
            prop_assert_eq!(text, answer);
        }
    }
}
