//! Weighted least squares over additive sums, so that observations of several nodes can be merged.

use nalgebra::{SMatrix, SVector};

/// Number of samples after which an older sample's weight has decayed to 1/e: long enough for a stable fit,
/// short enough to follow an engine whose speed changes within a few hundred requests.
const DECAY_SAMPLES: f64 = 400.0;
/// Ridge (L2) penalty relative to samples whose features are about 1: it affects only coefficients that no
/// sample determines.
const RELATIVE_RIDGE: f64 = 1e-5;
/// Maximum iterations of coordinate descent. Prompt lengths and their squares are strongly correlated, so a
/// few hundred iterations are usual.
const MAX_DESCENT_ITERATIONS: usize = 2_000;
/// Change per iteration, relative to the largest coefficient, below which the descent has converged.
const DESCENT_TOLERANCE: f64 = 1e-5;

/// Sums over samples of `N` features and one outcome, from which coefficients are fitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Regression<const N: usize> {
    /// Weighted sums of the pairwise products of features.
    products: SMatrix<f64, N, N>,
    /// Weighted sums of the products of each feature with the outcome.
    outcomes: SVector<f64, N>,
    /// Weighted sum of the squared outcomes.
    squares: f64,
    /// Effective number of samples after decay.
    samples: f64,
}

impl<const N: usize> Default for Regression<N> {
    fn default() -> Self {
        Self { products: SMatrix::zeros(), outcomes: SVector::zeros(), squares: 0.0, samples: 0.0 }
    }
}

impl<const N: usize> Regression<N> {
    /// Returns the effective number of samples after decay.
    pub fn samples(&self) -> f64 {
        self.samples
    }

    /// Adds a sample. `variance` is its expected variance. `robust_weight`, 0 to 1, downweights an outlier,
    /// such as a request delayed by an unrelated cause; older samples decay by the same proportion.
    pub fn add(&mut self, features: [f64; N], outcome: f64, variance: f64, robust_weight: f64) {
        self.scale(1.0 - robust_weight / DECAY_SAMPLES);
        let weight = robust_weight / variance;
        let features = SVector::from(features);
        self.products += features * features.transpose() * weight;
        self.outcomes += features * (outcome * weight);
        self.squares += outcome * outcome * weight;
        self.samples += robust_weight;
    }

    /// Scales the sums down to at most the given number of samples.
    pub fn limited_to(mut self, samples: f64) -> Self {
        if self.samples > samples {
            self.scale(samples / self.samples);
        }
        self
    }

    /// Adds the sums of another node.
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

    /// Fits non-negative coefficients; `None` without any sample. The descent begins at `start`, such as the
    /// coefficients of the last fit, and converges faster the closer they are.
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

    /// Encodes the sums as a list of numbers, to be sent to other nodes.
    pub fn to_numbers(&self) -> Vec<f64> {
        let products = (0..N).flat_map(|row| (row..N).map(move |column| (row, column)));
        let products = products.map(|position| self.products[position]);
        products.chain(self.outcomes.iter().copied()).chain([self.squares, self.samples]).collect()
    }

    /// Length of the list that [`Self::to_numbers`] returns.
    pub const fn encoded_len() -> usize {
        N * (N + 1) / 2 + N + 2
    }

    /// Decodes the sums; `None` if the length is wrong or a number is not finite.
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

/// Minimises by coordinate descent with non-negative coefficients: more work never takes less time.
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

/// Fitted coefficients with their covariance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit<const N: usize> {
    /// One coefficient per feature.
    pub coefficients: [f64; N],
    /// Weighted mean squared residual.
    variance: f64,
    covariance: SMatrix<f64, N, N>,
}

impl<const N: usize> Fit<N> {
    /// Returns the expected outcome.
    pub fn predict(&self, features: [f64; N]) -> f64 {
        self.coefficients.iter().zip(features).map(|(coefficient, feature)| coefficient * feature).sum()
    }

    /// Returns the standard error of the expected mean outcome.
    pub fn standard_error(&self, features: [f64; N]) -> f64 {
        let features = SVector::from(features);
        let leverage = (features.transpose() * self.covariance * features)[(0, 0)];
        (leverage.max(0.0) * self.variance).sqrt()
    }

    /// Returns the root of the weighted mean squared residual.
    pub fn deviation(&self) -> f64 {
        self.variance.sqrt()
    }
}
