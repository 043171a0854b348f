//! Tests of the data folder after crashes, power losses and disk corruption, and against a model of the log.

use std::path::{Path, PathBuf};

use acacia_control::storage::{DataFolder, FolderIdentity, StoredReplica};
use acaciabay::core::consensus::{
    DiskId, EntryPayload, HardState, LogAppend, LogEntry, LogIndex, MemberSet, ReplicaId, ReplicaSnapshot, Term,
};
use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tempfile::TempDir;

fn entry(index: u64, term: u64, length: usize) -> LogEntry {
    let payload = EntryPayload::Command(Bytes::from(vec![u8::try_from(index % 250).unwrap_or(0) + 1; length]));
    LogEntry {
        index: LogIndex(index),
        term: Term(term),
        payload,
    }
}

fn append(first: u64, entries: Vec<LogEntry>) -> LogAppend {
    LogAppend {
        first: LogIndex(first),
        entries,
    }
}

fn snapshot(index: u64, term: u64) -> ReplicaSnapshot {
    let state = Bytes::from(format!("state at {index}"));
    ReplicaSnapshot {
        index: LogIndex(index),
        term: Term(term),
        members: MemberSet::default(),
        state,
    }
}

const HARD_STATE: HardState = HardState {
    term: Term(1),
    vote: None,
    leader: None,
};

fn new_folder() -> (TempDir, DataFolder) {
    let folder = TempDir::new().expect("a temporary folder can be created");
    let mut data = DataFolder::open(folder.path()).expect("an empty folder can be opened");
    data.initialise(HARD_STATE, &snapshot(1, 1))
        .expect("the folder can be written");
    data.load().expect("a new folder can be read");
    (folder, data)
}

fn load(folder: &Path) -> anyhow::Result<StoredReplica> {
    DataFolder::open(folder)?.load()
}

fn indices(stored: &StoredReplica) -> Vec<u64> {
    stored
        .restored
        .log
        .entries()
        .iter()
        .map(|entry| entry.index.0)
        .collect()
}

/// Returns a folder with five synced writes, the path of its log, and the offset at which each write ends.
///
/// Each write contains one entry that is longer than a disk sector.
fn folder_with_five_writes() -> (TempDir, PathBuf, Vec<usize>) {
    let (folder, mut data) = new_folder();
    let log = folder.path().join("log");
    let mut ends = Vec::new();
    for index in 2..7 {
        data.append(None, Some(&append(index, vec![entry(index, 1, 700)])))
            .expect("the folder can be written");
        ends.push(std::fs::read(&log).expect("the log exists").len());
    }
    (folder, log, ends)
}

/// A power loss during a write leaves only a part of the last record on disk. The record was never acknowledged, so the
/// part is truncated; a replica that refused to start would need a repair after every power loss.
#[test]
fn torn_last_write_is_truncated_at_every_length() {
    let (folder, log, ends) = folder_with_five_writes();
    let whole = std::fs::read(&log).expect("the log exists");

    for length in ends[3] + 1..ends[4] {
        std::fs::write(&log, &whole[..length]).expect("the log can be written");
        let stored = load(folder.path()).expect("a torn last write is not corruption");
        assert_eq!(indices(&stored), [2, 3, 4, 5], "cut at byte {length}");
        assert_eq!(stored.torn_bytes, length - ends[3]);
        assert_eq!(
            std::fs::read(&log).expect("the log exists").len(),
            ends[3],
            "the torn part was not truncated"
        );
    }
}

/// A power loss during a write leaves zeros at the end of the log if the file system had already extended the file.
#[test]
fn unwritten_sectors_at_the_end_are_truncated() {
    let (folder, log, ends) = folder_with_five_writes();
    let mut bytes = std::fs::read(&log).expect("the log exists");
    for byte in &mut bytes[ends[3]..] {
        *byte = 0;
    }
    std::fs::write(&log, &bytes).expect("the log can be written");

    let stored = load(folder.path()).expect("unwritten sectors are not corruption");

    assert_eq!(indices(&stored), [2, 3, 4, 5]);
}

/// A disk returns a wrong bit. If the log were truncated there as after a torn write, acknowledged entries would be
/// lost without notice, and the group could lose committed entries.
#[test]
fn flipped_bit_is_detected_and_located() {
    let (folder, log, ends) = folder_with_five_writes();
    let whole = std::fs::read(&log).expect("the log exists");

    for offset in (0..ends[4]).step_by(7) {
        let mut bytes = whole.clone();
        bytes[offset] ^= 1 << (offset % 8);
        std::fs::write(&log, &bytes).expect("the log can be written");
        let error = load(folder.path())
            .err()
            .unwrap_or_else(|| panic!("the flipped bit at {offset} was not detected"));
        let text = format!("{error:#}");
        assert!(text.contains("log"), "{text}");
    }
}

#[test]
fn newer_format_is_rejected() {
    let (folder, log, _) = folder_with_five_writes();
    let mut bytes = std::fs::read(&log).expect("the log exists");
    bytes[4] = 9;
    std::fs::write(&log, &bytes).expect("the log can be written");

    let error = load(folder.path()).expect_err("a newer format cannot be read");

    assert!(format!("{error:#}").contains("format 9"), "{error:#}");
}

/// The process crashes after renaming the new snapshot and before replacing the log. The entries after the snapshot
/// must remain.
#[test]
fn crash_between_snapshot_and_log_keeps_later_entries() {
    let (folder, log, _) = folder_with_five_writes();
    let old_log = std::fs::read(&log).expect("the log exists");
    {
        let mut data = DataFolder::open(folder.path()).expect("the folder can be opened");
        data.load().expect("the folder can be read");
        data.replace(HARD_STATE, &snapshot(4, 1), &[entry(5, 1, 700), entry(6, 1, 700)])
            .expect("the snapshot and the log can be replaced");
    }
    std::fs::write(&log, old_log).expect("the log can be written");

    let first = load(folder.path()).expect("the folder is valid");
    let second = load(folder.path()).expect("the folder is valid");

    for stored in [first, second] {
        assert_eq!((stored.snapshot.index, indices(&stored)), (LogIndex(4), vec![5, 6]));
    }
}

/// A replica that has fallen behind installs the leader's snapshot and crashes before replacing its old log. The old
/// entries may never have been committed, so none may remain after the snapshot, and new entries must follow the
/// snapshot.
#[test]
fn crash_while_installing_snapshot_leaves_no_old_entries() {
    let (folder, log, _) = folder_with_five_writes();
    let old_log = std::fs::read(&log).expect("the log exists");
    {
        let mut data = DataFolder::open(folder.path()).expect("the folder can be opened");
        data.load().expect("the folder can be read");
        data.replace(HARD_STATE, &snapshot(4, 3), &[])
            .expect("the snapshot and the log can be replaced");
    }
    std::fs::write(&log, old_log).expect("the log can be written");

    let mut data = DataFolder::open(folder.path()).expect("the folder can be opened");
    let stored = data.load().expect("the folder is valid");
    data.append(None, Some(&append(5, vec![entry(5, 3, 10)])))
        .expect("the folder can be written");
    drop(data);
    let after = load(folder.path()).expect("the folder is valid");

    assert_eq!(indices(&stored), Vec::<u64>::new());
    assert_eq!(indices(&after), [5]);
}

/// The process crashes while it writes the temporary file of a new snapshot.
#[test]
fn incomplete_new_snapshot_is_ignored() {
    let (folder, _, _) = folder_with_five_writes();
    std::fs::write(folder.path().join("snapshot.new"), b"half").expect("the folder can be written");

    let stored = load(folder.path()).expect("the old snapshot is valid");

    assert_eq!(
        (stored.snapshot.index, indices(&stored)),
        (LogIndex(1), vec![2, 3, 4, 5, 6])
    );
}

/// The identity file is deleted while the log remains. The folder must not be treated as empty, since initialising it
/// would discard the log.
#[test]
fn folder_with_log_but_without_identity_is_rejected() {
    let (folder, data) = new_folder();
    let identity = FolderIdentity {
        group: 7,
        disk: DiskId(8),
        replica: Some(ReplicaId(1)),
    };
    data.store_identity(&identity).expect("the folder can be written");
    let read = data.identity().expect("the identity can be read");
    std::fs::remove_file(folder.path().join("identity")).expect("the file exists");

    let missing = data.identity();

    assert_eq!(read, Some(identity));
    assert!(missing.is_err());
}

/// Operation on a folder.
#[derive(Clone, Debug)]
enum Operation {
    Append { overlap: u64, count: u64 },
    Vote { term: u64 },
    Compact { keep: u64 },
    Reopen,
}

fn operations() -> impl Strategy<Value = Vec<Operation>> {
    let operation = prop_oneof![
        4 => (0..4_u64, 1..5_u64).prop_map(|(overlap, count)| Operation::Append { overlap, count }),
        2 => (1..100_u64).prop_map(|term| Operation::Vote { term }),
        1 => (0..4_u64).prop_map(|keep| Operation::Compact { keep }),
        2 => Just(Operation::Reopen),
    ];
    prop::collection::vec(operation, 1..30)
}

/// After any sequence of appends, votes, compactions and reopenings, the folder has the same entries and hard state as
/// a model that keeps them in a list.
#[test]
fn folder_matches_a_list_model() {
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    let outcome = TestRunner::new_with_rng(config, random).run(&operations(), |operations| {
        let (folder, mut data) = new_folder();
        let (mut model, mut base, mut hard_state) = (Vec::<LogEntry>::new(), 1_u64, HARD_STATE);
        for (number, operation) in (1..).zip(operations) {
            let end = model.last().map_or(base, |entry| entry.index.0);
            match operation {
                Operation::Append { overlap, count } => {
                    let first = (end + 1).saturating_sub(overlap).max(base + 1);
                    let entries: Vec<LogEntry> = (first..first + count).map(|index| entry(index, number, 20)).collect();
                    model.retain(|entry| entry.index.0 < first);
                    model.extend(entries.clone());
                    data.append(None, Some(&append(first, entries)))
                        .expect("the folder can be written");
                }
                Operation::Vote { term } => {
                    hard_state = HardState {
                        term: Term(term),
                        vote: Some(ReplicaId(number)),
                        leader: Some(ReplicaId(number + 1)),
                    };
                    data.append(Some(hard_state), None).expect("the folder can be written");
                }
                Operation::Compact { keep } => {
                    let index = end.saturating_sub(keep).max(base);
                    let term = model
                        .iter()
                        .find(|entry| entry.index.0 == index)
                        .map_or(1, |entry| entry.term.0);
                    model.retain(|entry| entry.index.0 > index);
                    base = index;
                    data.replace(hard_state, &snapshot(index, term), &model)
                        .expect("the snapshot and the log can be replaced");
                }
                Operation::Reopen => {
                    drop(data);
                    data = DataFolder::open(folder.path()).expect("the folder can be opened");
                    data.load().expect("the folder is valid");
                }
            }
        }
        drop(data);
        let stored = load(folder.path()).expect("the folder is valid");
        prop_assert_eq!(stored.restored.log.entries(), model);
        prop_assert_eq!(stored.restored.hard_state, hard_state);
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}
