//! Calls under which endpoints have ended, to and from the library's types.

use acaciabay::core::name::CustomerName;
use acaciabay::core::serving::broken_attempt::CallIdentity;
use acaciabay::core::serving::call_fingerprint::{CallFingerprint, FingerprintKey};
use acaciabay::core::serving::endpoint_registry::EndpointIncarnation;
use acaciabay::core::serving::suspect_table::{
    EndingEvidence, EndpointEnding, SuspectCall, SuspectTable, SuspectUpdate,
};
use acaciabay::core::serving::suspect_view::{SuspectAnswer, SuspectReport};
use bytes::Bytes;

use crate::error::WireError;
use crate::generated::state;
use crate::part_message::{part_table_from_wire, part_table_to_wire, parts_from_wire, parts_to_wire};
use crate::table_row::all;

/// Encodes a fingerprint.
pub(crate) fn fingerprint_to_wire(fingerprint: &CallFingerprint) -> Bytes {
    Bytes::copy_from_slice(fingerprint.as_bytes())
}

/// Decodes a fingerprint.
pub(crate) fn fingerprint_from_wire(bytes: impl AsRef<[u8]>) -> Result<CallFingerprint, WireError> {
    CallFingerprint::from_bytes(bytes.as_ref()).ok_or(WireError::invalid("fingerprint"))
}

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

pub(crate) fn ending_to_wire(ending: &EndpointEnding) -> state::EndpointEnding {
    state::EndpointEnding {
        endpoint: ending.endpoint.to_string(),
        birth: ending.incarnation.0,
        sent_ms: ending.sent_ms,
        ended_ms: ending.ended_ms,
        recorded_ms: ending.recorded_ms,
    }
}

pub(crate) fn ending_from_wire(message: &state::EndpointEnding) -> EndpointEnding {
    EndpointEnding {
        endpoint: message.endpoint.as_str().into(),
        incarnation: EndpointIncarnation(message.birth),
        sent_ms: message.sent_ms,
        ended_ms: message.ended_ms,
        recorded_ms: message.recorded_ms,
    }
}

fn call_to_wire<'ending>(
    identity: &CallIdentity,
    endings: impl Iterator<Item = &'ending EndpointEnding>,
    quarantined_ms: Option<u64>,
) -> state::SuspectCall {
    state::SuspectCall {
        fingerprint: fingerprint_to_wire(&identity.fingerprint),
        customer: identity.customer.as_ref().map(ToString::to_string).unwrap_or_default(),
        route: identity.route.clone(),
        body_bytes: identity.body_bytes,
        endings: endings.map(ending_to_wire).collect(),
        quarantined_ms: quarantined_ms.unwrap_or(0),
        parts: Vec::new(),
    }
}

fn call_from_wire(message: state::SuspectCall) -> Result<SuspectCall, WireError> {
    let customer = (!message.customer.is_empty()).then(|| CustomerName::new(&message.customer));
    Ok(SuspectCall {
        identity: CallIdentity {
            fingerprint: fingerprint_from_wire(&message.fingerprint)?,
            customer,
            route: message.route,
            body_bytes: message.body_bytes,
        },
        endings: message.endings.iter().map(ending_from_wire).collect(),
        quarantined_ms: (message.quarantined_ms > 0).then_some(message.quarantined_ms),
    })
}

/// Encodes one piece of evidence.
fn evidence_to_wire(evidence: &EndingEvidence) -> state::SuspectCall {
    state::SuspectCall {
        parts: parts_to_wire(&evidence.parts),
        ..call_to_wire(&evidence.call, std::iter::once(&evidence.ending), None)
    }
}

/// Decodes one piece of evidence.
fn evidence_from_wire(mut message: state::SuspectCall) -> Result<EndingEvidence, WireError> {
    let parts = parts_from_wire(std::mem::take(&mut message.parts));
    let call = call_from_wire(message)?;
    let ending = call.endings.into_iter().next();
    Ok(EndingEvidence {
        call: call.identity,
        ending: ending.ok_or(WireError::missing("ending"))?,
        parts,
    })
}

pub(crate) fn update_to_wire(update: &SuspectUpdate) -> state::JudgeCalls {
    state::JudgeCalls {
        now_ms: update.now_ms,
        key: key_to_wire(update.key.as_ref()),
        endings: update.evidence.iter().map(evidence_to_wire).collect(),
        answered: update.answered.iter().map(fingerprint_to_wire).collect(),
        lifted: update.lifted.iter().map(fingerprint_to_wire).collect(),
        sound_parts: parts_to_wire(&update.sound_parts),
        lifted_parts: parts_to_wire(&update.lifted_parts),
    }
}

pub(crate) fn update_from_wire(message: state::JudgeCalls) -> Result<SuspectUpdate, WireError> {
    Ok(SuspectUpdate {
        now_ms: message.now_ms,
        key: key_from_wire(&message.key)?,
        evidence: all(message.endings, evidence_from_wire)?,
        answered: all(message.answered, fingerprint_from_wire)?,
        lifted: all(message.lifted, fingerprint_from_wire)?,
        sound_parts: parts_from_wire(message.sound_parts),
        lifted_parts: parts_from_wire(message.lifted_parts),
    })
}

/// Encodes the whole table.
pub fn suspects_to_wire(table: &SuspectTable) -> state::SuspectTable {
    let calls = table
        .calls()
        .map(|call| call_to_wire(&call.identity, call.endings.iter(), call.quarantined_ms));
    state::SuspectTable {
        version: table.version,
        key: key_to_wire(table.key.as_ref()),
        calls: calls.collect(),
        parts: Some(part_table_to_wire(&table.parts)),
        ended: table.ended.iter().map(ending_to_wire).collect(),
    }
}

/// Decodes a table.
///
/// # Errors
///
/// Fails when the key or a fingerprint has a wrong length.
pub fn suspects_from_wire(message: state::SuspectTable) -> Result<SuspectTable, WireError> {
    let calls = all(message.calls, call_from_wire)?;
    let mut table = SuspectTable::restore(message.version, key_from_wire(&message.key)?, calls);
    table.parts = part_table_from_wire(message.parts)?;
    table.ended = message.ended.iter().map(ending_from_wire).collect();
    Ok(table)
}

/// Encodes what an entry tells about suspect calls.
pub fn suspect_report_to_wire(report: &SuspectReport) -> state::SuspectReport {
    state::SuspectReport {
        version: report.version,
        endings: report.evidence.iter().map(evidence_to_wire).collect(),
        first_ending: report.first_ending,
        answered: report.answered.iter().map(fingerprint_to_wire).collect(),
        wanted_trials: report.wanted_trials.iter().map(fingerprint_to_wire).collect(),
        ended_trials: report.ended_trials.iter().map(fingerprint_to_wire).collect(),
        sound_parts: parts_to_wire(&report.sound_parts),
    }
}

/// Decodes what an entry tells about suspect calls. An entry of an earlier release tells nothing.
///
/// # Errors
///
/// Fails when a fingerprint has a wrong length or an ending is missing.
pub fn suspect_report_from_wire(message: Option<state::SuspectReport>) -> Result<SuspectReport, WireError> {
    let message = message.unwrap_or_default();
    Ok(SuspectReport {
        version: message.version,
        first_ending: message.first_ending,
        evidence: all(message.endings, evidence_from_wire)?,
        answered: all(message.answered, fingerprint_from_wire)?,
        wanted_trials: all(message.wanted_trials, fingerprint_from_wire)?,
        ended_trials: all(message.ended_trials, fingerprint_from_wire)?,
        sound_parts: parts_from_wire(message.sound_parts),
    })
}

/// Encodes the answer to it.
pub fn suspect_answer_to_wire(answer: &SuspectAnswer) -> state::SuspectAnswer {
    state::SuspectAnswer {
        table: answer.table.as_ref().map(suspects_to_wire),
        committed_endings: answer.committed_endings,
        trials: answer.trials.iter().map(fingerprint_to_wire).collect(),
    }
}

/// Decodes the answer to it. A leader of an earlier release gives none.
///
/// # Errors
///
/// Fails when the table is malformed.
pub fn suspect_answer_from_wire(message: Option<state::SuspectAnswer>) -> Result<SuspectAnswer, WireError> {
    let message = message.unwrap_or_default();
    Ok(SuspectAnswer {
        table: message.table.map(suspects_from_wire).transpose()?,
        committed_endings: message.committed_endings,
        trials: all(message.trials, fingerprint_from_wire)?,
    })
}
