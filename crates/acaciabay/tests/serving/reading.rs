//! Where prompts are read, and what is copied instead of being read.

use std::collections::BTreeSet;
use std::time::Duration;

use acaciabay::core::name::{DomainName, EndpointName};
use acaciabay::core::serving::endpoint_load::LoadTable;
use acaciabay::core::serving::endpoint_registry::{EndpointPhase, EngineStage, ServingEndpoint};
use acaciabay::core::serving::prompt::PromptShape;
use acaciabay::ops::place_call::PlacementView;
use acaciabay::ops::place_prompt::{PromptEngines, PromptPlacement, is_source_lost, place_prompt};
use acaciabay::ops::split_call::is_prefilled_by_decoder;

use crate::fixtures::{EngineRows, at, candidates, link, name, numbered, prompt, rows, unread};

/// Places a prompt with the shared part `shared` where engines copy nothing.
fn place(loads: &LoadTable, rows: &EngineRows, shared: u64) -> EndpointName {
    place_with(loads, rows, &[], false, shared).endpoint
}

/// Places it where engines copy from each other.
fn place_copying(loads: &LoadTable, readers: &EngineRows, shared: u64) -> PromptPlacement {
    place_with(loads, readers, readers, true, shared)
}

fn place_with(
    loads: &LoadTable,
    readers: &EngineRows,
    keepers: &[(EndpointName, ServingEndpoint)],
    copies: bool,
    shared: u64,
) -> PromptPlacement {
    let domain = DomainName::new("a");
    let view = PlacementView {
        now: at(0),
        domain: &domain,
        loads,
    };
    let link = link();
    let engines = PromptEngines {
        prefill_engines: &candidates(readers),
        sources: &candidates(keepers),
        pace: None,
        link: copies.then_some(&link),
    };
    place_prompt(&view, &engines, &prompt(shared, 99)).expect("there are engines")
}

/// Several entries get requests with the same long shared part. Without knowing of each other, they would have it read
/// by as many engines as there are entries.
#[test]
fn entries_agree_on_the_first_reader_of_a_part() {
    let rows = rows(7, EngineStage::Prefill);

    let first = place(&LoadTable::default(), &rows, 5);

    let mut other = LoadTable::default();
    other.begin(&first, unread(20_000));
    assert_eq!(place(&other, &rows, 5), first);
}

/// A burst asks for one shared part. Sent on as soon as one queue is a little longer, each request would have the part
/// read once more, and every queue would grow by it.
#[test]
fn a_queue_is_borne_before_a_part_is_read_again() {
    let rows = rows(7, EngineStage::Prefill);
    let mut loads = LoadTable::default();
    let home = place(&loads, &rows, 5);
    loads.note_read(&home, &prompt(5, 1).parts, 400_000);

    loads.begin(&home, unread(60_000));
    assert_eq!(place(&loads, &rows, 5), home);

    loads.begin(&home, unread(400_000));
    assert_ne!(place(&loads, &rows, 5), home);
}

/// An engine fails what it gets. Sent there for its memory's sake, one call after another would fail.
#[test]
fn an_engine_that_fails_is_left_out_while_there_are_others() {
    let rows = rows(3, EngineStage::Prefill);
    let mut loads = LoadTable::default();
    let home = place(&loads, &rows, 5);

    loads.note_failure(at(0), &home);
    assert_ne!(place(&loads, &rows, 5), home);

    for (name, _) in &rows {
        loads.note_failure(at(0), name);
    }
    assert_eq!(place(&loads, &rows, 5), home);
}

/// Many callers ask for the same long part at once, and its home has a second of work before it. Another engine copies the
/// part in tens of milliseconds and begins at once; read there anew, the part would take it a third of a second.
#[test]
fn a_part_is_copied_where_its_home_is_overloaded() {
    let readers = rows(7, EngineStage::Prefill);
    let mut loads = LoadTable::default();
    let home = place_copying(&loads, &readers, 5).endpoint;
    loads.note_read(&home, prompt(5, 99).shared_parts(), 400_000);

    loads.begin(&home, unread(60_000));
    let other = place_copying(&loads, &readers, 5);

    assert_ne!(other.endpoint, home);
    assert_eq!(other.copy_from, Some(home));
    // Its own 3,000 tokens, and what is left of the doubt whether the home keeps the part.
    assert!(other.unread_tokens < 4_000, "{}", other.unread_tokens);
    assert!(other.wait.as_millis() < 120, "{:?}", other.wait);
}

/// The homes of all parts have short queues. Spread over more engines than needed, each part would be read by several of
/// them before any could copy it.
#[test]
fn a_part_stays_at_its_home_while_the_queue_is_short() {
    let readers = rows(7, EngineStage::Prefill);
    let mut loads = LoadTable::default();
    let home = place_copying(&loads, &readers, 5).endpoint;

    loads.begin(&home, unread(30_000));

    assert_eq!(place_copying(&loads, &readers, 5).endpoint, home);
}

/// A part is known to be kept at its home, which has a third of a second of work, and other engines are free. Waiting
/// there, a long prompt comes too late, while a copy takes hundredths of a second.
#[test]
fn a_kept_part_is_copied_rather_than_waited_for() {
    let readers = rows(7, EngineStage::Prefill);
    let mut loads = LoadTable::default();
    let home = place_copying(&loads, &readers, 5).endpoint;
    loads.note_read(&home, prompt(5, 99).shared_parts(), 400_000);

    loads.begin(&home, unread(17_000));
    let other = place_copying(&loads, &readers, 5);

    assert_ne!(other.endpoint, home);
    assert_eq!(other.copy_from, Some(home));
}

/// Every engine has work, and the memory of each is full. A part that is copied there takes the place of another, which
/// has to be read again in the middle of the burst; so a prompt waits longer for the engine that keeps its part.
#[test]
fn a_kept_part_is_waited_for_where_all_engines_have_work() {
    let readers = rows(7, EngineStage::Prefill);
    let mut loads = LoadTable::default();
    let home = place_copying(&loads, &readers, 5).endpoint;
    loads.note_read(&home, prompt(5, 99).shared_parts(), 400_000);
    for (name, _) in &readers {
        loads.begin(name, unread(1_000));
    }

    loads.begin(&home, unread(17_000));

    assert_eq!(place_copying(&loads, &readers, 5).endpoint, home);
}

/// Two hundred entries and as many engines hardly meet twice. An entry that expects of each engine it has not measured what
/// engines in general can do takes a wait of a second for half of one, and sends short prompts behind it.
#[test]
fn an_engine_that_was_not_measured_is_taken_for_a_usual_one() {
    let readers = rows(3, EngineStage::Prefill);
    let (loads, domain, link) = (LoadTable::default(), DomainName::new("a"), link());
    let view = PlacementView {
        now: at(0),
        domain: &domain,
        loads: &loads,
    };
    let expected = |pace| {
        let engines = PromptEngines {
            prefill_engines: &candidates(&readers),
            sources: &candidates(&readers),
            pace,
            link: Some(&link),
        };
        let place = place_prompt(&view, &engines, &prompt(5, 99)).expect("there are engines");
        place.wait.as_millis()
    };

    // 16,000 tokens, a tenth of a millisecond each.
    assert_eq!(expected(Some(0.1)), 1_600);
    assert!(expected(None) < 400);
}

/// Nobody has read the part of a long prompt yet. Taken for kept, it would count as a few tokens, and short prompts would
/// be sent behind it and wait for a second.
#[test]
fn a_part_that_nobody_has_read_counts_in_full() {
    let readers = rows(7, EngineStage::Prefill);

    let place = place_copying(&LoadTable::default(), &readers, 5);

    assert_eq!(place.unread_tokens, prompt(5, 99).prompt_tokens);
}

/// Entries that do not hear of each other in time find the same engines free, for prompts that share nothing. Taking the
/// first in the list, all of them would send to one engine at once.
#[test]
fn prompts_without_a_home_go_to_different_engines() {
    let readers = rows(7, EngineStage::Prefill);
    let (loads, domain) = (LoadTable::default(), DomainName::new("elsewhere"));
    let view = PlacementView {
        now: at(0),
        domain: &domain,
        loads: &loads,
    };
    let engines = PromptEngines {
        prefill_engines: &candidates(&readers),
        sources: &candidates(&readers),
        pace: None,
        link: None,
    };

    let chosen: BTreeSet<_> = (0..40)
        .map(|own| {
            let mut shape = prompt(5, own);
            shape.parts.remove(0);
            place_prompt(&view, &engines, &shape)
                .expect("there are engines")
                .endpoint
        })
        .collect();

    assert!(chosen.len() >= 6, "{chosen:?}");
}

/// A new engine takes over a share of the parts by hash and has read none of them. It copies each from the engine that
/// was the home before, instead of reading thousands of tokens again.
#[test]
fn an_engine_that_has_joined_copies_from_the_home_before_it() {
    let all = rows(7, EngineStage::Prefill);
    let home = place_copying(&LoadTable::default(), &all, 5).endpoint;
    let before: EngineRows = all.iter().filter(|(name, _)| *name != home).cloned().collect();
    let home_before = place_copying(&LoadTable::default(), &before, 5).endpoint;

    let place = place_copying(&LoadTable::default(), &all, 5);

    assert_eq!((place.endpoint, place.copy_from), (home, Some(home_before)));
}

/// An engine is told that it will be taken away and takes no new calls, but still answers other engines for a while. What
/// it has read is copied before it is gone.
#[test]
fn parts_are_copied_from_an_engine_that_leaves() {
    let all = rows(7, EngineStage::Prefill);
    let leaving = place_copying(&LoadTable::default(), &all, 5).endpoint;
    let readers: EngineRows = all.iter().filter(|(name, _)| *name != leaving).cloned().collect();

    let place = place_with(&LoadTable::default(), &readers, &all, true, 5);

    assert_eq!(place.copy_from, Some(leaving));
}

/// A domain was taken back seconds ago. Its engines are gone, but what they said last still counts, and every prompt with
/// a part that they kept waits 300 ms for a copy that does not come. One such wait tells the entry.
#[test]
fn an_engine_that_left_is_not_copied_from_once_a_copy_was_waited_for_in_vain() {
    let all = rows(7, EngineStage::Prefill);
    let mut loads = LoadTable::default();
    let home = place_copying(&loads, &all, 5).endpoint;
    let readers: EngineRows = all.iter().filter(|(name, _)| *name != home).cloned().collect();
    let leaving = ServingEndpoint {
        phase: EndpointPhase::Draining,
        ..numbered(1, "a", EngineStage::Prefill)
    };
    let (expected, in_vain) = (Duration::from_millis(40), Duration::from_millis(305));

    assert!(is_source_lost(&leaving, expected, in_vain));
    loads.note_unreachable(at(0), &home);
    let place = place_with(&loads, &readers, &all, true, 5);

    assert_ne!(place.copy_from, Some(home));
    assert!(!is_source_lost(&leaving, expected, Duration::from_millis(60)));
    let staying = numbered(1, "a", EngineStage::Prefill);
    assert!(!is_source_lost(&staying, expected, in_vain));
}

/// The engine that kept a part has just failed. A copy from it would have to be waited for in vain.
#[test]
fn nothing_is_copied_from_an_engine_that_has_failed() {
    let readers = rows(7, EngineStage::Prefill);
    let mut loads = LoadTable::default();
    let home = place_copying(&loads, &readers, 5).endpoint;

    loads.note_failure(at(0), &home);
    let place = place_copying(&loads, &readers, 5);

    assert_ne!(place.endpoint, home);
    assert_ne!(place.copy_from, Some(home));
}

/// Short questions come in the same burst as long prompts. Had they their prompts read apart, they would wait behind the
/// long ones, for a second where their own reading takes one millisecond.
#[test]
fn a_short_prompt_is_read_where_its_answer_is_made() {
    let shape = |tokens| PromptShape {
        prompt_tokens: tokens,
        ..prompt(5, 99)
    };

    assert!(is_prefilled_by_decoder(&shape(220), Some(0.005)));
    assert!(!is_prefilled_by_decoder(&shape(9_000), Some(0.005)));
    assert!(!is_prefilled_by_decoder(&shape(220), Some(0.05)));
    assert!(!is_prefilled_by_decoder(&shape(220), None));
}

/// A prompt has no part that others share. There is nothing to copy, and any engine will do.
#[test]
fn a_prompt_of_its_own_is_copied_from_nowhere() {
    let readers: EngineRows = vec![(name("e"), numbered(1, "a", EngineStage::Prefill))];
    let mut shape = prompt(5, 99);
    shape.parts.remove(0);
    let domain = DomainName::new("a");
    let loads = LoadTable::default();
    let view = PlacementView {
        now: at(0),
        domain: &domain,
        loads: &loads,
    };
    let link = link();
    let engines = PromptEngines {
        prefill_engines: &candidates(&readers),
        sources: &candidates(&readers),
        pace: None,
        link: Some(&link),
    };

    let place = place_prompt(&view, &engines, &shape).expect("there is an engine");

    assert_eq!(place.copy_from, None);
}
