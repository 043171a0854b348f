//! Checks that a delta reconstructs its target and that its size depends on the change alone.

use acaciabay::util::byte_delta::{ByteDelta, DeltaMismatch, DeltaPiece};
use bytes::Bytes;
use proptest::prelude::*;

fn document(number: u64, routes: impl IntoIterator<Item = u32>, idle: u32) -> Bytes {
    let routes: Vec<String> = routes.into_iter().map(route).collect();
    format!(
        r#"{{"version":{number},"routes":[{}],"limits":{{"idle_timeout_ms":{idle}}}}}"#,
        routes.join(",")
    )
    .into()
}

fn route(number: u32) -> String {
    let name = number.wrapping_mul(2_654_435_761);
    format!(
        r#"{{"name":"r-{name:x}","hostname":"shop.example","path_prefix":"/{name:x}/","kind":"idempotent",
        "timeout_ms":1000,"target_latency_ms":120,"priority":2,"service":"app","max_attempts":2,"public":false}}"#
    )
}

/// Guards against a delta as large as the document when a small change affects both ends of the document.
#[test]
fn delta_for_small_changes_at_both_ends_is_small() {
    let base = document(15, 0..4_200, 15_000);
    let target = document(17, 0..4_200, 16_000);

    let delta = ByteDelta::between(&base, &target);

    assert!(delta.inserted_bytes() < 200, "{} bytes", delta.inserted_bytes());
    assert_eq!(delta.apply(&base), Ok(target));
}

/// Guards against a delta that is much larger than the added routes when they are inserted between existing ones.
#[test]
fn delta_for_added_routes_is_about_as_large_as_they_are() {
    let base = document(12, 0..2_800, 15_000);
    let added = document(15, (0..1_000).chain(5_000..6_400).chain(1_000..2_800), 15_000);

    let delta = ByteDelta::between(&base, &added);

    let own: usize = (5_000..6_400).map(|number| route(number).len() + 1).sum();
    assert!(
        delta.inserted_bytes() < own + 1_000,
        "{} of {own}",
        delta.inserted_bytes()
    );
    assert_eq!(delta.apply(&base), Ok(added));
}

#[test]
fn delta_for_another_base_or_with_a_huge_target_is_rejected() {
    let kept = |start, length| ByteDelta::from_pieces(vec![DeltaPiece::Kept { start, length }]);

    assert_eq!(kept(2, 3).apply(b"four"), Err(DeltaMismatch));
    assert_eq!(kept(usize::MAX, 2).apply(b"four"), Err(DeltaMismatch));
    let base = vec![0; 1 << 20];
    let whole = DeltaPiece::Kept {
        start: 0,
        length: base.len(),
    };
    let huge = vec![whole; 65];
    assert_eq!(ByteDelta::from_pieces(huge).apply(&base), Err(DeltaMismatch));
}

proptest! {
    #[test]
    fn deltas_reconstruct_the_target(
        words in prop::collection::vec(0..40_u32, 0..400),
        picks in prop::collection::vec((0..400_usize, 0..60_usize, 0..40_u32), 0..30),
    ) {
        let base: Bytes = words.iter().map(|word| route(*word)).collect::<String>().into();
        let target: Bytes = picks.iter().map(|(start, length, word)| {
            let start = (*start).min(words.len());
            let end = (start + length).min(words.len());
            let kept: String = words[start..end].iter().map(|word| route(*word)).collect();
            kept + &route(*word)
        }).collect::<String>().into();

        let delta = ByteDelta::between(&base, &target);

        prop_assert_eq!(delta.apply(&base), Ok(target));
    }

    #[test]
    fn deltas_of_arbitrary_bytes_reconstruct_the_target(base in any::<Vec<u8>>(), target in any::<Vec<u8>>()) {
        let target = Bytes::from(target);

        let delta = ByteDelta::between(&base, &target);

        prop_assert_eq!(delta.apply(&base), Ok(target));
    }
}
