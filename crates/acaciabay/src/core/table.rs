//! The two tables that operators edit, routes and pools, each under compare-and-set by number.
//!
//! A write names the number of the table that it was made against. Two operators who edit the same number therefore
//! race for one successor, and the loser learns the current number instead of overwriting the winner's rows. An
//! operator whose answer was lost sends the same edit again and gets the first answer (`docs/design/tables.md`).

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::core::name::{CustomerName, EndpointName, ModelName, PoolName, ServiceName};
use crate::util::digest::ContentDigest;

/// How many accepted writes a table remembers in order to recognise a resend.
///
/// An operator's resend follows within seconds; at the target's 8,700 changes a day this covers more than two hours.
const MAX_REMEMBERED_WRITES: usize = 1_024;

/// The number of a table's state; each accepted write raises it by one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TableNumber(pub u64);

impl TableNumber {
    /// Returns the number that the next accepted write gets.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A row that a [`NumberedTable`] stores, found by its key.
pub trait TableRow: Clone + PartialEq {
    /// What identifies the row within its table.
    type Key: Ord + Clone;

    /// Returns the key under which the row is stored.
    fn key(&self) -> Self::Key;
}

/// What a route points a customer's traffic at.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RouteTarget {
    /// Completions of this model.
    Model(ModelName),
    /// Calls of this plain service.
    Service(ServiceName),
}

/// One route: where one customer's traffic for one target goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRow {
    /// The customer whose requests the route carries.
    pub customer: CustomerName,
    /// The model or service that the requests ask for.
    pub target: RouteTarget,
    /// The pool that serves them; it need not exist yet.
    pub pool: PoolName,
    /// How long a request may take from arrival to its last byte.
    pub deadline: Duration,
}

impl TableRow for RouteRow {
    type Key = (CustomerName, RouteTarget);

    fn key(&self) -> Self::Key {
        (self.customer.clone(), self.target.clone())
    }
}

/// What kind of endpoint a pool consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PoolKind {
    /// Language-model engines.
    Engine,
    /// Services whose calls may be sent again.
    Repeatable,
    /// Services whose calls must run at most once, such as bookings and dispatches.
    AtMostOnce,
}

/// Selects endpoints by exact name, or by prefix when it ends in `*`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointPattern(pub String);

impl EndpointPattern {
    /// Tells whether the pattern selects the endpoint.
    pub fn matches(&self, endpoint: &EndpointName) -> bool {
        match self.0.strip_suffix('*') {
            Some(prefix) => endpoint.as_str().starts_with(prefix),
            None => self.0 == endpoint.as_str(),
        }
    }
}

/// One pool: which endpoints serve the routes that name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolRow {
    /// The name that routes refer to.
    pub name: PoolName,
    /// The kind of all its endpoints.
    pub kind: PoolKind,
    /// Which announced endpoints belong to the pool.
    pub endpoints: Vec<EndpointPattern>,
}

impl PoolRow {
    /// Tells whether the endpoint belongs to this pool.
    pub fn contains(&self, endpoint: &EndpointName) -> bool {
        self.endpoints.iter().any(|pattern| pattern.matches(endpoint))
    }
}

impl TableRow for PoolRow {
    type Key = PoolName;

    fn key(&self) -> Self::Key {
        self.name.clone()
    }
}

/// The difference that one write makes to a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableEdit<R: TableRow> {
    /// The number of the table that the write was made against.
    pub expected: TableNumber,
    /// Identifies the operator's request, so that a resend is recognised.
    pub digest: ContentDigest,
    /// Rows to add or to replace.
    pub upserts: Vec<R>,
    /// Keys of rows to remove.
    pub removals: Vec<R::Key>,
}

/// Why a write was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableConflict {
    /// The number that the table has now.
    pub current: TableNumber,
}

/// A table of rows with a number and a bounded memory of accepted writes.
#[derive(Clone, Debug, PartialEq)]
pub struct NumberedTable<R: TableRow> {
    number: TableNumber,
    rows: BTreeMap<R::Key, R>,
    accepted: VecDeque<(TableNumber, ContentDigest)>,
}

impl<R: TableRow> Default for NumberedTable<R> {
    fn default() -> Self {
        Self {
            number: TableNumber::default(),
            rows: BTreeMap::new(),
            accepted: VecDeque::new(),
        }
    }
}

impl<R: TableRow> NumberedTable<R> {
    /// Rebuilds a table from a snapshot.
    pub fn restore(
        number: TableNumber,
        rows: impl IntoIterator<Item = R>,
        accepted: impl IntoIterator<Item = (TableNumber, ContentDigest)>,
    ) -> Self {
        let rows = rows.into_iter().map(|row| (row.key(), row)).collect();
        Self {
            number,
            rows,
            accepted: accepted.into_iter().collect(),
        }
    }

    /// Returns the number of the present state.
    pub const fn number(&self) -> TableNumber {
        self.number
    }

    /// Returns the row with this key.
    pub fn get(&self, key: &R::Key) -> Option<&R> {
        self.rows.get(key)
    }

    /// Returns all rows in the order of their keys.
    pub fn rows(&self) -> impl Iterator<Item = &R> {
        self.rows.values()
    }

    /// Returns the remembered writes, oldest first, for a snapshot.
    pub fn accepted(&self) -> impl Iterator<Item = &(TableNumber, ContentDigest)> {
        self.accepted.iter()
    }

    /// Works out the edit that turns the present rows into `wanted`.
    pub fn diff(&self, expected: TableNumber, digest: ContentDigest, wanted: Vec<R>) -> TableEdit<R> {
        let wanted: BTreeMap<R::Key, R> = wanted.into_iter().map(|row| (row.key(), row)).collect();
        let removals = self
            .rows
            .keys()
            .filter(|key| !wanted.contains_key(*key))
            .cloned()
            .collect();
        let upserts = wanted
            .into_iter()
            .filter(|(key, row)| self.rows.get(key) != Some(row))
            .map(|(_, row)| row);
        TableEdit {
            expected,
            digest,
            upserts: upserts.collect(),
            removals,
        }
    }

    /// Returns the number that an earlier, equal write was accepted under.
    ///
    /// Without this a resend after a lost answer would be refused as a conflict with itself, and the operator could
    /// not tell whether the edit is in force.
    pub fn find_resend(&self, expected: TableNumber, digest: &ContentDigest) -> Option<TableNumber> {
        let number = expected.next();
        let resent = self
            .accepted
            .iter()
            .any(|(accepted, content)| *accepted == number && content == digest);
        resent.then_some(number)
    }

    /// Applies an edit and returns the table's new number.
    ///
    /// # Errors
    ///
    /// Refuses an edit that was made against any number but the present one, unless it is a resend.
    pub fn apply(&mut self, edit: &TableEdit<R>) -> Result<TableNumber, TableConflict> {
        if let Some(number) = self.find_resend(edit.expected, &edit.digest) {
            return Ok(number);
        }
        if edit.expected != self.number {
            return Err(TableConflict { current: self.number });
        }
        self.number = self.number.next();
        self.merge(&edit.upserts, &edit.removals);
        self.accepted.push_back((self.number, edit.digest));
        if self.accepted.len() > MAX_REMEMBERED_WRITES {
            self.accepted.pop_front();
        }
        Ok(self.number)
    }

    /// Takes over a difference that another copy of the table has accepted under `number`.
    pub fn apply_accepted(&mut self, number: TableNumber, upserts: &[R], removals: &[R::Key]) {
        self.number = number;
        self.merge(upserts, removals);
    }

    fn merge(&mut self, upserts: &[R], removals: &[R::Key]) {
        for key in removals {
            self.rows.remove(key);
        }
        for row in upserts {
            self.rows.insert(row.key(), row.clone());
        }
    }
}

/// The routes of all customers.
pub type RouteTable = NumberedTable<RouteRow>;
/// The pools of all endpoints.
pub type PoolTable = NumberedTable<PoolRow>;
