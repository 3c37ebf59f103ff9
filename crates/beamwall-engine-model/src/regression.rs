//! Weighted least squares kept as sums, so that what several nodes observed can be added.

use nalgebra::{SMatrix, SVector};

/// Samples after which an older one counts 1/e: long enough for a steady fit, short enough to follow an engine that
/// changes its speed within some hundred requests.
const REMEMBERED_SAMPLES: f64 = 400.0;
/// Weight of the assumption that a coefficient is 0, beside samples whose features are about 1: it decides only
/// where no sample says anything.
const RIDGE: f64 = 1e-5;
/// Most rounds of coordinate descent: lengths of prompts and their squares are so alike that some hundred are usual.
const DESCENT_ROUNDS: usize = 2_000;
/// Change in a round, as a part of the largest coefficient, below which the descent has ended.
const DESCENT_ENDS: f64 = 1e-5;

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

    /// Adds a sample. `relevance`, 0 to 1, tells how much it says: one that waited for something else displaces
    /// as little of what is remembered as it adds. `variance` is what is expected of it.
    pub fn add(&mut self, features: [f64; N], outcome: f64, variance: f64, relevance: f64) {
        self.scale(1.0 - relevance / REMEMBERED_SAMPLES);
        let weight = relevance / variance;
        let features = SVector::from(features);
        self.products += features * features.transpose() * weight;
        self.outcomes += features * (outcome * weight);
        self.squares += outcome * outcome * weight;
        self.samples += relevance;
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
        let ridge = SMatrix::<f64, N, N>::identity() * (RIDGE * self.products[(0, 0)].max(f64::MIN_POSITIVE));
        let matrix = self.products + ridge;
        let coefficients = descend(&matrix, &self.outcomes, SVector::from(start));
        let explained = 2.0 * coefficients.dot(&self.outcomes);
        let error =
            self.squares - explained + (coefficients.transpose() * self.products * coefficients)[(0, 0)];
        Some(Fit {
            coefficients: coefficients.into(),
            variance: (error / self.samples).max(0.0),
            covariance: matrix.try_inverse().unwrap_or_else(SMatrix::zeros),
        })
    }

    /// The sums as a list of numbers, to be told to other nodes.
    pub fn to_numbers(&self) -> Vec<f64> {
        let products = (0..N).flat_map(|row| (row..N).map(move |column| (row, column)));
        let products = products.map(|position| self.products[position]);
        products.chain(self.outcomes.iter().copied()).chain([self.squares, self.samples]).collect()
    }

    /// Numbers in the list of [`Self::to_numbers`].
    pub const fn numbers() -> usize {
        N * (N + 1) / 2 + N + 2
    }

    /// The sums from such a list; `None` when it has another length or holds what is no number.
    pub fn from_numbers(numbers: &[f64]) -> Option<Self> {
        if numbers.len() != Self::numbers() || numbers.iter().any(|number| !number.is_finite()) {
            return None;
        }
        let mut rest = numbers.iter().copied();
        let mut read = Self::default();
        for row in 0..N {
            for column in row..N {
                let product = rest.next()?;
                read.products[(row, column)] = product;
                read.products[(column, row)] = product;
            }
        }
        for position in 0..N {
            read.outcomes[position] = rest.next()?;
        }
        read.squares = rest.next()?;
        read.samples = rest.next()?;
        Some(read)
    }
}

/// Coordinate descent under the bound that no coefficient is negative: more work never takes less time.
fn descend<const N: usize>(
    matrix: &SMatrix<f64, N, N>,
    outcomes: &SVector<f64, N>,
    start: SVector<f64, N>,
) -> SVector<f64, N> {
    let mut coefficients = start;
    for _ in 0..DESCENT_ROUNDS {
        let before = coefficients;
        for position in 0..N {
            let own = matrix[(position, position)];
            if own > 0.0 {
                let others = (matrix.row(position) * coefficients)[(0, 0)] - own * coefficients[position];
                coefficients[position] = ((outcomes[position] - others) / own).max(0.0);
            }
        }
        if (coefficients - before).amax() <= DESCENT_ENDS * coefficients.amax() {
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
        let spread = (features.transpose() * self.covariance * features)[(0, 0)];
        (spread.max(0.0) * self.variance).sqrt()
    }

    /// Square root of the mean weighted square of the differences between samples and the fit.
    pub fn deviation(&self) -> f64 {
        self.variance.sqrt()
    }
}
