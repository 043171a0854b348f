//! Tests of the fingerprint by which a call is recognised when it is sent again.

use acaciabay::core::name::CustomerName;
use acaciabay::core::serving::call_fingerprint::{CallContent, CallFingerprint, FingerprintKey};

use crate::suspects::key;

fn content<'call>(customer: Option<&'call CustomerName>, target: &'call str, body: &'call [u8]) -> CallContent<'call> {
    CallContent {
        method: "POST",
        host: "shop.example",
        target,
        customer,
        body,
    }
}

/// Guards against a customer whose call has the fingerprint of another customer's.
#[test]
fn fingerprint_depends_on_each_part_and_on_the_key() {
    let (one, two) = (CustomerName::new("one"), CustomerName::new("two"));
    let other_key = FingerprintKey::from_bytes(&[8; 32]).expect("the key has 32 bytes");
    let fingerprints = [
        key().fingerprint(&content(Some(&one), "/a", b"body")),
        key().fingerprint(&content(Some(&two), "/a", b"body")),
        key().fingerprint(&content(None, "/aone", b"body")),
        key().fingerprint(&content(Some(&one), "/b", b"body")),
        key().fingerprint(&content(Some(&one), "/a", b"other")),
        other_key.fingerprint(&content(Some(&one), "/a", b"body")),
    ];

    let different: std::collections::BTreeSet<_> = fingerprints.iter().collect();

    assert_eq!(different.len(), fingerprints.len());
    assert_eq!(
        CallFingerprint::from_hex(&fingerprints[0].to_string()),
        Some(fingerprints[0])
    );
    assert!(!format!("{:?}", key()).contains('7'));
}
