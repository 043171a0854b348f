//! The two tables that operators edit, routes and pools, with optimistic concurrency control by table number.
//!
//! A write contains the table number on which it is based. If two operators edit the same number, only the first write
//! is accepted. The second one is refused with the current number, so it does not overwrite the rows of the first. An
//! operator who did not receive the answer resends the same edit and gets the original answer
//! (`docs/design/tables.md`).

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::core::name::{CustomerName, EndpointName, ModelName, PoolName, ServiceName};
use crate::util::digest::ContentDigest;

/// Number of accepted writes that a table remembers to recognize resends.
///
/// Operators resend within seconds. At the target load of 8,700 changes a day, this covers more than two hours.
const MAX_REMEMBERED_WRITES: usize = 1_024;

/// The version number of a table. Each accepted write increments it by one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TableNumber(pub u64);

impl TableNumber {
    /// Returns the number that the table gets from the next accepted write.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A row of a [`NumberedTable`], identified by its key.
pub trait TableRow: Clone + PartialEq {
    /// The type of the key that identifies a row within its table.
    type Key: Ord + Clone;

    /// Returns the key of the row.
    fn key(&self) -> Self::Key;
}

/// The model or service that the requests of a route ask for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RouteTarget {
    /// Completions of this model.
    Model(ModelName),
    /// Calls of this plain service.
    Service(ServiceName),
}

/// A route, which assigns the traffic of one customer for one target to a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRow {
    /// The customer whose requests use the route.
    pub customer: CustomerName,
    /// The model or service that the requests ask for.
    pub target: RouteTarget,
    /// The pool that serves the requests. It need not exist yet.
    pub pool: PoolName,
    /// The maximum time from the arrival of a request to the last byte of its answer.
    pub deadline: Duration,
}

impl TableRow for RouteRow {
    type Key = (CustomerName, RouteTarget);

    fn key(&self) -> Self::Key {
        (self.customer.clone(), self.target.clone())
    }
}

/// The kind of endpoints in a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PoolKind {
    /// Language-model engines.
    Engine,
    /// Services whose calls may be repeated.
    Repeatable,
    /// Services whose calls must run at most once, such as bookings and dispatches.
    AtMostOnce,
}

/// A pattern that matches endpoints by exact name, or by prefix if it ends in `*`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointPattern(pub String);

impl EndpointPattern {
    /// Returns true if the pattern matches the endpoint.
    pub fn matches(&self, endpoint: &EndpointName) -> bool {
        match self.0.strip_suffix('*') {
            Some(prefix) => endpoint.as_str().starts_with(prefix),
            None => self.0 == endpoint.as_str(),
        }
    }
}

/// A pool: the endpoints that serve the routes that refer to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolRow {
    /// The name that routes refer to.
    pub name: PoolName,
    /// The kind of all endpoints in the pool.
    pub kind: PoolKind,
    /// The patterns that select the endpoints of the pool.
    pub endpoints: Vec<EndpointPattern>,
}

impl PoolRow {
    /// Returns true if the endpoint belongs to this pool.
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

/// An edit of a table, as the difference between two of its states.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableEdit<R: TableRow> {
    /// The table number on which the edit is based.
    pub expected: TableNumber,
    /// The digest of the operator's request, used to recognize a resend.
    pub digest: ContentDigest,
    /// The rows to add or replace.
    pub upserts: Vec<R>,
    /// The keys of the rows to remove.
    pub removals: Vec<R::Key>,
}

/// The refusal of an edit that is not based on the current table number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableConflict {
    /// The current number of the table.
    pub current: TableNumber,
}

/// A table with a version number and a bounded history of accepted writes.
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

    /// Returns the current number of the table.
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

    /// Returns the remembered accepted writes, oldest first, for a snapshot.
    pub fn accepted(&self) -> impl Iterator<Item = &(TableNumber, ContentDigest)> {
        self.accepted.iter()
    }

    /// Computes the edit that turns the current rows into `wanted`.
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

    /// Returns the number under which an earlier, identical write was accepted.
    ///
    /// Otherwise, a resend after a lost answer would conflict with the original write, and the operator could not tell
    /// whether the edit is in force.
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
    /// Returns an error if the edit is not based on the current number, unless it is a resend of an accepted edit.
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

    /// Applies a difference that another copy of the table has accepted under `number`.
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
