//! Speeds of endpoints on the wire.

use std::time::Duration;

use acacia_wire::generated::serving::EndpointPace;
use acacia_wire::{endpoint_pace_from_wire, endpoint_pace_to_wire, endpoint_speed_from_wire, endpoint_speed_to_wire};
use acaciabay::core::clock::BootTime;
use acaciabay::core::serving::endpoint_registry::EndpointIncarnation;
use acaciabay::core::serving::endpoint_speed::{EndpointSpeed, PaceReport, PrefillSums, SpeedRow, StatedReport};
use acaciabay::core::serving::load_report::StatedPace;

/// Hosts' clocks differ. If times were sent as they are, a stated pace would count for ever or never on another host.
#[test]
fn the_age_of_a_stated_pace_arrives_whatever_the_clocks_say() {
    let (here, there) = (BootTime::from_millis(900_000), BootTime::from_millis(5_000));
    let pace = StatedPace::from_percent(250).expect("it is possible");
    let stated = |now| Some(StatedReport::aged(now, pace, Duration::from_millis(300)));
    let report = |now| PaceReport {
        endpoint: "i-7".into(),
        birth: EndpointIncarnation(17),
        stated: stated(now),
        sums: PrefillSums {
            prefills: 2,
            took: Duration::from_millis(170),
            expected: Duration::from_millis(100),
            expected_stated: Duration::from_millis(250),
        },
    };
    let row = SpeedRow {
        endpoint: "i-7".into(),
        birth: EndpointIncarnation(17),
        speed: EndpointSpeed {
            lasting: 1.7_f64.ln(),
            beyond_stated: 0.68_f64.ln(),
            stated: stated(here),
        },
    };

    let received = endpoint_pace_from_wire(there, &endpoint_pace_to_wire(here, &report(here)));
    let told = endpoint_speed_from_wire(there, &endpoint_speed_to_wire(here, &row)).expect("it is well formed");

    assert_eq!(received.expect("it is well formed"), report(there));
    assert_eq!(told.speed.stated, stated(there));
    assert!((told.speed.lasting - row.speed.lasting).abs() < 0.01);
    assert!((told.speed.beyond_stated - row.speed.beyond_stated).abs() < 0.01);
    let impossible = EndpointPace {
        stated_percent: 10_001,
        ..endpoint_pace_to_wire(here, &report(here))
    };
    assert!(endpoint_pace_from_wire(there, &impossible).is_err());
}
