//! Calls under which endpoints have ended, to and from the library's types.

use acaciabay::core::serving::call_fingerprint::FingerprintKey;
use acaciabay::core::serving::suspect_table::{SuspectTable, SuspectUpdate};
use bytes::Bytes;

use crate::error::WireError;
use crate::generated::state;

fn key_to_wire(key: Option<&FingerprintKey>) -> Bytes {
    key.map(|key| Bytes::copy_from_slice(key.as_bytes()))
        .unwrap_or_default()
}

fn key_from_wire(bytes: &[u8]) -> Result<Option<FingerprintKey>, WireError> {
    if bytes.is_empty() {
        return Ok(None);
    }
    let key = FingerprintKey::from_bytes(bytes).ok_or(WireError::invalid("fingerprint key"))?;
    Ok(Some(key))
}

pub(crate) fn update_to_wire(update: &SuspectUpdate) -> state::JudgeCalls {
    state::JudgeCalls {
        key: key_to_wire(update.key.as_ref()),
        ..state::JudgeCalls::default()
    }
}

pub(crate) fn update_from_wire(message: &state::JudgeCalls) -> Result<SuspectUpdate, WireError> {
    Ok(SuspectUpdate {
        key: key_from_wire(&message.key)?,
    })
}

/// Encodes the suspect calls.
pub fn suspects_to_wire(table: &SuspectTable) -> state::SuspectTable {
    state::SuspectTable {
        version: table.version,
        key: key_to_wire(table.key.as_ref()),
        ..state::SuspectTable::default()
    }
}

/// Decodes the suspect calls.
///
/// # Errors
///
/// Fails when the key has a wrong length.
pub fn suspects_from_wire(message: &state::SuspectTable) -> Result<SuspectTable, WireError> {
    Ok(SuspectTable {
        version: message.version,
        key: key_from_wire(&message.key)?,
    })
}
