//! The rate limits that endpoints name in their answers: how many requests a second an endpoint takes from all entries
//! together, for as long as it says so.

/// Largest rate that counts as a limit, in requests a second. No endpoint is sent as much, and sums of rates stay finite.
const MAX_RATE: f64 = 1e6;

/// Number of requests a second that an endpoint takes from all entries together. It is finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RateLimit(f64);

impl RateLimit {
    /// Returns the limit of this many requests a second, or `None` if that is no rate. What exceeds the largest rate
    /// counts as the largest.
    pub fn per_second(rate: f64) -> Option<Self> {
        (rate >= 0.0).then(|| Self(rate.min(MAX_RATE)))
    }

    /// Returns the requests a second.
    pub const fn rate(self) -> f64 {
        self.0
    }
}

/// What an answer of an endpoint says about its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitNotice {
    /// The endpoint names no limit.
    #[default]
    Unlimited,
    /// The endpoint names this limit.
    Limited(RateLimit),
    /// The endpoint names a limit that cannot be read. It says neither what the limit is nor that there is none.
    Unreadable,
}

impl LimitNotice {
    /// Reads the limits that an answer names, as decimal numbers. The lowest one counts if there are several; a list with
    /// one that cannot be read is unreadable.
    pub fn read<'text>(values: impl IntoIterator<Item = &'text str>) -> Self {
        let limits = values.into_iter().flat_map(|value| value.split(',')).map(read_limit);
        limits.reduce(Self::stricter).unwrap_or_default()
    }

    fn stricter(self, other: Self) -> Self {
        match (self, other) {
            (Self::Limited(one), Self::Limited(other)) if other < one => Self::Limited(other),
            (Self::Limited(one), Self::Limited(_)) => Self::Limited(one),
            _ => Self::Unreadable,
        }
    }
}

fn read_limit(text: &str) -> LimitNotice {
    let text = text.trim();
    // The names of infinity and of what is not a number are parsed too, but are no decimal numbers.
    let is_decimal = text.starts_with(|first: char| first.is_ascii_digit() || matches!(first, '+' | '.'))
        && !text.contains(|letter: char| letter.is_ascii_alphabetic() && !matches!(letter, 'e' | 'E'));
    let rate = is_decimal.then(|| text.parse().ok()).flatten();
    rate.and_then(RateLimit::per_second)
        .map_or(LimitNotice::Unreadable, LimitNotice::Limited)
}
