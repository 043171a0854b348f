//! Tests of the announcements by which entries share what engines have cached.

use acaciabay::core::serving::cached_parts::{CachedPartOutbox, KeptLog, KeptPart, LogPlace};

use crate::fixtures::{name, part};

fn kept(engine: &str, id: u64) -> KeptPart {
    KeptPart {
        engine: name(engine),
        part: part(id, 100),
    }
}

/// Reads the whole log, one answer at a time.
fn read_all(log: &KeptLog) -> Vec<KeptPart> {
    let mut all = Vec::new();
    let mut place = LogPlace::default();
    loop {
        let (rows, next) = log.since(place);
        all.extend(rows.cloned());
        if next == place {
            return all;
        }
        place = next;
    }
}

/// All entries have the same popular part prefilled by the same engine. If each of them announced it again, the
/// announcements would saturate the links to all entries.
#[test]
fn announcements_are_not_repeated() {
    let mut log = KeptLog::default();
    log.push(kept("e1", 5));
    log.push(kept("e1", 5));
    log.push(kept("e2", 5));

    assert_eq!(read_all(&log), vec![kept("e1", 5), kept("e2", 5)]);

    let mut outbox = CachedPartOutbox::default();
    outbox.record_announced(&kept("e1", 5));
    outbox.record_prefill(&name("e1"), &[part(5, 100), part(6, 100)]);
    outbox.record_prefill(&name("e1"), &[part(6, 100)]);

    assert_eq!(outbox.take_pending(), vec![kept("e1", 6)]);
    assert_eq!(outbox.take_pending(), Vec::new());
}

/// An entry that starts late gets the whole log, in several answers of limited size, so that none of them delays its
/// lease.
#[test]
fn late_entry_gets_the_whole_log_in_several_answers() {
    let mut log = KeptLog::default();
    for id in 0..1_500 {
        log.push(kept("e1", id));
    }

    let (first, _) = log.since(LogPlace::default());

    assert!(first.count() < 600);
    assert_eq!(read_all(&log).len(), 1_500);
}

/// A leader collects announcements for hours. The log keeps only the latest ones, and a connection that has fallen
/// behind continues with the oldest row that is left.
#[test]
fn log_is_bounded() {
    let mut log = KeptLog::default();
    let (_, early) = log.since(LogPlace::default());
    for id in 0..20_000 {
        log.push(kept("e1", id));
    }

    let (rows, _) = log.since(early);

    assert!(rows.count() > 0);
    let all = read_all(&log);
    assert!(all.len() < 10_000);
    assert_eq!(all.last(), Some(&kept("e1", 19_999)));
    // A row that was dropped is accepted again.
    log.push(kept("e1", 0));
    assert_eq!(read_all(&log).last(), Some(&kept("e1", 0)));
}
