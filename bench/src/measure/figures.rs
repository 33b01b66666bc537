//! The figures by their names, as the last lines of a run print them.

use std::fmt;

use indexmap::IndexMap;

use super::stats::Samples;

/// A figure. The order is that of the printed lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Figure {
    /// Goodput over the bound, callers in a closed loop.
    ThroughputToBound,
    /// The same under the best of the baselines.
    ThroughputToBoundBestBaseline,
    /// Goodput over the bound at twice the arrivals that fit.
    ThroughputToBoundOverload2x,
    /// Pause of a stream at a stage's death over that of an oracle.
    RecoveryToOracle,
    /// Median pause of a stream at a stage's death.
    RecoveryMsP50,
    /// 99th percentile of it.
    RecoveryMsP99,
    /// Least part of its fair share that an account got.
    WorstShareToFair,
    /// The same if entries know only their own demand.
    WorstShareToFairLocalOnly,
    /// Median time that the entry adds to a token.
    TokenOverheadMsP50,
    /// 99th percentile of it.
    TokenOverheadMsP99,
    /// Attempts over requests around an outage.
    RetryAmplification,
    /// Control's part of a core at one instance.
    ControlCorePercent,
    /// Control's resident memory.
    ControlRssMb,
    /// Bytes that control sends to other instances and the platform, and receives.
    ControlBytesPerS,
}

impl Figure {
    /// Every figure, in the order of the lines.
    pub const ALL: [Self; 14] = [
        Self::ThroughputToBound,
        Self::ThroughputToBoundBestBaseline,
        Self::ThroughputToBoundOverload2x,
        Self::RecoveryToOracle,
        Self::RecoveryMsP50,
        Self::RecoveryMsP99,
        Self::WorstShareToFair,
        Self::WorstShareToFairLocalOnly,
        Self::TokenOverheadMsP50,
        Self::TokenOverheadMsP99,
        Self::RetryAmplification,
        Self::ControlCorePercent,
        Self::ControlRssMb,
        Self::ControlBytesPerS,
    ];

    /// Name in the printed line.
    pub fn name(self) -> &'static str {
        match self {
            Self::ThroughputToBound => "throughput_to_bound",
            Self::ThroughputToBoundBestBaseline => "throughput_to_bound_best_baseline",
            Self::ThroughputToBoundOverload2x => "throughput_to_bound_overload2x",
            Self::RecoveryToOracle => "recovery_to_oracle",
            Self::RecoveryMsP50 => "recovery_ms_p50",
            Self::RecoveryMsP99 => "recovery_ms_p99",
            Self::WorstShareToFair => "worst_share_to_fair",
            Self::WorstShareToFairLocalOnly => "worst_share_to_fair_local_only",
            Self::TokenOverheadMsP50 => "token_overhead_ms_p50",
            Self::TokenOverheadMsP99 => "token_overhead_ms_p99",
            Self::RetryAmplification => "retry_amplification",
            Self::ControlCorePercent => "control_core_percent",
            Self::ControlRssMb => "control_rss_mb",
            Self::ControlBytesPerS => "control_bytes_per_s",
        }
    }

    /// Whether more is better.
    pub fn is_better_high(self) -> bool {
        matches!(
            self,
            Self::ThroughputToBound
                | Self::ThroughputToBoundBestBaseline
                | Self::ThroughputToBoundOverload2x
                | Self::WorstShareToFair
                | Self::WorstShareToFairLocalOnly
        )
    }

    /// What the figure should reach, if an aim is set.
    pub fn aim(self) -> Option<f64> {
        match self {
            Self::ThroughputToBound | Self::WorstShareToFair => Some(0.95),
            Self::ThroughputToBoundOverload2x => Some(0.93),
            Self::RecoveryToOracle => Some(1.5),
            Self::TokenOverheadMsP50 => Some(0.56),
            Self::RetryAmplification => Some(1.1),
            Self::ControlCorePercent => Some(2.4),
            Self::ControlRssMb => Some(256.0),
            Self::ControlBytesPerS => Some(6_000.0),
            _ => None,
        }
    }
}

/// Repeats of the figures of one deployment.
#[derive(Clone, Debug, Default)]
pub struct Figures(IndexMap<Figure, Samples>);

impl Figures {
    /// Adds a repeat.
    pub fn push(&mut self, figure: Figure, value: f64) {
        self.0.entry(figure).or_default().push(value);
    }

    /// The repeats of a figure, if it was measured.
    pub fn get(&self, figure: Figure) -> Option<&Samples> {
        self.0.get(&figure).filter(|samples| !samples.is_empty())
    }

    /// Median of a figure.
    pub fn median(&self, figure: Figure) -> Option<f64> {
        self.get(figure).and_then(Samples::median)
    }
}

/// The printed lines: for each figure the median of the deployment that fares worst.
#[derive(Clone, Debug, Default)]
pub struct Summary(IndexMap<Figure, f64>);

impl Summary {
    /// Sums up deployments.
    pub fn of(deployments: &[&Figures]) -> Self {
        let worst = Figure::ALL.into_iter().filter_map(|figure| {
            let medians = deployments.iter().filter_map(|it| it.median(figure));
            let worst = if figure.is_better_high() {
                medians.min_by(f64::total_cmp)
            } else {
                medians.max_by(f64::total_cmp)
            };
            worst.map(|value| (figure, value))
        });
        Self(worst.collect())
    }

    /// A figure, if it was measured.
    pub fn get(&self, figure: Figure) -> Option<f64> {
        self.0.get(&figure).copied()
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, figure) in Figure::ALL.into_iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            match self.get(figure) {
                Some(value) => write!(f, "{} {value:.3}", figure.name())?,
                None => write!(f, "{} not-run", figure.name())?,
            }
        }
        Ok(())
    }
}
