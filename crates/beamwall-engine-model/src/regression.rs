//! Weighted least squares kept as sums, so that what several nodes observed can be added.

use nalgebra::{SMatrix, SVector};

/// Samples after which an older one counts 1/e: long enough for a steady fit, short enough to follow an engine that
/// changes its speed within some hundred requests.
const DECAY_SAMPLES: f64 = 400.0;
/// Weight of the assumption that a coefficient is 0, beside samples whose features are about 1: it decides only
/// where no sample says anything.
const RELATIVE_RIDGE: f64 = 1e-5;
/// Most rounds of coordinate descent: lengths of prompts and their squares are so alike that some hundred are usual.
const MAX_DESCENT_ITERATIONS: usize = 2_000;
/// Change in a round, as a part of the largest coefficient, below which the descent has ended.
const DESCENT_TOLERANCE: f64 = 1e-5;

/// Sums over samples of `N` features and one outcome, from which coefficients are fitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Regression<const N: usize> {
    /// Sum of the products of each two features.
    products: SMatrix<f64, N, N>,
    /// Sum of the products of each feature with the outcome.
    outcomes: SVector<f64, N>,
    /// Sum of the squares of the outcome.
    squares: f64,
    /// Samples, each counted as what is still remembered of it.
    samples: f64,
}

impl<const N: usize> Default for Regression<N> {
    fn default() -> Self {
        Self { products: SMatrix::zeros(), outcomes: SVector::zeros(), squares: 0.0, samples: 0.0 }
    }
}

impl<const N: usize> Regression<N> {
    /// Samples remembered.
    pub fn samples(&self) -> f64 {
        self.samples
    }

    /// Adds a sample. `robust_weight`, 0 to 1, tells how much it says: one that waited for something else displaces
    /// as little of what is remembered as it adds. `variance` is what is expected of it.
    pub fn add(&mut self, features: [f64; N], outcome: f64, variance: f64, robust_weight: f64) {
        self.scale(1.0 - robust_weight / DECAY_SAMPLES);
        let weight = robust_weight / variance;
        let features = SVector::from(features);
        self.products += features * features.transpose() * weight;
        self.outcomes += features * (outcome * weight);
        self.squares += outcome * outcome * weight;
        self.samples += robust_weight;
    }

    /// The same sums as if of at most so many samples.
    pub fn limited_to(mut self, samples: f64) -> Self {
        if self.samples > samples {
            self.scale(samples / self.samples);
        }
        self
    }

    /// Adds what another node observed.
    pub fn merge(&mut self, other: &Self) {
        self.products += other.products;
        self.outcomes += other.outcomes;
        self.squares += other.squares;
        self.samples += other.samples;
    }

    fn scale(&mut self, factor: f64) {
        self.products *= factor;
        self.outcomes *= factor;
        self.squares *= factor;
        self.samples *= factor;
    }

    /// The coefficients, none of them negative, that fit the samples best; `None` without any sample.
    /// The search begins at `start`, such as the coefficients of the last fit, and ends the sooner the closer they are.
    pub fn fit(&self, start: [f64; N]) -> Option<Fit<N>> {
        if self.samples < 1.0 {
            return None;
        }
        let ridge = SMatrix::<f64, N, N>::identity()
            * (RELATIVE_RIDGE * self.products[(0, 0)].max(f64::MIN_POSITIVE));
        let normal_matrix = self.products + ridge;
        let coefficients = coordinate_descent(&normal_matrix, &self.outcomes, SVector::from(start));
        let explained = 2.0 * coefficients.dot(&self.outcomes);
        let squared_error =
            self.squares - explained + (coefficients.transpose() * self.products * coefficients)[(0, 0)];
        Some(Fit {
            coefficients: coefficients.into(),
            variance: (squared_error / self.samples).max(0.0),
            covariance: normal_matrix.try_inverse().unwrap_or_else(SMatrix::zeros),
        })
    }

    /// The sums as a list of numbers, to be told to other nodes.
    pub fn to_numbers(&self) -> Vec<f64> {
        let products = (0..N).flat_map(|row| (row..N).map(move |column| (row, column)));
        let products = products.map(|position| self.products[position]);
        products.chain(self.outcomes.iter().copied()).chain([self.squares, self.samples]).collect()
    }

    /// Numbers in the list of [`Self::to_numbers`].
    pub const fn encoded_len() -> usize {
        N * (N + 1) / 2 + N + 2
    }

    /// The sums from such a list; `None` when it has another length or holds what is no number.
    pub fn from_numbers(numbers: &[f64]) -> Option<Self> {
        if numbers.len() != Self::encoded_len() || numbers.iter().any(|number| !number.is_finite()) {
            return None;
        }
        let mut rest = numbers.iter().copied();
        let mut sums = Self::default();
        for row in 0..N {
            for column in row..N {
                let product = rest.next()?;
                sums.products[(row, column)] = product;
                sums.products[(column, row)] = product;
            }
        }
        for position in 0..N {
            sums.outcomes[position] = rest.next()?;
        }
        sums.squares = rest.next()?;
        sums.samples = rest.next()?;
        Some(sums)
    }
}

/// Coordinate descent under the bound that no coefficient is negative: more work never takes less time.
fn coordinate_descent<const N: usize>(
    normal_matrix: &SMatrix<f64, N, N>,
    outcomes: &SVector<f64, N>,
    start: SVector<f64, N>,
) -> SVector<f64, N> {
    let mut coefficients = start;
    for _ in 0..MAX_DESCENT_ITERATIONS {
        let before = coefficients;
        for position in 0..N {
            let diagonal = normal_matrix[(position, position)];
            if diagonal > 0.0 {
                let off_diagonal =
                    (normal_matrix.row(position) * coefficients)[(0, 0)] - diagonal * coefficients[position];
                coefficients[position] = ((outcomes[position] - off_diagonal) / diagonal).max(0.0);
            }
        }
        if (coefficients - before).amax() <= DESCENT_TOLERANCE * coefficients.amax() {
            break;
        }
    }
    coefficients
}

/// Fitted coefficients and how sure they are.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit<const N: usize> {
    /// One coefficient a feature.
    pub coefficients: [f64; N],
    /// Mean weighted square of the differences between samples and the fit.
    variance: f64,
    covariance: SMatrix<f64, N, N>,
}

impl<const N: usize> Fit<N> {
    /// The expected outcome.
    pub fn predict(&self, features: [f64; N]) -> f64 {
        self.coefficients.iter().zip(features).map(|(coefficient, feature)| coefficient * feature).sum()
    }

    /// Standard error of the expected outcome: how far it may be from the mean of such requests.
    pub fn standard_error(&self, features: [f64; N]) -> f64 {
        let features = SVector::from(features);
        let leverage = (features.transpose() * self.covariance * features)[(0, 0)];
        (leverage.max(0.0) * self.variance).sqrt()
    }

    /// Square root of the mean weighted square of the differences between samples and the fit.
    pub fn deviation(&self) -> f64 {
        self.variance.sqrt()
    }
}
