//! How long outputs are expected to become.

use {insta::assert_yaml_snapshot, lentillead::decide::OutputLengths};

/// Shares of the generations that reach some length, of those that have reached another one, as
/// multiples of the expected length.
fn shares(lengths: &OutputLengths) -> Vec<String> {
    let reached = [
        (0.0, 0.5),
        (0.0, 1.0),
        (0.9, 1.0),
        (0.9, 1.9),
        (1.8, 1.9),
        (3.0, 9.0),
    ];
    reached
        .iter()
        .map(|(from, to)| {
            let share = lengths.share(*to) / lengths.share(*from);
            format!("{to} of those at {from}: {share:.2}")
        })
        .collect()
}

#[test]
fn outputs_are_expected_as_long_as_earlier_ones() {
    let start = OutputLengths::default();
    let mut lengths = start.clone();
    for _ in 0..100 {
        lengths.record(0.6);
    }
    let short = lengths.clone();
    for _ in 0..1_000 {
        lengths.record(1.5);
    }
    let long = lengths.clone();
    for odd in [f64::NAN, f64::INFINITY, -1.0, 1e12] {
        lengths.record(odd);
    }
    assert_yaml_snapshot!([
        ("at the start", shares(&start)),
        ("after a hundred short ones", shares(&short)),
        ("after a thousand long ones", shares(&long)),
        ("after lengths that cannot be", shares(&lengths)),
    ]);
}
