//! The entries after the latest snapshot.

use std::collections::VecDeque;

use super::entry::{EntryPayload, LogEntry, LogIndex, Term};
use super::members::MemberSet;
use super::timing::{MOST_ENTRIES, MOST_ENTRY_BYTES};

/// The log of one replica, from the entry after its snapshot to its end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaLog {
    base_index: LogIndex,
    base_term: Term,
    base_members: MemberSet,
    entries: VecDeque<LogEntry>,
}

impl ReplicaLog {
    /// Starts a log after a snapshot; the default is the start of everything.
    pub const fn after_snapshot(index: LogIndex, term: Term, members: MemberSet) -> Self {
        Self {
            base_index: index,
            base_term: term,
            base_members: members,
            entries: VecDeque::new(),
        }
    }

    /// Returns the last entry that only the snapshot contains.
    pub const fn base_index(&self) -> LogIndex {
        self.base_index
    }

    /// Returns the place of the last entry.
    pub fn last_index(&self) -> LogIndex {
        self.entries.back().map_or(self.base_index, |entry| entry.index)
    }

    /// Returns the term of the last entry.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Returns the term of the entry at `index`, if the log or its base holds it.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the entry at `index`, unless it is in the snapshot or not there yet.
    pub fn get(&self, index: LogIndex) -> Option<&LogEntry> {
        self.entries.get(self.offset(index)?)
    }

    /// Returns the members after the last entry.
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

    /// Returns the entries from `first` on, as many as one message carries.
    pub(super) fn message_from(&self, first: LogIndex) -> Vec<LogEntry> {
        let Some(offset) = self.offset(first) else {
            return Vec::new();
        };
        let mut bytes = 0;
        let entries = self.entries.iter().skip(offset).take(MOST_ENTRIES).take_while(|entry| {
            let fits = bytes == 0 || bytes + entry.payload.size() <= MOST_ENTRY_BYTES;
            bytes += entry.payload.size();
            fits
        });
        entries.cloned().collect()
    }

    /// Returns copies of the entries after `after` up to `last`.
    pub(super) fn between(&self, after: LogIndex, last: LogIndex) -> Vec<LogEntry> {
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

    /// Returns a copy of all entries after the base.
    pub fn entries(&self) -> Vec<LogEntry> {
        self.entries.iter().cloned().collect()
    }

    /// Adds an entry at the end.
    pub fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index().next(), "entries follow one another");
        self.entries.push_back(entry);
    }

    /// Drops the entry at `index` and all after it.
    pub fn truncate_from(&mut self, index: LogIndex) {
        if let Some(offset) = self.offset(index) {
            self.entries.truncate(offset);
        }
    }

    /// Drops the entries up to `index`, which a snapshot now contains.
    pub fn compact_to(&mut self, index: LogIndex) {
        let Some(term) = self.term_at(index) else { return };
        self.base_members = self.members_at(index).clone();
        while self.entries.front().is_some_and(|entry| entry.index <= index) {
            self.entries.pop_front();
        }
        self.base_index = index;
        self.base_term = term;
    }

    /// Returns the place before the first entry of the term that the entry at `index` has.
    pub(super) fn before_term_of(&self, index: LogIndex) -> LogIndex {
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
