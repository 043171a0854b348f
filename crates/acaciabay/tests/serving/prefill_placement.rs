//! Tests of the choice of a prefill engine, and of copying cached parts instead of prefilling them again.

use std::collections::BTreeSet;
use std::time::Duration;

use acaciabay::core::name::{DomainName, EndpointName};
use acaciabay::core::serving::config::KvCacheLink;
use acaciabay::core::serving::endpoint_load::{EndpointWork, LoadTable};
use acaciabay::core::serving::endpoint_registry::{EndpointPhase, EngineStage, ServingEndpoint};
use acaciabay::core::serving::endpoint_speed::StatedReport;
use acaciabay::core::serving::load_report::StatedPace;
use acaciabay::core::serving::prefill_model::PrefillModel;
use acaciabay::core::serving::prompt::PromptShape;
use acaciabay::ops::place_call::PlacementView;
use acaciabay::ops::place_prompt::{PromptEngines, PromptPlacement, is_copy_source_gone, place_prompt};
use acaciabay::ops::split_call::is_prefilled_by_decoder;
use acaciabay::util::number::MAX_TIME;

use crate::fixtures::{EngineRows, at, candidates, link, name, numbered, prompt, rows, unread};

/// The state of an entry that has no slice of the engines.
fn unsliced_view<'table>(domain: &'table DomainName, loads: &'table LoadTable) -> PlacementView<'table> {
    PlacementView {
        now: at(0),
        domain,
        loads,
        permitted: &[],
        slice: None,
    }
}

/// Places a prompt with the shared part `shared` among engines that cannot copy cached parts.
fn place(loads: &LoadTable, rows: &EngineRows, shared: u64) -> EndpointName {
    place_with(loads, rows, &[], false, shared).endpoint
}

/// Places a prompt with the shared part `shared` among engines that can copy cached parts from each other.
fn place_copying(loads: &LoadTable, prefill_engines: &EngineRows, shared: u64) -> PromptPlacement {
    place_with(loads, prefill_engines, prefill_engines, true, shared)
}

fn place_with(
    loads: &LoadTable,
    prefill_engines: &EngineRows,
    sources: &[(EndpointName, ServingEndpoint)],
    copies: bool,
    shared: u64,
) -> PromptPlacement {
    let domain = DomainName::new("a");
    let view = unsliced_view(&domain, loads);
    let link = link();
    let engines = PromptEngines {
        prefill_engines: &candidates(prefill_engines),
        home_engines: &candidates(prefill_engines),
        sources: &candidates(sources),
        pace: None,
        model: None,
        link: copies.then_some(&link),
    };
    place_prompt(&view, &engines, &prompt(shared, 99)).expect("there are engines")
}

/// Several entries get requests with the same long shared part. If their choices differed, as many engines would
/// prefill the part as there are entries.
#[test]
fn entries_agree_on_the_engine_that_prefills_a_part_first() {
    let rows = rows(7, EngineStage::Prefill);

    let first = place(&LoadTable::default(), &rows, 5);

    let mut other = LoadTable::default();
    other.begin(&first, unread(20_000));
    assert_eq!(place(&other, &rows, 5), first);
}

/// Guards against an entry that ends at a prompt, since the figures of a link in the configuration or the length that a caller
/// names make an estimate longer than a time can be.
#[test]
fn endless_estimates_are_bounded() {
    let (domain, loads, rows) = (
        DomainName::new("a"),
        LoadTable::default(),
        rows(3, EngineStage::Prefill),
    );
    let mut keeper = loads.clone();
    keeper.record_prefill(&rows[0].0, &prompt(5, 1).parts, u64::MAX);
    let mut endless = prompt(5, u64::MAX);
    endless.prompt_tokens = u64::MAX;
    for slow in [0.0, f64::MIN_POSITIVE, 1e308] {
        let link = KvCacheLink {
            token_bytes: u64::MAX,
            bits_per_second: slow,
        };
        let engines = PromptEngines {
            prefill_engines: &candidates(&rows[1..]),
            home_engines: &candidates(&rows),
            sources: &candidates(&rows[..1]),
            pace: Some(1e300),
            model: None,
            link: Some(&link),
        };

        let placement = place_prompt(&unsliced_view(&domain, &keeper), &engines, &endless).expect("there are engines");

        assert!(
            placement.wait <= MAX_TIME && placement.copy_time <= MAX_TIME,
            "{placement:?}"
        );
    }
}

/// A burst of requests has one shared part. If requests moved to another engine as soon as the queue of the first grew
/// a little, each engine would prefill the part again, and every queue would grow by it.
#[test]
fn prompt_waits_in_a_queue_before_its_part_is_prefilled_again() {
    let rows = rows(7, EngineStage::Prefill);
    let mut loads = LoadTable::default();
    let home = place(&loads, &rows, 5);
    loads.record_prefill(&home, &prompt(5, 1).parts, 400_000);

    loads.begin(&home, unread(60_000));
    assert_eq!(place(&loads, &rows, 5), home);

    loads.begin(&home, unread(400_000));
    assert_ne!(place(&loads, &rows, 5), home);
}

/// An engine fails every call. If prompts were still sent there because it has their parts cached, one call after
/// another would fail.
#[test]
fn failing_engine_is_avoided_while_others_exist() {
    let rows = rows(3, EngineStage::Prefill);
    let mut loads = LoadTable::default();
    let home = place(&loads, &rows, 5);

    loads.record_failure(at(0), &home);
    assert_ne!(place(&loads, &rows, 5), home);

    for (name, _) in &rows {
        loads.record_failure(at(0), name);
    }
    assert_eq!(place(&loads, &rows, 5), home);
}

/// Many requests have the same long part, and its home has a second of queued work. Another engine copies the part in
/// tens of milliseconds and begins at once; prefilling it again there would take a third of a second.
#[test]
fn part_is_copied_when_its_home_is_overloaded() {
    let prefill_engines = rows(7, EngineStage::Prefill);
    let mut loads = LoadTable::default();
    let home = place_copying(&loads, &prefill_engines, 5).endpoint;
    loads.record_prefill(&home, prompt(5, 99).shared_parts(), 400_000);

    loads.begin(&home, unread(60_000));
    let other = place_copying(&loads, &prefill_engines, 5);

    assert_ne!(other.endpoint, home);
    assert_eq!(other.copy_from, Some(home));
    // The prompt's own 3,000 tokens, plus a margin in case the home no longer has the part.
    assert!(other.unread_tokens < 4_000, "{}", other.unread_tokens);
    assert!(other.wait.as_millis() < 120, "{:?}", other.wait);
}

/// The home of a part has a short queue. If prompts spread to more engines than needed, several of them would prefill
/// the part before any could copy it.
#[test]
fn prompt_stays_at_the_home_of_its_part_while_the_queue_is_short() {
    let prefill_engines = rows(7, EngineStage::Prefill);
    let mut loads = LoadTable::default();
    let home = place_copying(&loads, &prefill_engines, 5).endpoint;

    loads.begin(&home, unread(30_000));

    assert_eq!(place_copying(&loads, &prefill_engines, 5).endpoint, home);
}

/// A part is cached at its home, which has a third of a second of queued work, and other engines are idle. A long
/// prompt that waited there would be late, while a copy takes hundredths of a second.
#[test]
fn cached_part_is_copied_when_other_engines_are_idle() {
    let prefill_engines = rows(7, EngineStage::Prefill);
    let mut loads = LoadTable::default();
    let home = place_copying(&loads, &prefill_engines, 5).endpoint;
    loads.record_prefill(&home, prompt(5, 99).shared_parts(), 400_000);

    loads.begin(&home, unread(17_000));
    let other = place_copying(&loads, &prefill_engines, 5);

    assert_ne!(other.endpoint, home);
    assert_eq!(other.copy_from, Some(home));
}

/// Every engine has work and a full cache. A part that is copied to one evicts another, which must be prefilled again
/// in the middle of the burst. A prompt therefore waits longer for the engine that has its part cached.
#[test]
fn prompt_waits_for_its_cached_part_when_all_engines_are_busy() {
    let prefill_engines = rows(7, EngineStage::Prefill);
    let mut loads = LoadTable::default();
    let home = place_copying(&loads, &prefill_engines, 5).endpoint;
    loads.record_prefill(&home, prompt(5, 99).shared_parts(), 400_000);
    for (name, _) in &prefill_engines {
        loads.begin(name, unread(1_000));
    }

    loads.begin(&home, unread(17_000));

    assert_eq!(place_copying(&loads, &prefill_engines, 5).endpoint, home);
}

/// With two hundred entries and as many engines, an entry rarely uses the same engine twice. If it assumed the global
/// default pace for engines that it has not measured, it would take a queue of one second for half a second and send
/// short prompts behind it.
#[test]
fn unmeasured_engine_is_assumed_to_have_the_pace_of_its_service() {
    let prefill_engines = rows(3, EngineStage::Prefill);
    let (loads, domain, link) = (LoadTable::default(), DomainName::new("a"), link());
    let view = unsliced_view(&domain, &loads);
    let expected = |pace| {
        let engines = PromptEngines {
            prefill_engines: &candidates(&prefill_engines),
            home_engines: &candidates(&prefill_engines),
            sources: &candidates(&prefill_engines),
            pace,
            model: None,
            link: Some(&link),
        };
        let place = place_prompt(&view, &engines, &prompt(5, 99)).expect("there are engines");
        place.wait.as_millis()
    };

    // 16,000 tokens at 0.1 ms each.
    assert_eq!(expected(Some(0.1)), 1_600);
    assert!(expected(None) < 400);
}

/// No engine has prefilled the part of a long prompt yet. If the part were assumed to be cached, the prompt would count
/// as a few tokens, and short prompts would be queued behind it for a second.
#[test]
fn uncached_part_counts_in_full() {
    let prefill_engines = rows(7, EngineStage::Prefill);

    let place = place_copying(&LoadTable::default(), &prefill_engines, 5);

    assert_eq!(place.unread_tokens, prompt(5, 99).prompt_tokens);
}

/// Entries whose view of each other's work is out of date find the same engines idle, for prompts without shared parts.
/// If they took the first of the list, all of them would send to one engine at once.
#[test]
fn prompts_without_shared_parts_go_to_different_engines() {
    let prefill_engines = rows(7, EngineStage::Prefill);
    let (loads, domain) = (LoadTable::default(), DomainName::new("elsewhere"));
    let view = unsliced_view(&domain, &loads);
    let engines = PromptEngines {
        prefill_engines: &candidates(&prefill_engines),
        home_engines: &candidates(&prefill_engines),
        sources: &candidates(&prefill_engines),
        pace: None,
        model: None,
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

/// A new engine becomes the home of some parts by hash and has none of them cached. It copies each from the previous
/// home instead of prefilling thousands of tokens again.
#[test]
fn new_engine_copies_from_the_previous_home() {
    let all = rows(7, EngineStage::Prefill);
    let home = place_copying(&LoadTable::default(), &all, 5).endpoint;
    let before: EngineRows = all.iter().filter(|(name, _)| *name != home).cloned().collect();
    let previous_home = place_copying(&LoadTable::default(), &before, 5).endpoint;

    let place = place_copying(&LoadTable::default(), &all, 5);

    assert_eq!((place.endpoint, place.copy_from), (home, Some(previous_home)));
}

/// An engine that is about to be reclaimed takes no new calls but still answers other engines for a while. Its cached
/// parts are copied before it is gone.
#[test]
fn parts_are_copied_from_a_draining_engine() {
    let all = rows(7, EngineStage::Prefill);
    let draining = place_copying(&LoadTable::default(), &all, 5).endpoint;
    let prefill_engines: EngineRows = all.iter().filter(|(name, _)| *name != draining).cloned().collect();

    let place = place_with(&LoadTable::default(), &prefill_engines, &all, true, 5);

    assert_eq!(place.copy_from, Some(draining));
}

/// A failure domain was reclaimed seconds ago. Its engines are gone, but their last reports still count, and every
/// prompt with a part that they had cached waits 300 ms for a copy that never arrives. One such wait must be enough for
/// the entry to stop copying from the engine.
#[test]
fn engine_is_not_a_copy_source_after_a_copy_has_failed() {
    let all = rows(7, EngineStage::Prefill);
    let mut loads = LoadTable::default();
    let home = place_copying(&loads, &all, 5).endpoint;
    let prefill_engines: EngineRows = all.iter().filter(|(name, _)| *name != home).cloned().collect();
    let leaving = ServingEndpoint {
        phase: EndpointPhase::Draining,
        ..numbered(1, "a", EngineStage::Prefill)
    };
    let (expected, elapsed) = (Duration::from_millis(40), Duration::from_millis(305));

    assert!(is_copy_source_gone(&leaving, expected, elapsed));
    loads.record_unreachable(at(0), &home);
    let place = place_with(&loads, &prefill_engines, &all, true, 5);

    assert_ne!(place.copy_from, Some(home));
    assert!(!is_copy_source_gone(&leaving, expected, Duration::from_millis(60)));
    let staying = numbered(1, "a", EngineStage::Prefill);
    assert!(!is_copy_source_gone(&staying, expected, elapsed));
}

/// The engine that has a part cached has just failed. A prompt would wait in vain for a copy from it.
#[test]
fn failed_engine_is_not_a_copy_source() {
    let prefill_engines = rows(7, EngineStage::Prefill);
    let mut loads = LoadTable::default();
    let home = place_copying(&loads, &prefill_engines, 5).endpoint;

    loads.record_failure(at(0), &home);
    let place = place_copying(&loads, &prefill_engines, 5);

    assert_ne!(place.endpoint, home);
    assert_ne!(place.copy_from, Some(home));
}

/// Short prompts arrive in the same burst as long ones. If they were sent to a prefill engine, they would wait behind
/// the long ones, for a second where their own prefill takes one millisecond.
#[test]
fn short_prompt_is_prefilled_by_the_decode_engine() {
    let shape = |tokens| PromptShape {
        prompt_tokens: tokens,
        ..prompt(5, 99)
    };

    assert!(is_prefilled_by_decoder(&shape(220), Some(0.005)));
    assert!(!is_prefilled_by_decoder(&shape(9_000), Some(0.005)));
    assert!(!is_prefilled_by_decoder(&shape(220), Some(0.05)));
    assert!(!is_prefilled_by_decoder(&shape(220), None));
}

/// A prompt without shared parts has nothing to copy, and any engine will do.
#[test]
fn prompt_without_shared_parts_has_no_copy_source() {
    let prefill_engines: EngineRows = vec![(name("e"), numbered(1, "a", EngineStage::Prefill))];
    let mut shape = prompt(5, 99);
    shape.parts.remove(0);
    let domain = DomainName::new("a");
    let loads = LoadTable::default();
    let view = unsliced_view(&domain, &loads);
    let link = link();
    let engines = PromptEngines {
        prefill_engines: &candidates(&prefill_engines),
        home_engines: &candidates(&prefill_engines),
        sources: &candidates(&prefill_engines),
        pace: None,
        model: None,
        link: Some(&link),
    };

    let place = place_prompt(&view, &engines, &shape).expect("there is an engine");

    assert_eq!(place.copy_from, None);
}

/// An engine takes five times as long as usual, with nothing queued. Prompts sent there would take longer than behind the
/// short queue of another one.
#[test]
fn expected_time_follows_the_model_and_the_speed_of_each_engine() {
    let prefill_engines = rows(3, EngineStage::Prefill);
    let domain = DomainName::new("a");
    let mut model = PrefillModel::default();
    for _ in 0..20 {
        model.record(10_000, Duration::from_millis(400), 1.0, 0.04);
    }
    let place_in = |loads: &LoadTable| {
        let view = unsliced_view(&domain, loads);
        let engines = PromptEngines {
            prefill_engines: &candidates(&prefill_engines),
            home_engines: &candidates(&prefill_engines),
            sources: &[],
            pace: Some(0.01),
            model: Some(&model),
            link: None,
        };
        place_prompt(&view, &engines, &prompt(5, 99)).expect("there are engines")
    };
    let mut loads = LoadTable::default();

    let first = place_in(&loads);
    let pace = StatedPace::from_percent(500).expect("it is possible");
    let slow = StatedReport { pace, at: at(0) };
    let birth = prefill_engines[0].1.incarnation;
    loads.speeds.record_stated(&first.endpoint, birth, slow);
    let second = place_in(&loads);

    // 16,000 tokens at 0.04 ms each; with the pace alone it would be a quarter of it.
    assert!(
        first.wait.abs_diff(Duration::from_millis(640)) < Duration::from_millis(20),
        "{:?}",
        first.wait
    );
    assert_ne!(second.endpoint, first.endpoint);
}

/// An entry holds a permit for a limited engine now and then. If the homes of a part moved each time, engines would prefill it
/// again and again.
#[test]
fn an_engine_that_may_not_be_used_for_a_moment_remains_a_home() {
    let all = rows(7, EngineStage::Prefill);
    let domain = DomainName::new("a");
    let mut loads = LoadTable::default();
    let place_among = |loads: &LoadTable, admitted: &EngineRows| {
        let view = unsliced_view(&domain, loads);
        let engines = PromptEngines {
            prefill_engines: &candidates(admitted),
            home_engines: &candidates(&all),
            sources: &[],
            pace: None,
            model: None,
            link: None,
        };
        let place = place_prompt(&view, &engines, &prompt(5, 99));
        place.expect("there are engines").endpoint
    };
    let without = |excluded: &[&EndpointName]| -> Vec<_> {
        let admitted = all.iter().filter(|(name, _)| !excluded.contains(&name));
        admitted.cloned().collect()
    };
    let first = place_among(&loads, &all);
    let second = place_among(&loads, &without(&[&first]));
    let third = place_among(&loads, &without(&[&first, &second]));
    // Longer than the cost of a second home, shorter than that of an engine that is none.
    let queue = EndpointWork {
        unread_tokens: 90_000,
        calls: 1,
        held_tokens: 0,
    };
    loads.begin(&second, queue);
    loads.begin(&third, queue);

    let chosen = place_among(&loads, &without(&[&first]));

    assert!(chosen == second || chosen == third, "{chosen}");
}
