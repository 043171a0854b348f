//! Replicated record of the calls under which endpoints have ended.

use super::call_fingerprint::FingerprintKey;

/// The suspect calls of a control group.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SuspectTable {
    /// Number that increases with each change, by which entries detect that they hold an old table.
    pub version: u64,
    /// Key of the fingerprints, or `None` until a leader has committed it.
    pub key: Option<FingerprintKey>,
}

/// Command that changes the table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SuspectUpdate {
    /// Key to use if the table has none.
    pub key: Option<FingerprintKey>,
}

impl SuspectTable {
    /// Applies one committed update.
    pub fn apply(&mut self, update: &SuspectUpdate) {
        let before = self.key;
        self.key = self.key.or(update.key);
        if self.key != before {
            self.version += 1;
        }
    }
}
