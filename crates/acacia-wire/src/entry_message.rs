//! What entries and the control group say to each other.

use std::time::Duration;

use acaciabay::core::claim::{ClaimHolder, ClaimKey, ClaimOutcome};
use acaciabay::core::clock::BootTime;
use acaciabay::core::control_state::ClaimEnd;
use acaciabay::core::endpoint::{EndpointIncarnation, EndpointRow, EndpointState, EndpointWork};
use acaciabay::core::entry_config::{ConfigChange, ConfigVersion, EntryConfig};
use acaciabay::core::member::{EntryIncarnation, JoinNonce};
use acaciabay::core::name::{DomainName, EndpointName, HostName, PoolName};
use acaciabay::core::pool_admission::PoolShare;
use acaciabay::core::serving::software_version::SoftwareVersion;
use acaciabay::core::serving::suspect_view::{SuspectAnswer, SuspectReport};
use acaciabay::core::share_table::PoolDemand;
use acaciabay::core::token_latency::TokenLatencyReport;
use acaciabay::core::usage::UsageReport;
use acaciabay::util::digest::ContentDigest;
use acaciabay::util::number::whole_millis;

use crate::control_command::{
    claim_end_from_wire, claim_end_to_wire, claim_key_from_wire, claim_key_to_wire, holder_from_wire, holder_to_wire,
    stored_answer_from_wire, stored_answer_to_wire,
};
use crate::control_state::{change_from_wire, change_to_wire, config_from_wire, config_to_wire};
use crate::error::WireError;
use crate::generated::entry::{self, ClaimVerdict, entry_reply, entry_request};
use crate::generated::state;
use crate::suspect_message::{
    suspect_answer_from_wire, suspect_answer_to_wire, suspect_report_from_wire, suspect_report_to_wire,
};
use crate::table_row::{all, digest_from_wire, digest_to_wire, report_from_wire, report_to_wire};

/// A report of one endpoint, with the time at which the process that holds the row learned of it.
pub type ReportRow = (EndpointName, EndpointRow);

/// What an entry asks.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryCall {
    /// To be granted an incarnation.
    Join {
        /// The entry's host.
        host: HostName,
        /// The host's failure domain.
        domain: DomainName,
        /// Identifies this start of the process.
        nonce: JoinNonce,
    },
    /// To have its configuration confirmed.
    Renew(LeaseRequest),
    /// To claim a call that may run at most once.
    TakeClaim(ClaimRequest),
    /// To end a claim.
    EndClaim {
        /// Which call.
        key: ClaimKey,
        /// Which attempt.
        holder: ClaimHolder,
        /// How it ended.
        end: ClaimEnd,
    },
    /// To count usage.
    Usage(UsageReport),
}

/// A request to confirm an entry's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseRequest {
    /// The entry process that asks.
    pub incarnation: EntryIncarnation,
    /// Its host.
    pub host: HostName,
    /// The version that it serves by.
    pub version: ConfigVersion,
    /// Endpoints that have reported to this entry since it last asked.
    pub reports: Vec<ReportRow>,
    /// The leader's mark of the latest report that this entry has been told of.
    pub endpoint_mark: u64,
    /// What the entry asks for in each pool.
    pub demands: Vec<(PoolName, PoolDemand)>,
    /// What the entry tells about suspect calls.
    pub suspects: SuspectReport,
}

/// A request to claim a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Which call.
    pub key: ClaimKey,
    /// Which attempt.
    pub holder: ClaimHolder,
    /// The digest of the call.
    pub digest: ContentDigest,
}

/// What the control group answers.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryAnswer {
    /// Another replica leads.
    NotLeader {
        /// The leader's peer address, empty while none is known.
        leader_address: String,
    },
    /// The incarnation granted.
    Joined(EntryIncarnation),
    /// The configuration is confirmed.
    Renewed(Box<LeaseRenewal>),
    /// What became of the request for a claim.
    Claim(ClaimOutcome),
    /// The request was carried out.
    Done,
    /// A newer configuration is committed; not an answer to a request.
    NewerVersion(ConfigVersion),
    /// The incarnation is not the latest of its host.
    StaleIncarnation,
}

/// A confirmed configuration: what has changed since the version that the entry named.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaseRenewal {
    /// The group that answers.
    pub group: u64,
    /// The version that `changes` start from.
    pub from: ConfigVersion,
    /// The changes, one version each.
    pub changes: Vec<ConfigChange>,
    /// The whole configuration, where the changes are no longer kept.
    pub whole: Option<EntryConfig>,
    /// Endpoints that have reported since the entry's mark.
    pub endpoints: Vec<ReportRow>,
    /// The leader's new mark.
    pub endpoint_mark: u64,
    /// What the entry may have in use in each pool.
    pub shares: Vec<(PoolName, PoolShare)>,
    /// What the entry has to know about suspect calls.
    pub suspects: SuspectAnswer,
}

/// Encodes a call; ages of reports are counted up to `now`.
pub fn call_to_wire(now: BootTime, request: u64, traceparent: &str, call: &EntryCall) -> entry::EntryRequest {
    let body = match call {
        EntryCall::Join { host, domain, nonce } => entry_request::Body::Join(state::JoinEntry {
            host: host.to_string(),
            domain: domain.to_string(),
            nonce: nonce.0,
        }),
        EntryCall::Renew(lease) => entry_request::Body::Renew(entry::RenewLease {
            incarnation: lease.incarnation.0,
            host: lease.host.to_string(),
            version: lease.version.0,
            reports: lease
                .reports
                .iter()
                .map(|report| endpoint_to_wire(now, report))
                .collect(),
            endpoint_mark: lease.endpoint_mark,
            demands: lease.demands.iter().map(demand_to_wire).collect(),
            suspects: Some(suspect_report_to_wire(&lease.suspects)),
        }),
        EntryCall::TakeClaim(claim) => entry_request::Body::TakeClaim(state::TakeClaim {
            now_secs: 0,
            key: Some(claim_key_to_wire(&claim.key)),
            holder: Some(holder_to_wire(claim.holder)),
            digest: digest_to_wire(&claim.digest),
        }),
        EntryCall::EndClaim { key, holder, end } => entry_request::Body::EndClaim(state::EndClaim {
            key: Some(claim_key_to_wire(key)),
            holder: Some(holder_to_wire(*holder)),
            end: Some(claim_end_to_wire(end)),
        }),
        EntryCall::Usage(report) => entry_request::Body::Usage(report_to_wire(report)),
    };
    entry::EntryRequest {
        request,
        traceparent: traceparent.to_owned(),
        body: Some(body),
    }
}

/// Decodes a call that arrived at `now`.
///
/// # Errors
///
/// Fails when a field is missing or impossible.
pub fn call_from_wire(now: BootTime, message: entry::EntryRequest) -> Result<EntryCall, WireError> {
    Ok(match message.body.ok_or(WireError::missing("body"))? {
        entry_request::Body::Join(join) => EntryCall::Join {
            host: join.host.as_str().into(),
            domain: join.domain.as_str().into(),
            nonce: JoinNonce(join.nonce),
        },
        entry_request::Body::Renew(renew) => EntryCall::Renew(LeaseRequest {
            incarnation: EntryIncarnation(renew.incarnation),
            host: renew.host.as_str().into(),
            version: ConfigVersion(renew.version),
            reports: all(&renew.reports, |report| endpoint_from_wire(now, report))?,
            endpoint_mark: renew.endpoint_mark,
            demands: renew.demands.iter().map(demand_from_wire).collect(),
            suspects: suspect_report_from_wire(renew.suspects)?,
        }),
        entry_request::Body::TakeClaim(claim) => EntryCall::TakeClaim(ClaimRequest {
            key: claim_key_from_wire(claim.key)?,
            holder: holder_from_wire(claim.holder)?,
            digest: digest_from_wire(&claim.digest)?,
        }),
        entry_request::Body::EndClaim(ended) => EntryCall::EndClaim {
            key: claim_key_from_wire(ended.key)?,
            holder: holder_from_wire(ended.holder)?,
            end: claim_end_from_wire(ended.end)?,
        },
        entry_request::Body::Usage(report) => EntryCall::Usage(report_from_wire(&report)),
    })
}

/// Encodes an answer; ages of reports are counted up to `now`.
pub fn answer_to_wire(now: BootTime, request: u64, answer: &EntryAnswer) -> entry::EntryReply {
    let body = match answer {
        EntryAnswer::NotLeader { leader_address } => entry_reply::Body::NotLeader(entry::NotLeader {
            leader_address: leader_address.clone(),
        }),
        EntryAnswer::Joined(incarnation) => entry_reply::Body::Joined(incarnation.0),
        EntryAnswer::Renewed(renewal) => entry_reply::Body::Renewed(entry::LeaseRenewed {
            from_version: renewal.from.0,
            changes: renewal.changes.iter().map(change_to_wire).collect(),
            whole: renewal.whole.as_ref().map(config_to_wire),
            endpoints: renewal
                .endpoints
                .iter()
                .map(|report| endpoint_to_wire(now, report))
                .collect(),
            endpoint_mark: renewal.endpoint_mark,
            group: renewal.group,
            shares: renewal.shares.iter().map(share_to_wire).collect(),
            suspects: Some(suspect_answer_to_wire(&renewal.suspects)),
        }),
        EntryAnswer::Claim(outcome) => entry_reply::Body::Claim(claim_to_wire(outcome)),
        EntryAnswer::Done => entry_reply::Body::Done(state::Nothing {}),
        EntryAnswer::NewerVersion(version) => entry_reply::Body::NewerVersion(version.0),
        EntryAnswer::StaleIncarnation => entry_reply::Body::StaleIncarnation(state::Nothing {}),
    };
    entry::EntryReply {
        request,
        body: Some(body),
    }
}

/// Decodes an answer that arrived at `now`.
///
/// # Errors
///
/// Fails when a field is missing or impossible.
pub fn answer_from_wire(now: BootTime, message: entry::EntryReply) -> Result<EntryAnswer, WireError> {
    Ok(match message.body.ok_or(WireError::missing("body"))? {
        entry_reply::Body::NotLeader(other) => EntryAnswer::NotLeader {
            leader_address: other.leader_address,
        },
        entry_reply::Body::Joined(incarnation) => EntryAnswer::Joined(EntryIncarnation(incarnation)),
        entry_reply::Body::Renewed(renewed) => EntryAnswer::Renewed(Box::new(LeaseRenewal {
            group: renewed.group,
            from: ConfigVersion(renewed.from_version),
            changes: all(renewed.changes, change_from_wire)?,
            whole: renewed.whole.map(config_from_wire).transpose()?,
            endpoints: all(&renewed.endpoints, |report| endpoint_from_wire(now, report))?,
            endpoint_mark: renewed.endpoint_mark,
            shares: renewed.shares.iter().map(share_from_wire).collect(),
            suspects: suspect_answer_from_wire(renewed.suspects)?,
        })),
        entry_reply::Body::Claim(claim) => EntryAnswer::Claim(claim_from_wire(claim)?),
        entry_reply::Body::Done(state::Nothing {}) => EntryAnswer::Done,
        entry_reply::Body::NewerVersion(version) => EntryAnswer::NewerVersion(ConfigVersion(version)),
        entry_reply::Body::StaleIncarnation(state::Nothing {}) => EntryAnswer::StaleIncarnation,
    })
}

fn claim_to_wire(outcome: &ClaimOutcome) -> entry::ClaimAnswer {
    let verdict = match outcome {
        ClaimOutcome::Granted => ClaimVerdict::Granted,
        ClaimOutcome::Answered(_) => ClaimVerdict::Answered,
        ClaimOutcome::Running => ClaimVerdict::Running,
        ClaimOutcome::Unknown => ClaimVerdict::Unknown,
        ClaimOutcome::Mismatch => ClaimVerdict::Mismatch,
        ClaimOutcome::Expired => ClaimVerdict::Expired,
        ClaimOutcome::Full => ClaimVerdict::Full,
    };
    let answer = match outcome {
        ClaimOutcome::Answered(answer) => Some(stored_answer_to_wire(answer)),
        _ => None,
    };
    entry::ClaimAnswer {
        verdict: verdict.into(),
        answer,
    }
}

fn claim_from_wire(message: entry::ClaimAnswer) -> Result<ClaimOutcome, WireError> {
    Ok(match message.verdict() {
        ClaimVerdict::Granted => ClaimOutcome::Granted,
        ClaimVerdict::Answered => {
            let answer = message.answer.ok_or(WireError::missing("answer"))?;
            ClaimOutcome::Answered(stored_answer_from_wire(answer)?)
        }
        ClaimVerdict::Running => ClaimOutcome::Running,
        ClaimVerdict::Unknown => ClaimOutcome::Unknown,
        ClaimVerdict::Mismatch => ClaimOutcome::Mismatch,
        ClaimVerdict::Expired => ClaimOutcome::Expired,
        ClaimVerdict::Full => ClaimOutcome::Full,
        ClaimVerdict::Unspecified => return Err(WireError::missing("verdict")),
    })
}

fn endpoint_to_wire(now: BootTime, (name, row): &ReportRow) -> entry::EndpointReport {
    let (models, service) = match &row.work {
        EndpointWork::Models(models) => (models.iter().map(ToString::to_string).collect(), String::new()),
        EndpointWork::Service(service) => (Vec::new(), service.to_string()),
    };
    let state = match row.state {
        EndpointState::Ready => entry::EndpointState::Ready,
        EndpointState::Draining => entry::EndpointState::Draining,
    };
    entry::EndpointReport {
        name: name.to_string(),
        incarnation: row.incarnation.0,
        sequence: row.sequence,
        address: row.address.to_string(),
        domain: row.domain.to_string(),
        models,
        service,
        state: state.into(),
        running: row.running,
        slots: row.slots,
        pieces_used: row.pieces_used,
        pieces: row.pieces,
        version: row.version.as_ref().map(ToString::to_string),
        age_ms: whole_millis(now.since(row.heard_at)),
    }
}

fn endpoint_from_wire(now: BootTime, message: &entry::EndpointReport) -> Result<ReportRow, WireError> {
    let work = if message.service.is_empty() {
        EndpointWork::Models(message.models.iter().map(|model| model.as_str().into()).collect())
    } else {
        EndpointWork::Service(message.service.as_str().into())
    };
    let state = match message.state() {
        entry::EndpointState::Ready => EndpointState::Ready,
        entry::EndpointState::Draining => EndpointState::Draining,
        entry::EndpointState::Unspecified => return Err(WireError::missing("endpoint state")),
    };
    let age = Duration::from_millis(message.age_ms);
    let row = EndpointRow {
        incarnation: EndpointIncarnation(message.incarnation),
        sequence: message.sequence,
        address: message
            .address
            .parse()
            .map_err(|_source| WireError::invalid("address"))?,
        domain: message.domain.as_str().into(),
        work,
        state,
        running: message.running,
        slots: message.slots,
        pieces_used: message.pieces_used,
        pieces: message.pieces,
        version: message.version.as_deref().and_then(SoftwareVersion::from_text),
        heard_at: BootTime::from_boot(now.since_boot().saturating_sub(age)),
    };
    Ok((message.name.as_str().into(), row))
}

fn demand_to_wire((pool, demand): &(PoolName, PoolDemand)) -> entry::PoolDemand {
    let customers = demand.customers.iter().map(|(customer, pieces)| entry::CustomerPieces {
        customer: customer.to_string(),
        pieces: *pieces,
    });
    entry::PoolDemand {
        pool: pool.to_string(),
        used: demand.used,
        share: demand.share,
        number: demand.number,
        customers: customers.collect(),
        gap_sum_us: micros(demand.latency.gap_sum),
        gaps: demand.latency.gaps,
        first_sum_us: micros(demand.latency.first_sum),
        firsts: demand.latency.firsts,
    }
}

pub(crate) fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn demand_from_wire(message: &entry::PoolDemand) -> (PoolName, PoolDemand) {
    let customers = message
        .customers
        .iter()
        .map(|row| (row.customer.as_str().into(), row.pieces));
    let demand = PoolDemand {
        used: message.used,
        share: message.share,
        number: message.number,
        customers: customers.collect(),
        latency: TokenLatencyReport {
            gap_sum: Duration::from_micros(message.gap_sum_us),
            gaps: message.gaps,
            first_sum: Duration::from_micros(message.first_sum_us),
            firsts: message.firsts,
        },
    };
    (message.pool.as_str().into(), demand)
}

fn share_to_wire((pool, share): &(PoolName, PoolShare)) -> entry::PoolShare {
    let customers = share.weights.iter().map(|(customer, weight)| entry::CustomerPart {
        customer: customer.to_string(),
        weight: *weight,
    });
    entry::PoolShare {
        pool: pool.to_string(),
        pieces: share.pieces,
        number: share.number,
        customers: customers.collect(),
    }
}

fn share_from_wire(message: &entry::PoolShare) -> (PoolName, PoolShare) {
    let weights = message
        .customers
        .iter()
        .map(|row| (row.customer.as_str().into(), row.weight));
    let share = PoolShare {
        pieces: message.pieces,
        number: message.number,
        weights: weights.collect(),
    };
    (message.pool.as_str().into(), share)
}
