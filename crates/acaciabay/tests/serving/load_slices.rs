//! Tests of slices, of the line of engines, and of the check of an engine's memory.

use std::collections::BTreeMap;
use std::time::Duration;

use acaciabay::core::name::{DomainName, HostName};
use acaciabay::core::serving::endpoint_load::{EndpointWork, LoadTable};
use acaciabay::core::serving::endpoint_registry::EngineStage;
use acaciabay::core::serving::load_slice::{
    EngineLine, LINE_PPM, LineEndpoint, LineLayout, LoadSlice, SliceLedger, divide_slices,
};
use acaciabay::ops::engine_room::with_memory;
use acaciabay::ops::place_call::{PlacementView, SliceView};

use crate::fixtures::{EngineRows, at, candidates, name, rows};

fn demand(calls: &[f64]) -> BTreeMap<HostName, f64> {
    let row = |(number, calls): (usize, &f64)| (HostName::new(format!("h{number}")), *calls);
    calls.iter().enumerate().map(row).collect()
}

fn line_endpoints(rows: &EngineRows) -> Vec<LineEndpoint<'_>> {
    let endpoint = |(name, row)| LineEndpoint {
        name,
        domain: row,
        slowdown: 1.0,
    };
    rows.iter().map(|(name, row)| endpoint((name, &row.domain))).collect()
}

/// Guards against boundaries that move with each random change of the call rate: entries would always use engines of whose
/// work they know little.
#[test]
fn slices_move_only_when_a_share_changes_by_a_quarter() {
    let before = divide_slices(&demand(&[10.0, 10.0, 20.0]), &BTreeMap::new());
    let lengths: Vec<u32> = before.values().map(|slice| slice.end_ppm - slice.start_ppm).collect();

    assert_eq!(lengths, [250_000, 250_000, 500_000]);
    assert_eq!(divide_slices(&demand(&[11.0, 10.0, 19.0]), &before), before);
    assert_ne!(divide_slices(&demand(&[20.0, 10.0, 10.0]), &before), before);
}

/// Guards against an entry without a slice: one that has had no calls must have engines for its first ones.
#[test]
fn idle_entry_gets_a_quarter_of_an_even_slice() {
    let slices = divide_slices(&demand(&[0.0, 10.0, 10.0, 10.0]), &BTreeMap::new());
    let first = slices[&HostName::new("h0")];

    assert!(first.end_ppm > LINE_PPM / 4 / 5, "{first:?}");
    assert_eq!(slices[&HostName::new("h3")].end_ppm, LINE_PPM);
}

/// Guards against engines that no entry, or more than one, tries first.
#[test]
fn each_engine_is_in_one_slice() {
    let rows = rows(20, EngineStage::Prefill);
    let slices = divide_slices(&demand(&[3.0, 1.0, 2.0, 5.0]), &BTreeMap::new());
    let lines = slices
        .values()
        .map(|slice| EngineLine::new(&line_endpoints(&rows), LineLayout::Together, *slice));
    let lines: Vec<_> = lines.collect();

    for (name, _) in &rows {
        assert_eq!(lines.iter().filter(|line| line.contains(name)).count(), 1, "{name}");
    }
}

/// Guards against a slice for an entry that has gone: its engines would stay unused.
#[test]
fn slices_of_lost_entries_go_to_the_others() {
    let (service, hosts) = ("llm".into(), ["h0", "h1"].map(HostName::new));
    let mut ledger = SliceLedger::default();
    for host in &hosts {
        ledger.record(at(0), &service, host, 10);
    }

    assert_eq!(ledger.slices_of(&hosts[1]).next(), Some((&service, LoadSlice::WHOLE)));
    assert_eq!(ledger.divide(at(1_000), &[&hosts[0], &hosts[1]]).len(), 1);
    assert_ne!(ledger.slices_of(&hosts[1]).next(), Some((&service, LoadSlice::WHOLE)));
    assert_eq!(ledger.divide(at(11_000), &[&hosts[1]]).len(), 1);
    assert_eq!(ledger.slices_of(&hosts[1]).next(), Some((&service, LoadSlice::WHOLE)));
}

/// Guards against an engine that crashes with all its calls, because another one exceeds its memory.
#[test]
fn engine_without_memory_gets_no_call() {
    let rows = rows(2, EngineStage::Decode);
    let line = EngineLine::new(&line_endpoints(&rows), LineLayout::ByDomain, LoadSlice::WHOLE);
    let mut loads = LoadTable::default();
    let held = EndpointWork {
        calls: 1,
        held_tokens: 95_000,
        unread_tokens: 0,
    };
    loads.begin(&name("e0"), held);
    let domain = DomainName::new("a");
    let slice = SliceView {
        line: &line,
        draw: 1,
        work_time: Duration::from_secs(1),
        memory_tokens: 100_000,
    };
    let view = PlacementView {
        now: at(0),
        domain: &domain,
        loads: &loads,
        permitted: &[],
        slice: Some(slice),
    };
    let roomy = |tokens| with_memory(&view, &candidates(&rows), tokens).len();

    assert_eq!((roomy(5_000), roomy(5_001), roomy(100_001)), (2, 1, 0));
}
