//! Parts of prompts under which endpoints have ended, to and from the library's types.

use acaciabay::core::name::CustomerName;
use acaciabay::core::serving::part_table::{BrokenPrompt, EndedEndpoint, PartQuarantine, PartTable};
use acaciabay::core::serving::prompt::PartId;

use crate::error::WireError;
use crate::generated::state;
use crate::suspect_message::{ending_from_wire, ending_to_wire, fingerprint_from_wire, fingerprint_to_wire};
use crate::table_row::all;

pub(crate) fn parts_to_wire<'part>(parts: impl IntoIterator<Item = &'part PartId>) -> Vec<u64> {
    parts.into_iter().map(|part| part.0).collect()
}

pub(crate) fn parts_from_wire(parts: Vec<u64>) -> Vec<PartId> {
    parts.into_iter().map(PartId).collect()
}

fn prompt_to_wire(prompt: &BrokenPrompt) -> state::BrokenPrompt {
    state::BrokenPrompt {
        fingerprint: fingerprint_to_wire(&prompt.fingerprint),
        customer: prompt.customer.as_ref().map(ToString::to_string).unwrap_or_default(),
        route: prompt.route.clone(),
        sent_ms: prompt.sent_ms,
        parts: parts_to_wire(&prompt.parts),
    }
}

fn prompt_from_wire(message: state::BrokenPrompt) -> Result<BrokenPrompt, WireError> {
    Ok(BrokenPrompt {
        fingerprint: fingerprint_from_wire(&message.fingerprint)?,
        customer: (!message.customer.is_empty()).then(|| CustomerName::new(&message.customer)),
        route: message.route,
        sent_ms: message.sent_ms,
        parts: parts_from_wire(message.parts),
    })
}

fn ended_to_wire(ended: &EndedEndpoint) -> state::EndedEndpoint {
    state::EndedEndpoint {
        ending: Some(ending_to_wire(&ended.ending)),
        prompts: ended.prompts.iter().map(prompt_to_wire).collect(),
        is_explained: ended.is_explained,
        completed_ms: ended.completed_ms,
    }
}

fn ended_from_wire(message: state::EndedEndpoint) -> Result<EndedEndpoint, WireError> {
    let ending = message.ending.ok_or(WireError::missing("ending"))?;
    Ok(EndedEndpoint {
        ending: ending_from_wire(&ending),
        prompts: all(message.prompts, prompt_from_wire)?,
        is_explained: message.is_explained,
        completed_ms: message.completed_ms,
    })
}

fn quarantine_to_wire(quarantine: &PartQuarantine) -> state::PartQuarantine {
    state::PartQuarantine {
        parts: parts_to_wire(&quarantine.parts),
        route: quarantine.route.clone(),
        endings: quarantine.endings.iter().map(ending_to_wire).collect(),
        quarantined_ms: quarantine.quarantined_ms,
        is_held: quarantine.is_held,
    }
}

/// Decodes a quarantine. One without any part would hold back every call.
fn quarantine_from_wire(message: state::PartQuarantine) -> Result<PartQuarantine, WireError> {
    if message.parts.is_empty() {
        return Err(WireError::missing("parts"));
    }
    Ok(PartQuarantine {
        parts: parts_from_wire(message.parts).into_iter().collect(),
        route: message.route,
        endings: message.endings.iter().map(ending_from_wire).collect(),
        quarantined_ms: message.quarantined_ms,
        is_held: message.is_held,
    })
}

pub(crate) fn part_table_to_wire(table: &PartTable) -> state::PartTable {
    state::PartTable {
        endings: table.endings().iter().map(ended_to_wire).collect(),
        quarantines: table.quarantines().iter().map(quarantine_to_wire).collect(),
        watched: parts_to_wire(table.watched()),
        judged_ms: table.judged_ms(),
    }
}

/// Decodes a table. A replica of an earlier release has none.
pub(crate) fn part_table_from_wire(message: Option<state::PartTable>) -> Result<PartTable, WireError> {
    let message = message.unwrap_or_default();
    let endings = all(message.endings, ended_from_wire)?;
    let quarantines = all(message.quarantines, quarantine_from_wire)?;
    Ok(PartTable::restore(
        endings,
        quarantines,
        parts_from_wire(message.watched),
        message.judged_ms,
    ))
}
