//! What endpoints ask of one entry in the heads of their answers: to send nothing for some time, or nothing more at all.
//!
//! An endpoint that turns a request away may say for how long it wants none from this host ([`RestNotice`]). One that leaves
//! says so in all its answers, maybe before its reports do ([`DepartureNotice`]). [`RestTable`] keeps both for as long as they
//! hold, since the calls that come later have not seen the answer. `docs/design/endpoint-rest.md` gives the reasons.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::clock::BootTime;
use crate::core::name::EndpointName;

/// Longest rest. An endpoint that names a longer one by mistake is tried again after this time.
const MAX_REST: Duration = Duration::from_secs(3_600);
/// Entries that were asked to rest at the same time return over up to this fraction of the rest.
const ENTRY_RETURN_SPREAD: f64 = 0.1;
/// Time for which an endpoint that leaves may still be sent what was on its way to it, or a stream that no other can go on
/// with.
const DEPARTURE_TIME: Duration = Duration::from_millis(300);
/// Refusals that were under way together move the end of a rest by less than this.
const MIN_EXTENSION: Duration = Duration::from_millis(100);

/// What an answer says about the time in which its endpoint wants no requests from this host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RestNotice {
    /// Nothing.
    #[default]
    Absent,
    /// The endpoint wants none for this time from its answer on.
    For(Duration),
    /// A time that cannot be read.
    Unreadable,
}

impl RestNotice {
    /// Reads a number of seconds, which may have a fraction. One beyond the longest rest counts as that.
    pub fn from_seconds(text: &str) -> Self {
        // `inf` and `NaN` are numbers to the parser, but no decimal numbers.
        let is_decimal = text.starts_with(|first: char| first.is_ascii_digit() || first == '.');
        match text.parse::<f64>() {
            // A number of seconds too large for a duration is bounded as a number first.
            Ok(seconds) if is_decimal => Self::lasting(Duration::from_secs_f64(seconds.min(MAX_REST.as_secs_f64()))),
            _ => Self::Unreadable,
        }
    }

    /// Returns the notice of an answer that asks for this time, or for the longest rest if that is shorter.
    pub fn lasting(time: Duration) -> Self {
        Self::For(time.min(MAX_REST))
    }

    /// Returns the notice of an answer that gives both: the longer time, if one of them can be read.
    #[must_use]
    pub fn longer(self, other: Self) -> Self {
        match (self, other) {
            (Self::For(one), Self::For(other)) => Self::For(one.max(other)),
            (Self::For(time), _) | (_, Self::For(time)) => Self::For(time),
            (Self::Absent, other) => other,
            (Self::Unreadable, _) => Self::Unreadable,
        }
    }
}

/// What an answer says about the departure of its endpoint, the weakest statement first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum DepartureNotice {
    /// Nothing.
    #[default]
    Absent,
    /// Something that cannot be read.
    Unreadable,
    /// The endpoint leaves.
    Leaving,
}

impl DepartureNotice {
    /// Reads a flag: `1` if the endpoint leaves, `0` if it does not.
    pub fn read(text: &str) -> Self {
        match text.trim() {
            "1" => Self::Leaving,
            "0" => Self::Absent,
            _ => Self::Unreadable,
        }
    }
}

/// What the head of an answer asks of this entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RestRequest {
    /// The time in which the endpoint wants no requests.
    pub rest: RestNotice,
    /// Whether it leaves.
    pub departure: DepartureNotice,
}

/// What an answer changes in what is known of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestChange {
    /// Nothing that matters to others.
    Nothing,
    /// A rest lasts longer than was known.
    Extended,
    /// A rest or a departure begins.
    Begun,
}

/// Whether an endpoint may be sent requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestState {
    /// It may.
    Awake,
    /// It wants none until this time.
    Resting {
        /// End of the rest.
        until: BootTime,
    },
    /// It leaves, and takes only what was on its way and streams that no other endpoint can go on with.
    Departing,
    /// It leaves, and takes nothing more.
    Departed,
}

#[derive(Clone, Copy, Debug)]
struct RestRow<Incarnation> {
    /// When this entry returns.
    until: BootTime,
    /// The end that others know of, as the endpoint has asked for it.
    told_until: BootTime,
    /// The incarnation that leaves, and when this entry learned of it.
    departure: Option<(Incarnation, BootTime)>,
}

/// The endpoints that have asked this entry for rest or have said that they leave.
///
/// A rest holds for the name of an endpoint, since one that starts again while it is overloaded still needs it. A departure
/// holds for one incarnation.
#[derive(Clone, Debug)]
pub struct RestTable<Incarnation> {
    rows: BTreeMap<EndpointName, RestRow<Incarnation>>,
}

impl<Incarnation> Default for RestTable<Incarnation> {
    fn default() -> Self {
        Self { rows: BTreeMap::new() }
    }
}

impl<Incarnation: Copy + Ord> RestTable<Incarnation> {
    /// Records what an answer that came at `now` asks. `draw` is a random number from 0 to 1 by which entries return at
    /// different times. Returns what this changes.
    pub fn record(
        &mut self,
        now: BootTime,
        (name, incarnation): (&EndpointName, Incarnation),
        request: RestRequest,
        draw: f64,
    ) -> RestChange {
        let rest = match request.rest {
            RestNotice::For(time) if !time.is_zero() => Some(time.min(MAX_REST)),
            RestNotice::For(_) | RestNotice::Absent | RestNotice::Unreadable => None,
        };
        let leaves = request.departure == DepartureNotice::Leaving;
        if rest.is_none() && !leaves {
            return RestChange::Nothing;
        }
        let row = self.rows.entry(name.clone()).or_insert(RestRow {
            until: BootTime::default(),
            told_until: BootTime::default(),
            departure: None,
        });
        let mut change = RestChange::Nothing;
        if let Some(rest) = rest {
            let until = now + rest.mul_f64(1.0 + ENTRY_RETURN_SPREAD * draw);
            if now >= row.until {
                change = RestChange::Begun;
            } else if now + rest >= row.told_until + MIN_EXTENSION {
                change = RestChange::Extended;
            }
            if change != RestChange::Nothing {
                row.told_until = now + rest;
            }
            // A later, shorter rest does not end an earlier one.
            row.until = row.until.max(until);
        }
        if leaves && row.departure.is_none_or(|(known, _)| known < incarnation) {
            row.departure = Some((incarnation, now));
            change = RestChange::Begun;
        }
        change
    }

    /// Returns whether an incarnation of an endpoint may be sent requests at `now`.
    pub fn state(&self, now: BootTime, (name, incarnation): (&EndpointName, Incarnation)) -> RestState {
        let Some(row) = self.rows.get(name) else {
            return RestState::Awake;
        };
        match row.departure {
            Some((leaving, since)) if incarnation <= leaving => {
                if now < row.until || now.since(since) >= DEPARTURE_TIME {
                    RestState::Departed
                } else {
                    RestState::Departing
                }
            }
            Some(_) | None if now < row.until => RestState::Resting { until: row.until },
            Some(_) | None => RestState::Awake,
        }
    }

    /// Returns what an incarnation of an endpoint still asks for at `now`: the time that is left, and whether it leaves.
    pub fn remaining(&self, now: BootTime, endpoint: (&EndpointName, Incarnation)) -> RestRequest {
        match self.state(now, endpoint) {
            RestState::Awake => RestRequest::default(),
            RestState::Resting { until } => RestRequest {
                rest: RestNotice::For(until.since(now)),
                ..RestRequest::default()
            },
            RestState::Departing | RestState::Departed => RestRequest {
                departure: DepartureNotice::Leaving,
                ..RestRequest::default()
            },
        }
    }

    /// Returns true if no endpoint has asked for anything that still matters.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns true if an endpoint may be chosen for a call at `now`.
    pub fn admits(&self, now: BootTime, endpoint: (&EndpointName, Incarnation)) -> bool {
        self.state(now, endpoint) == RestState::Awake
    }

    /// Returns true if a request to an endpoint that was chosen before may still be written at `now`.
    pub fn may_write(&self, now: BootTime, endpoint: (&EndpointName, Incarnation)) -> bool {
        matches!(self.state(now, endpoint), RestState::Awake | RestState::Departing)
    }

    /// Returns when the first of these endpoints can be sent requests again, if all of them rest at `now` and there are any.
    pub fn common_rest<'name>(
        &self,
        now: BootTime,
        endpoints: impl IntoIterator<Item = (&'name EndpointName, Incarnation)>,
    ) -> Option<BootTime> {
        let mut first: Option<BootTime> = None;
        for endpoint in endpoints {
            match self.state(now, endpoint) {
                RestState::Resting { until } => first = Some(first.map_or(until, |known| known.min(until))),
                RestState::Departing | RestState::Departed => {}
                RestState::Awake => return None,
            }
        }
        first
    }

    /// Forgets rests that are over, and endpoints for which `is_present` returns false.
    pub fn retain(&mut self, now: BootTime, is_present: impl Fn(&EndpointName) -> bool) {
        self.rows
            .retain(|name, row| is_present(name) && (now < row.until || row.departure.is_some()));
    }
}
