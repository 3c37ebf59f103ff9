//! Results of a load run: quantiles by kind and tenant, as JSON and as a plot.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use hdrhistogram::Histogram;
use plotters::prelude::{ChartBuilder, IntoDrawingArea, LineSeries, PathElement, SVGBackend, WHITE};
use plotters::style::{Color, Palette, Palette99};
use quick_error::quick_error;
use serde::Serialize;

/// Quantiles of the report.
const QUANTILES: [(&str, f64); 4] = [("p50", 0.5), ("p90", 0.9), ("p95", 0.95), ("p99", 0.99)];
const PLOT_SIZE: (u32, u32) = (900, 520);
const PLOT_STEPS: u32 = 100;

quick_error! {
    /// Why a report could not be written.
    #[derive(Debug)]
    pub enum ReportError {
        /// The file could not be written.
        File(cause: std::io::Error) {
            from()
            display("{}", cause)
            source(cause)
        }
        /// The plot could not be drawn.
        Plot(reason: String) {
            display("plot: {}", reason)
        }
    }
}

/// How requests of one kind ended.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Ends {
    /// Whole and exact.
    pub exact: u64,
    /// Told to have run nowhere.
    pub not_run: u64,
    /// Told that the outcome is unknown.
    pub unknown: u64,
    /// Continued at another node.
    pub interrupted: u64,
    /// Refused as over a limit.
    pub limited: u64,
    /// No word at all.
    pub silent: u64,
    /// An answer that is not the caller's whole own one: a broken promise.
    pub wrong: u64,
}

/// Times of requests of one kind and tenant.
#[derive(Debug, Clone)]
pub struct Series {
    /// Time to the first token, or the whole time of a call, in microseconds.
    pub first: Histogram<u64>,
    /// Time between tokens, in microseconds.
    pub between: Histogram<u64>,
    /// How they ended.
    pub ends: Ends,
}

impl Default for Series {
    fn default() -> Self {
        let new = || {
            Histogram::new_with_bounds(1, 600_000_000, 3)
                .unwrap_or_else(|_| Histogram::new(3).expect("three digits are valid"))
        };
        Self { first: new(), between: new(), ends: Ends::default() }
    }
}

/// Records a time in microseconds.
pub fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX).max(1));
}

/// All series of a run by kind and tenant.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Series by kind and tenant.
    pub series: BTreeMap<(String, String), Series>,
    /// Facts about the run as a whole.
    pub facts: BTreeMap<String, serde_json::Value>,
}

#[derive(Serialize)]
struct SeriesJson {
    kind: String,
    tenant: String,
    ends: Ends,
    first_ms: BTreeMap<&'static str, f64>,
    between_ms: BTreeMap<&'static str, f64>,
}

fn quantiles(histogram: &Histogram<u64>) -> BTreeMap<&'static str, f64> {
    let ms = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    QUANTILES.into_iter().map(|(name, quantile)| (name, ms(quantile))).collect()
}

impl Report {
    /// The series of a kind over all tenants.
    pub fn by_kind(&self) -> BTreeMap<String, Series> {
        let mut kinds: BTreeMap<String, Series> = BTreeMap::new();
        for ((kind, _), series) in &self.series {
            let whole = kinds.entry(kind.clone()).or_default();
            let _ = whole.first.add(&series.first);
            let _ = whole.between.add(&series.between);
            whole.ends.add(&series.ends);
        }
        kinds
    }

    /// The report as JSON.
    pub fn to_json(&self) -> serde_json::Value {
        let by_kind = self.by_kind().into_iter().map(|(kind, series)| ((kind, "all".to_owned()), series));
        let all = by_kind.chain(self.series.clone());
        let rows: Vec<SeriesJson> = all
            .map(|((kind, tenant), series)| SeriesJson {
                kind,
                tenant,
                ends: series.ends.clone(),
                first_ms: quantiles(&series.first),
                between_ms: quantiles(&series.between),
            })
            .collect();
        serde_json::json!({"facts": self.facts, "series": rows})
    }

    /// Draws the time to the first token (or the whole call) over the quantiles, one line a kind.
    pub fn plot(&self, path: &Path) -> Result<(), ReportError> {
        let failed = |error: &dyn std::fmt::Display| ReportError::Plot(error.to_string());
        let kinds = self.by_kind();
        let most = kinds.values().map(|series| series.first.value_at_quantile(0.99)).max().unwrap_or(1)
            as f64
            / 1_000.0;
        let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|error| failed(&error))?;
        let mut chart = ChartBuilder::on(&area)
            .caption("time to first token, or of a whole call", ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..0.99, 0.0..most * 1.05)
            .map_err(|error| failed(&error))?;
        chart.configure_mesh().x_desc("quantile").y_desc("ms").draw().map_err(|error| failed(&error))?;
        for (number, (kind, series)) in kinds.iter().enumerate() {
            let color = Palette99::pick(number).to_rgba();
            let point = |step: u32| {
                let quantile = f64::from(step) / f64::from(PLOT_STEPS) * 0.99;
                (quantile, series.first.value_at_quantile(quantile) as f64 / 1_000.0)
            };
            let line = LineSeries::new((0..=PLOT_STEPS).map(point), color.stroke_width(2));
            chart
                .draw_series(line)
                .map_err(|error| failed(&error))?
                .label(kind.clone())
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color));
        }
        chart.configure_series_labels().border_style(WHITE).draw().map_err(|error| failed(&error))?;
        area.present().map_err(|error| failed(&error))
    }
}

impl Ends {
    fn add(&mut self, other: &Self) {
        self.exact += other.exact;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.interrupted += other.interrupted;
        self.limited += other.limited;
        self.silent += other.silent;
        self.wrong += other.wrong;
    }
}
