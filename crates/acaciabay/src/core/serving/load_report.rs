//! The load that endpoints state in the heads of their answers.

/// What an endpoint says of its load at the time of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait at it.
    pub waiting: u32,
    /// Requests that it can run at once; above 0.
    pub slots: u32,
    /// How long work takes on it at present, if it says so.
    pub pace: Option<StatedPace>,
}

/// How long work takes on an endpoint, in percent of the usual: from 1 to [`StatedPace::MAX_PERCENT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatedPace(u16);

impl StatedPace {
    /// Largest percentage. No endpoint that serves at all takes a hundred times as long as usual.
    pub const MAX_PERCENT: u16 = 10_000;

    /// Returns the pace of this percentage, or `None` if it is impossible.
    pub fn from_percent(percent: u32) -> Option<Self> {
        let percent = u16::try_from(percent).ok()?;
        (1..=Self::MAX_PERCENT).contains(&percent).then_some(Self(percent))
    }

    /// Returns the percentage.
    pub const fn percent(self) -> u16 {
        self.0
    }

    /// Returns the time that work takes as a factor of the usual.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

/// What the head of an answer says of the endpoint's load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadNotice {
    /// Nothing.
    #[default]
    Absent,
    /// This load.
    Stated(LoadReport),
    /// A load that cannot be read or cannot be. It is ignored as a whole.
    Unreadable,
}

impl LoadNotice {
    /// Reads `RUNNING,WAITING,SLOTS` or `RUNNING,WAITING,SLOTS,PACE`, all in decimal; the pace may have a fraction, which is
    /// rounded.
    pub fn read(text: &str) -> Self {
        read_report(text).map_or(Self::Unreadable, Self::Stated)
    }
}

fn read_report(text: &str) -> Option<LoadReport> {
    let mut values = text.split(',').map(str::trim);
    let mut count = || values.next()?.parse::<u32>().ok();
    let (running, waiting, slots) = (count()?, count()?, count()?);
    let pace = match values.next() {
        Some(text) => Some(read_pace(text)?),
        None => None,
    };
    let is_whole = values.next().is_none();
    (slots > 0 && is_whole).then_some(LoadReport {
        running,
        waiting,
        slots,
        pace,
    })
}

fn read_pace(text: &str) -> Option<StatedPace> {
    let percent: f64 = text.parse().ok()?;
    // Comparisons with what is no number are false.
    let is_possible = percent > 0.0 && percent <= f64::from(StatedPace::MAX_PERCENT);
    let whole = is_possible.then(|| percent.round().max(1.0))?;
    StatedPace::from_percent(u32::try_from(crate::util::number::rounded(whole)).ok()?)
}
