//! The allowance of a customer: how much all its calls together may use, as operators configure it.
//!
//! An allowance is a token bucket over all entries. [`AllowanceLedger`](super::allowance_ledger::AllowanceLedger) keeps
//! the buckets at the leader, and [`AllowanceGate`](super::allowance_gate::AllowanceGate) admits calls at an entry. They
//! exchange [`UsageReport`] and [`AllowanceRow`]. `docs/design/allowances.md` compares this with other ways.

use std::time::Duration;

use super::prompt::PromptShape;
use crate::core::name::CustomerName;

/// What an allowance counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowanceUnit {
    /// Every call counts as one.
    Calls,
    /// A call counts as the tokens of its prompt and the most that its answer may have.
    Tokens {
        /// Cost of a call that states no number of tokens.
        plain: u64,
    },
}

/// Limit on the use of one customer over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageAllowance {
    /// What `rate` and `burst` count.
    pub unit: AllowanceUnit,
    /// Units that become available each second.
    pub rate: f64,
    /// Units that may be saved up.
    pub burst: f64,
}

/// Time within which a call must be payable by the whole allowance. A call that costs more is never admitted.
const PAYABLE_WITHIN: Duration = Duration::from_secs(8);

impl UsageAllowance {
    /// Returns the cost of a call in units.
    pub fn cost(&self, prompt: Option<&PromptShape>) -> u64 {
        match (self.unit, prompt) {
            (AllowanceUnit::Calls, _) => 1,
            (AllowanceUnit::Tokens { plain }, None) => plain,
            (AllowanceUnit::Tokens { .. }, Some(prompt)) => prompt.prompt_tokens.saturating_add(prompt.output_tokens),
        }
    }

    /// Returns true if the allowance can pay a call of this cost at some time.
    pub fn can_ever_pay(&self, cost: u64) -> bool {
        cost as f64 <= self.burst + self.rate * PAYABLE_WITHIN.as_secs_f64()
    }
}

/// Use of one customer at one entry since the start of the entry. Both counters are absolute, so that a report may be
/// lost or repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CustomerUse {
    /// Cost of all calls that callers sent, refused ones included.
    pub offered: u64,
    /// Cost of the admitted calls, except for those that did not run.
    pub taken: u64,
}

/// Use of one customer in a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageRow {
    /// The customer.
    pub customer: CustomerName,
    /// Use since the start of the entry.
    pub total: CustomerUse,
    /// Part of it that no leader has confirmed to the entry.
    pub unconfirmed: CustomerUse,
}

/// What an entry tells the leader about the use of its customers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageReport {
    /// Time since the entry sent the last report that a leader has confirmed, or `None` if there was none.
    pub unconfirmed_for: Option<Duration>,
    /// Customers whose use has changed since that report.
    pub rows: Vec<UsageRow>,
}

/// What the leader tells all entries about one customer.
#[derive(Clone, Debug, PartialEq)]
pub struct AllowanceRow {
    /// The customer.
    pub customer: CustomerName,
    /// Fraction of the offered cost that every entry admits, from 0 to 1.
    pub admitted_fraction: f64,
    /// Units in the bucket. Negative if entries have admitted more than it held.
    pub level: f64,
    /// Rate of the allowance as a multiple of what all entries together admit at present. An entry that hears no leader
    /// may admit this multiple of what it has admitted before.
    pub headroom: f64,
}
