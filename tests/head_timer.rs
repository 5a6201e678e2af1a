//! The end of request heads, found byte by byte whatever pieces they arrive in.

use {
    lentillead::border::HeadTimer,
    proptest::{collection::vec, prelude::*},
    std::time::Duration,
};

/// Bytes that matter to the parser, and a few that do not.
fn byte() -> impl Strategy<Value = u8> {
    prop_oneof![
        Just(b'\r'),
        Just(b'\n'),
        Just(b'P'),
        Just(b'R'),
        Just(b'I'),
        Just(b' '),
        any::<u8>()
    ]
}

/// Returns whether a head has begun with `bytes` and is not complete; `first` is whether it is the first of
/// its connection.
fn is_in_head(bytes: &[u8]) -> bool {
    !bytes.is_empty() && !bytes.windows(4).any(|window| window == b"\r\n\r\n")
}

proptest! {
    /// A head whose end is missed has its time limit applied to the body; one whose end is found too early has
    /// none.
    #[test]
    fn a_head_ends_at_its_first_empty_line(pieces in vec(vec(byte(), 0..6), 0..12), first in any::<bool>()) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
        let _entered = runtime.enter();
        let mut timer = HeadTimer::new(Duration::from_secs(1));
        let mut sent = Vec::new();
        for piece in pieces {
            timer.on_read(&piece, first);
            sent.extend(piece);
            prop_assert_eq!(timer.is_in_head(), is_in_head(&sent), "{:?}", sent);
        }
    }
}
