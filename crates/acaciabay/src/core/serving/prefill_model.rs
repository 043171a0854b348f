//! Expected prefill time of a service's engines: a constant, a term per token and a term per token squared.
//!
//! Attention makes long prompts take longer per token: with a linear model, prompts of 30,000 tokens take half as long again as
//! is expected. The shape of the curve is fitted by least squares on relative errors, in which earlier measurements count less
//! and less. Its level follows a quantile of the measurements, which a third of them cannot move far: in a burst, so many wait
//! in queues that their entry does not know of.

use std::time::Duration;

/// Weight of earlier measurements after a new one: about the last 200 count.
const MEMORY: f64 = 0.995;
/// Number of measurements before the model is used.
const MIN_MEASUREMENTS: u32 = 8;
/// Largest ratio between a measured time and the expected one that counts for the shape, in either direction.
const MAX_RATIO: f64 = 1.25;
/// The same at the first measurement, while the shape is that of an estimate per token.
const FIRST_MAX_RATIO: f64 = 1.5;
/// Factor by which that limit shrinks with each measurement.
const RATIO_SHRINKAGE: f64 = 0.99;
/// Relative step by which a measurement moves the level.
const LEVEL_STEP: f64 = 0.015;
/// The same at the first measurement.
const FIRST_LEVEL_STEP: f64 = 0.5;
/// Factor by which that step shrinks with each measurement.
const STEP_SHRINKAGE: f64 = 0.85;
/// Part of the measurements that are shorter than expected. It is below a half, because unknown queues make some longer.
const LEVEL_QUANTILE: f64 = 0.4;
/// Weight of a new measurement in the mean ratio, by which the shape is kept from moving the level.
const MEAN_WEIGHT: f64 = 0.02;
/// Tokens of a thousand, the unit in which the terms are fitted.
const UNIT: f64 = 1_000.0;
/// Weights of pseudo-measurements that say that the constant and the quadratic term are 0. They decide only what traffic does
/// not show: with prompts of one length, the time is proportional to the length.
const PRIOR_WEIGHT: f64 = 0.02;
/// Time in milliseconds, and length in thousands of tokens, in which the pseudo-measurements are expressed.
const PRIOR_CONSTANT_MS: f64 = 20.0;
const PRIOR_LENGTH: f64 = 10.0;
/// Smallest expected time in milliseconds: below, the network decides.
const MIN_EXPECTED_MS: f64 = 1.0;

/// Number of terms.
const TERMS: usize = 3;
type Terms = [f64; TERMS];

/// The model of one service.
#[derive(Clone, Debug)]
pub struct PrefillModel {
    /// Sums of the products of the regressors, and of the regressors and the measured times, each divided by the expected time.
    products: [Terms; TERMS],
    targets: Terms,
    /// Shape in milliseconds: constant, per thousand tokens, per thousand tokens squared. None of them is negative.
    terms: Terms,
    /// Factor of the shape.
    level: f64,
    mean_ratio: f64,
    measurements: u32,
    /// Sums of tokens and of the time that the shape has for them, for the mean time per token of queues.
    tokens: f64,
    token_ms: f64,
}

impl Default for PrefillModel {
    fn default() -> Self {
        Self {
            products: [[0.0; TERMS]; TERMS],
            targets: [0.0; TERMS],
            terms: [0.0; TERMS],
            level: 1.0,
            mean_ratio: 1.0,
            measurements: 0,
            tokens: 0.0,
            token_ms: 0.0,
        }
    }
}

impl PrefillModel {
    /// Applies a prefill of `tokens` tokens without a queue. `slowdown` is that of its engine, and `pace` the service's estimate
    /// in milliseconds per token, from which the model starts.
    pub fn record(&mut self, tokens: u64, took: Duration, slowdown: f64, pace: f64) {
        let took_ms = took.as_secs_f64() * 1_000.0 / slowdown;
        let is_usable = tokens > 0 && took_ms > 0.0 && took_ms.is_finite();
        if !is_usable || (self.measurements == 0 && !(pace > 0.0 && pace.is_finite())) {
            return;
        }
        if self.measurements == 0 {
            self.terms = [0.0, pace * UNIT, 0.0];
        }
        let regressors = powers(tokens as f64);
        let shape = dot(&self.terms, &regressors).max(MIN_EXPECTED_MS);
        let ratio = took_ms / (self.level * shape);
        self.move_level(ratio);
        self.fit_shape(regressors, shape, ratio);
        self.tokens = self.tokens * MEMORY + tokens as f64;
        self.token_ms = self.token_ms * MEMORY + shape;
        self.measurements = self.measurements.saturating_add(1);
        self.terms = self.solve();
    }

    /// Returns the expected time of a prefill in milliseconds, without a queue at an engine of the usual speed, or `None` before
    /// there is data.
    pub fn expected_ms(&self, tokens: f64) -> Option<f64> {
        self.is_ready().then(|| self.level * dot(&self.terms, &powers(tokens)))
    }

    /// Returns the time per token in milliseconds of a queue of prompts as they usually are, or `None` before there is data.
    pub fn queue_pace(&self) -> Option<f64> {
        self.is_ready().then(|| self.level * self.token_ms / self.tokens)
    }

    /// Returns the constant, the term per token and the term per token squared, in milliseconds.
    pub fn terms(&self) -> [f64; 3] {
        let [constant, linear, quadratic] = self.terms.map(|term| self.level * term);
        [constant, linear / UNIT, quadratic / (UNIT * UNIT)]
    }

    const fn is_ready(&self) -> bool {
        self.measurements >= MIN_MEASUREMENTS
    }

    /// Returns a limit that begins at `first` and shrinks with each measurement.
    fn shrinking(&self, first: f64, shrinkage: f64) -> f64 {
        first * shrinkage.powi(i32::try_from(self.measurements).unwrap_or(i32::MAX))
    }

    fn move_level(&mut self, ratio: f64) {
        let step = self.shrinking(FIRST_LEVEL_STEP, STEP_SHRINKAGE).max(LEVEL_STEP);
        let weight = if ratio > 1.0 {
            LEVEL_QUANTILE
        } else {
            LEVEL_QUANTILE - 1.0
        };
        // No further than the measurement itself.
        let limit = ratio.ln().abs();
        self.level *= (step * weight).clamp(-limit, limit).exp();
    }

    fn fit_shape(&mut self, regressors: Terms, shape: f64, ratio: f64) {
        let limit = self.shrinking(FIRST_MAX_RATIO, RATIO_SHRINKAGE).max(MAX_RATIO);
        let counted = ratio.clamp(1.0 / limit, limit);
        self.mean_ratio += MEAN_WEIGHT * (counted - self.mean_ratio);
        self.add(regressors, shape * counted / self.mean_ratio, shape);
    }

    fn add(&mut self, regressors: Terms, measured: f64, expected: f64) {
        // Errors are relative: the time of a long prompt varies more than that of a short one.
        let weight = 1.0 / (expected * expected);
        for (row, left) in regressors.iter().enumerate() {
            for (column, right) in regressors.iter().enumerate() {
                self.products[row][column] = self.products[row][column] * MEMORY + weight * left * right;
            }
            self.targets[row] = self.targets[row] * MEMORY + weight * left * measured;
        }
    }

    /// Returns the terms with the least error of which none is negative: of the solutions for all sets of terms, the best.
    fn solve(&self) -> Terms {
        let products = self.with_prior();
        let sets = 1..(1_usize << TERMS);
        let solutions = sets.filter_map(|set| solve_subset(&products, &self.targets, set));
        let valid = solutions.filter(|terms| terms.iter().all(|term| *term >= 0.0));
        let error = |terms: &Terms| {
            let quadratic: f64 = (0..TERMS).map(|row| terms[row] * dot(&products[row], terms)).sum();
            quadratic - 2.0 * dot(&self.targets, terms)
        };
        let best = valid.min_by(|one, other| error(one).total_cmp(&error(other)));
        best.unwrap_or(self.terms)
    }

    fn with_prior(&self) -> [Terms; TERMS] {
        let mut products = self.products;
        let linear = if self.token_ms > 0.0 {
            self.token_ms / self.tokens * UNIT
        } else {
            1.0
        };
        let quadratic = PRIOR_LENGTH / linear;
        products[0][0] += PRIOR_WEIGHT / (PRIOR_CONSTANT_MS * PRIOR_CONSTANT_MS);
        products[2][2] += PRIOR_WEIGHT * quadratic * quadratic;
        products
    }
}

fn powers(tokens: f64) -> Terms {
    let length = tokens / UNIT;
    [1.0, length, length * length]
}

fn dot(left: &Terms, right: &Terms) -> f64 {
    left.iter().zip(right).map(|(left, right)| left * right).sum()
}

/// Solves the equations of the terms in `set`, a bit for each; the others are 0. Returns `None` if there is no single solution.
fn solve_subset(products: &[Terms; TERMS], targets: &Terms, set: usize) -> Option<Terms> {
    let mut rows = *products;
    let mut values = *targets;
    for term in (0..TERMS).filter(|term| set & (1 << term) == 0) {
        rows[term] = [0.0; TERMS];
        for row in &mut rows {
            row[term] = 0.0;
        }
        rows[term][term] = 1.0;
        values[term] = 0.0;
    }
    // Gaussian elimination; the matrix is symmetric and positive, so that the diagonal serves as pivots.
    for pivot in 0..TERMS {
        let diagonal = rows[pivot][pivot];
        if diagonal <= f64::EPSILON * products[pivot][pivot] || !diagonal.is_finite() {
            return None;
        }
        for row in (0..TERMS).filter(|row| *row != pivot) {
            let factor = rows[row][pivot] / diagonal;
            let subtracted = rows[pivot];
            for (value, pivot_value) in rows[row].iter_mut().zip(subtracted) {
                *value -= factor * pivot_value;
            }
            values[row] -= factor * values[pivot];
        }
    }
    Some(std::array::from_fn(|term| values[term] / rows[term][term]))
}
