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

/// Number of cost classes.
pub const COST_CLASSES: usize = 9;
/// Costs below which a call belongs to a class; the last class has no bound.
const CLASS_BOUNDS: [u64; COST_CLASSES - 1] = [256, 1_024, 2_048, 4_096, 8_192, 16_384, 32_768, 65_536];
/// Typical cost of a call of each class.
const CLASS_COSTS: [f64; COST_CLASSES] = [
    200.0, 600.0, 1_500.0, 3_000.0, 6_000.0, 12_000.0, 24_000.0, 48_000.0, 90_000.0,
];

/// Cost of the calls that callers sent, by the cost of the single call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OfferedCost(pub [u64; COST_CLASSES]);

impl OfferedCost {
    /// Adds a call.
    pub fn add(&mut self, cost: u64) {
        let class = cost_class(cost);
        self.0[class] = self.0[class].saturating_add(cost);
    }

    /// Returns what was added since an earlier state.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        let classes = std::array::from_fn(|class| self.0[class].saturating_sub(before.0[class]));
        Self(classes)
    }
}

fn cost_class(cost: u64) -> usize {
    CLASS_BOUNDS.iter().filter(|bound| cost >= **bound).count()
}

impl UsageAllowance {
    /// Returns the typical cost of calls of the class that a call of this cost belongs to, in units.
    pub fn typical_cost(&self, cost: u64) -> f64 {
        self.class_cost(cost_class(cost))
    }

    /// Returns the typical cost of a call of a class, in units.
    pub const fn class_cost(&self, class: usize) -> f64 {
        match self.unit {
            AllowanceUnit::Calls => 1.0,
            AllowanceUnit::Tokens { .. } => CLASS_COSTS[class],
        }
    }
}

/// Use of one customer at one entry since the start of the entry. Both counters are absolute, so that a report may be
/// lost or repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CustomerUse {
    /// Cost of all calls that callers sent, refused ones included.
    pub offered: OfferedCost,
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
    /// Units that the bucket owed by the last leader's row.
    pub debt: u64,
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
    /// Scale of the costs that entries admit, or infinity if they admit all calls.
    ///
    /// A call passes with a probability that falls exponentially with its cost in this scale, as it does with a bucket
    /// that is nearly empty: a small call finds room where a large one does not.
    pub cost_scale: f64,
    /// Units in the bucket. Negative if entries have admitted more than it held.
    pub level: f64,
    /// Rate of the allowance as a multiple of what all entries together admit at present. An entry that hears no leader
    /// may admit this multiple of what it has admitted before.
    pub headroom: f64,
}

impl AllowanceRow {
    /// Returns true if entries refuse calls of the customer.
    pub const fn is_limited(&self) -> bool {
        self.cost_scale.is_finite()
    }
}

/// Returns the probability with which a call is admitted under a cost scale.
///
/// Its cost is the typical one of its class, from which the leader has found the scale: with the exact cost, entries would
/// admit more or less than the leader meant to.
pub fn admission_probability(typical_cost: f64, cost_scale: f64) -> f64 {
    if cost_scale > 0.0 {
        (-typical_cost / cost_scale).exp()
    } else {
        0.0
    }
}
