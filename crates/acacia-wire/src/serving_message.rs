//! What entries and replicas say about calls by host and path, to and from the library's types.

use acaciabay::core::name::{CustomerName, EndpointName, ServiceName};
use acaciabay::core::serving::cached_parts::KeptPart;
use acaciabay::core::serving::config::ConfigNumber;
use acaciabay::core::serving::config_transfer::ConfigUpdate;
use acaciabay::core::serving::duty::{DutyTable, FenceNumber};
use acaciabay::core::serving::endpoint_load::EndpointWork;
use acaciabay::core::serving::endpoint_registry::{EndpointIncarnation, EndpointPhase, EngineStage, ServingEndpoint};
use acaciabay::core::serving::load_slice::{LINE_PPM, LoadSlice};
use acaciabay::core::serving::prompt::{PartId, PromptPart};
use acaciabay::core::serving::serving_state::ServingState;
use acaciabay::core::serving::software_version::SoftwareVersion;
use acaciabay::core::serving::start_counts::{CustomerCounts, EntryStart, GatheredCounts, GatheredRow, WindowNumber};
use acaciabay::util::byte_delta::{ByteDelta, DeltaPiece};
use acaciabay::util::number::round_up;

use crate::ANNOUNCEMENTS_REVISION;
use crate::error::WireError;
use crate::generated::serving::{delta_piece, serving_frame, serving_renewed};
use crate::generated::{serving, state};
use crate::need_message::{need_from_wire, need_to_wire};
use crate::suspect_message::{suspects_from_wire, suspects_to_wire};

/// Encodes the counts of a window.
pub fn counts_to_wire(window: WindowNumber, counts: &CustomerCounts) -> state::WindowCounts {
    let rows = counts.iter().map(|(customer, count)| state::CustomerCount {
        customer: customer.to_string(),
        count: *count,
    });
    state::WindowCounts {
        window: window.0,
        counts: rows.collect(),
    }
}

/// Decodes the counts of a window.
pub fn counts_from_wire(message: state::WindowCounts) -> (WindowNumber, CustomerCounts) {
    let rows = message.counts.into_iter();
    let counts = rows.map(|row| (CustomerName::new(row.customer), row.count));
    (WindowNumber(message.window), counts.collect())
}

pub(crate) fn gathered_to_wire(row: &GatheredRow) -> state::GatheredRow {
    state::GatheredRow {
        entry: row.entry.0,
        counts: Some(counts_to_wire(row.window, &row.counts)),
    }
}

pub(crate) fn gathered_from_wire(message: state::GatheredRow) -> Result<GatheredRow, WireError> {
    let (window, counts) = counts_from_wire(message.counts.ok_or(WireError::missing("counts"))?);
    Ok(GatheredRow {
        entry: EntryStart(message.entry),
        window,
        counts,
    })
}

/// Encodes the slice of a service that an entry gets.
pub fn slice_to_wire(service: &ServiceName, slice: LoadSlice) -> serving::EntrySlice {
    serving::EntrySlice {
        service: service.to_string(),
        start_ppm: slice.start_ppm,
        end_ppm: slice.end_ppm,
    }
}

/// Decodes the slice of a service that an entry gets.
pub fn slice_from_wire(message: &serving::EntrySlice) -> (ServiceName, LoadSlice) {
    let slice = LoadSlice {
        start_ppm: message.start_ppm.min(LINE_PPM),
        end_ppm: message.end_ppm.clamp(message.start_ppm.min(LINE_PPM), LINE_PPM),
    };
    (message.service.as_str().into(), slice)
}

/// Encodes what is known of an endpoint.
pub fn endpoint_to_wire(name: &EndpointName, endpoint: &ServingEndpoint) -> serving::EndpointRow {
    let phase = match endpoint.phase {
        EndpointPhase::Ready => serving::EndpointPhase::Ready,
        EndpointPhase::Draining => serving::EndpointPhase::Draining,
        EndpointPhase::Gone => serving::EndpointPhase::Gone,
    };
    let stage = endpoint.stage.map_or(serving::EngineStage::Unspecified, stage_to_wire);
    serving::EndpointRow {
        name: name.to_string(),
        service: endpoint.service.to_string(),
        address: endpoint.address.to_string(),
        domain: endpoint.domain.to_string(),
        slots: endpoint.slots,
        phase: phase.into(),
        stage: stage.into(),
        reclaimable: endpoint.reclaimable,
        birth: endpoint.incarnation.0,
        sequence: endpoint.sequence,
        handle: 0,
        version: endpoint.version.as_ref().map(ToString::to_string),
    }
}

/// Decodes what is known of an endpoint.
///
/// # Errors
///
/// Fails when a field is missing or impossible.
pub fn endpoint_from_wire(message: &serving::EndpointRow) -> Result<(EndpointName, ServingEndpoint), WireError> {
    let phase = match message.phase() {
        serving::EndpointPhase::Ready => EndpointPhase::Ready,
        serving::EndpointPhase::Draining => EndpointPhase::Draining,
        serving::EndpointPhase::Gone => EndpointPhase::Gone,
        serving::EndpointPhase::Unspecified => return Err(WireError::missing("phase")),
    };
    let stage = stage_from_wire(message.stage());
    let address = message.address.parse();
    let endpoint = ServingEndpoint {
        service: message.service.as_str().into(),
        address: address.map_err(|_source| WireError::invalid("address"))?,
        domain: message.domain.as_str().into(),
        slots: message.slots,
        phase,
        stage,
        reclaimable: message.reclaimable,
        version: message.version.as_deref().and_then(SoftwareVersion::from_text),
        incarnation: EndpointIncarnation(message.birth),
        sequence: message.sequence,
    };
    Ok((message.name.as_str().into(), endpoint))
}

/// Encodes a stage.
pub const fn stage_to_wire(stage: EngineStage) -> serving::EngineStage {
    match stage {
        EngineStage::Prefill => serving::EngineStage::Prefill,
        EngineStage::Decode => serving::EngineStage::Decode,
    }
}

/// Decodes a stage; nothing for an endpoint that runs no models.
pub const fn stage_from_wire(stage: serving::EngineStage) -> Option<EngineStage> {
    match stage {
        serving::EngineStage::Unspecified => None,
        serving::EngineStage::Prefill => Some(EngineStage::Prefill),
        serving::EngineStage::Decode => Some(EngineStage::Decode),
    }
}

/// Encodes work at an endpoint.
pub fn use_to_wire(name: &EndpointName, work: EndpointWork) -> serving::EndpointUse {
    serving::EndpointUse {
        name: name.to_string(),
        unread_tokens: work.unread_tokens,
        calls: work.calls,
        held_tokens: work.held_tokens,
    }
}

/// Encodes that an engine keeps a part.
pub fn kept_to_wire(kept: &KeptPart) -> serving::KeptPart {
    serving::KeptPart {
        engine: kept.engine.to_string(),
        part: kept.part.id.0,
        tokens: kept.part.tokens,
    }
}

/// Decodes that an engine keeps a part.
pub fn kept_from_wire(message: &serving::KeptPart) -> KeptPart {
    KeptPart {
        engine: message.engine.as_str().into(),
        part: PromptPart {
            id: PartId(message.part),
            tokens: message.tokens,
        },
    }
}

/// Decodes work at an endpoint.
pub fn use_from_wire(message: &serving::EndpointUse) -> (EndpointName, EndpointWork) {
    let work = EndpointWork {
        unread_tokens: message.unread_tokens,
        calls: message.calls,
        held_tokens: message.held_tokens,
    };
    (message.name.as_str().into(), work)
}

/// Encodes the announcement of a committed configuration for a caller that understands the given revision of these messages.
pub fn announcement_to_wire(number: ConfigNumber, revision: u32) -> serving_frame::Body {
    if revision < ANNOUNCEMENTS_REVISION {
        serving_frame::Body::NewerConfig(number.0)
    } else {
        serving_frame::Body::AnnouncedConfig(number.0)
    }
}

/// Decodes `newer_config`, the announcement of an earlier release: 0 stands for no configuration.
pub fn newer_config_from_wire(number: u64) -> Option<ConfigNumber> {
    (number > 0).then_some(ConfigNumber(number))
}

/// Encodes what brings an entry to a configuration.
pub fn content_to_wire(content: ConfigUpdate) -> serving_renewed::Content {
    match content {
        ConfigUpdate::Full(document) => serving_renewed::Content::Document(document),
        ConfigUpdate::Delta { base, delta } => {
            let pieces = delta.pieces().iter().map(piece_to_wire);
            serving_renewed::Content::Delta(serving::DocumentDelta {
                base_number: base.map(|base| base.0),
                pieces: pieces.collect(),
            })
        }
    }
}

/// Decodes what brings an entry to a configuration.
///
/// # Errors
///
/// Fails when a piece of a change is missing or impossible.
pub fn content_from_wire(message: serving_renewed::Content) -> Result<ConfigUpdate, WireError> {
    match message {
        serving_renewed::Content::Document(document) => Ok(ConfigUpdate::Full(document)),
        serving_renewed::Content::Delta(message) => {
            let pieces: Result<Vec<_>, WireError> = message.pieces.into_iter().map(piece_from_wire).collect();
            Ok(ConfigUpdate::Delta {
                base: message.base_number.map(ConfigNumber),
                delta: ByteDelta::from_pieces(pieces?),
            })
        }
    }
}

fn piece_to_wire(piece: &DeltaPiece) -> serving::DeltaPiece {
    let piece = match piece {
        DeltaPiece::Kept { start, length } => delta_piece::Piece::Kept(serving::KeptBytes {
            start: *start as u64,
            length: *length as u64,
        }),
        DeltaPiece::Inserted(bytes) => delta_piece::Piece::Inserted(bytes.clone()),
    };
    serving::DeltaPiece { piece: Some(piece) }
}

fn piece_from_wire(message: serving::DeltaPiece) -> Result<DeltaPiece, WireError> {
    let place = |number: u64| usize::try_from(number).map_err(|_source| WireError::invalid("kept"));
    match message.piece {
        Some(delta_piece::Piece::Kept(kept)) => Ok(DeltaPiece::Kept {
            start: place(kept.start)?,
            length: place(kept.length)?,
        }),
        Some(delta_piece::Piece::Inserted(bytes)) => Ok(DeltaPiece::Inserted(bytes)),
        None => Err(WireError::missing("piece")),
    }
}

pub(crate) fn serving_state_to_wire(state: &ServingState) -> state::ServingState {
    let sealed = state.sealed.iter();
    let needs = state.needs.iter();
    state::ServingState {
        config_number: state.config_number.map(|number| number.0),
        document: state.document.clone(),
        fence: state.duties.fence().0,
        holder: state.duties.holder().map(ToString::to_string).unwrap_or_default(),
        sealed: sealed.map(|(window, counts)| counts_to_wire(*window, counts)).collect(),
        last_sealed: state.last_sealed.0,
        gathered: state.gathered.rows().map(|row| gathered_to_wire(&row)).collect(),
        suspects: Some(suspects_to_wire(&state.suspects)),
        needs: needs.map(|(service, need)| need_to_wire(service, need)).collect(),
    }
}

pub(crate) fn serving_state_from_wire(message: state::ServingState) -> Result<ServingState, WireError> {
    let mut gathered = GatheredCounts::default();
    for row in message.gathered {
        gathered.merge(&gathered_from_wire(row)?);
    }
    let holder = (!message.holder.is_empty()).then(|| message.holder.as_str().into());
    Ok(ServingState {
        config_number: message.config_number.map(ConfigNumber),
        document: message.document,
        duties: DutyTable::restored(FenceNumber(message.fence), holder),
        sealed: message.sealed.into_iter().map(counts_from_wire).collect(),
        last_sealed: WindowNumber(message.last_sealed),
        gathered,
        // A snapshot of an earlier release has none.
        suspects: message
            .suspects
            .map(suspects_from_wire)
            .transpose()?
            .unwrap_or_default(),
        needs: message.needs.iter().map(need_from_wire).collect(),
    })
}

/// Microseconds for a thousand tokens that one millisecond for each token makes.
const US_FOR_THOUSAND_TOKENS: f64 = 1_000_000.0;

/// Converts the pace of a service, in milliseconds for a token of a prompt; 0 stands for one that was not measured.
pub fn pace_to_wire(pace: Option<f64>) -> u64 {
    pace.map_or(0, |pace| round_up(pace * US_FOR_THOUSAND_TOKENS))
}

/// Converts it back.
pub fn pace_from_wire(pace_us: u64) -> Option<f64> {
    (pace_us > 0).then(|| pace_us as f64 / US_FOR_THOUSAND_TOKENS)
}
