//! In-memory log: the entries after the latest snapshot.

use std::collections::VecDeque;

use super::entry::{EntryPayload, LogEntry, LogIndex, Term};
use super::members::MemberSet;
use super::timing::{MAX_ENTRIES_PER_MESSAGE, MAX_ENTRY_BYTES_PER_MESSAGE};

/// Log of one replica, from the entry after its latest snapshot to the last entry.
///
/// The base is the last entry that the snapshot includes. The log keeps its index and term, and the members after it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaLog {
    base_index: LogIndex,
    base_term: Term,
    base_members: MemberSet,
    entries: VecDeque<LogEntry>,
}

impl ReplicaLog {
    /// Creates an empty log after a snapshot; the default is an empty log without a snapshot.
    pub const fn after_snapshot(index: LogIndex, term: Term, members: MemberSet) -> Self {
        Self {
            base_index: index,
            base_term: term,
            base_members: members,
            entries: VecDeque::new(),
        }
    }

    /// Returns the index of the last entry that the snapshot includes.
    pub const fn base_index(&self) -> LogIndex {
        self.base_index
    }

    /// Returns the index of the last entry, or of the base if the log is empty.
    pub fn last_index(&self) -> LogIndex {
        self.entries.back().map_or(self.base_index, |entry| entry.index)
    }

    /// Returns the term of the last entry, or of the base if the log is empty.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Returns the term of the entry at `index` if it is the base or in the log.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the entry at `index`, or `None` if it has been compacted or does not exist yet.
    pub fn get(&self, index: LogIndex) -> Option<&LogEntry> {
        self.entries.get(self.offset(index)?)
    }

    /// Returns the members after the last entry, and the index of the entry or snapshot that set them.
    pub fn latest_members(&self) -> (LogIndex, &MemberSet) {
        let found = self.entries.iter().rev().find_map(|entry| match &entry.payload {
            EntryPayload::Members(members) => Some((entry.index, members)),
            EntryPayload::Empty | EntryPayload::Command(_) => None,
        });
        found.unwrap_or((self.base_index, &self.base_members))
    }

    /// Returns the members after the entry at `index`.
    pub fn members_at(&self, index: LogIndex) -> &MemberSet {
        let entries = self.entries.iter().rev().filter(|entry| entry.index <= index);
        let mut sets = entries.filter_map(|entry| match &entry.payload {
            EntryPayload::Members(members) => Some(members),
            EntryPayload::Empty | EntryPayload::Command(_) => None,
        });
        sets.next().unwrap_or(&self.base_members)
    }

    /// Returns copies of the entries from `first` on, up to the limits of one message.
    pub(super) fn entries_for_message(&self, first: LogIndex) -> Vec<LogEntry> {
        let Some(offset) = self.offset(first) else {
            return Vec::new();
        };
        let mut bytes = 0;
        let entries = self
            .entries
            .iter()
            .skip(offset)
            .take(MAX_ENTRIES_PER_MESSAGE)
            .take_while(|entry| {
                let fits = bytes == 0 || bytes + entry.payload.size() <= MAX_ENTRY_BYTES_PER_MESSAGE;
                bytes += entry.payload.size();
                fits
            });
        entries.cloned().collect()
    }

    /// Returns copies of the entries after `after`, up to and including `last`.
    pub(super) fn entries_between(&self, after: LogIndex, last: LogIndex) -> Vec<LogEntry> {
        let Some(offset) = self.offset(after.next()) else {
            return Vec::new();
        };
        self.entries
            .iter()
            .skip(offset)
            .take_while(|entry| entry.index <= last)
            .cloned()
            .collect()
    }

    /// Returns copies of all entries after the base.
    pub fn entries(&self) -> Vec<LogEntry> {
        self.entries.iter().cloned().collect()
    }

    /// Appends an entry.
    pub fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index().next(), "log indexes are contiguous");
        self.entries.push_back(entry);
    }

    /// Removes the entry at `index` and all later ones.
    pub fn truncate_from(&mut self, index: LogIndex) {
        if let Some(offset) = self.offset(index) {
            self.entries.truncate(offset);
        }
    }

    /// Removes the entries up to and including `index`, which a snapshot now includes.
    pub fn compact_to(&mut self, index: LogIndex) {
        let Some(term) = self.term_at(index) else { return };
        self.base_members = self.members_at(index).clone();
        while self.entries.front().is_some_and(|entry| entry.index <= index) {
            self.entries.pop_front();
        }
        self.base_index = index;
        self.base_term = term;
    }

    /// Returns the index before the run of entries with the same term that ends at `index`, but none below the base.
    pub(super) fn index_before_term_of(&self, index: LogIndex) -> LogIndex {
        let Some(term) = self.term_at(index) else {
            return self.last_index();
        };
        let mut before = index;
        while before > self.base_index && self.term_at(before) == Some(term) {
            before = before.previous();
        }
        before
    }

    fn offset(&self, index: LogIndex) -> Option<usize> {
        let offset = index.0.checked_sub(self.base_index.0 + 1)?;
        usize::try_from(offset).ok()
    }
}
