//! Least squares.

/// A line through points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Line {
    /// Value at zero.
    pub(super) base: f64,
    /// Growth for each unit of size.
    pub(super) slope: f64,
}

/// Fits a line through (size, value) points; flat if all sizes are alike.
pub(super) fn fit_line(points: &[(f64, f64)]) -> Line {
    let count = points.len().max(1) as f64;
    let mean_size = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_value = points.iter().map(|p| p.1).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|p| (p.0 - mean_size).powi(2)).sum();
    let joint: f64 = points
        .iter()
        .map(|p| (p.0 - mean_size) * (p.1 - mean_value))
        .sum();
    let slope = if spread > 0.0 { joint / spread } else { 0.0 };
    Line {
        base: mean_value - slope * mean_size,
        slope,
    }
}

/// One observation of a cost that two counts cause together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Sample {
    /// First count.
    pub(super) first: f64,
    /// Second count.
    pub(super) second: f64,
    /// Cost.
    pub(super) cost: f64,
}

/// Cost of one unit of each count, by least squares without a constant; `None` if the samples
/// cannot tell the two apart.
pub(super) fn fit_two(samples: &[Sample]) -> Option<(f64, f64)> {
    let sum = |f: fn(&Sample) -> f64| samples.iter().map(f).sum::<f64>();
    let aa = sum(|s| s.first * s.first);
    let ab = sum(|s| s.first * s.second);
    let bb = sum(|s| s.second * s.second);
    let ac = sum(|s| s.first * s.cost);
    let bc = sum(|s| s.second * s.cost);
    let determinant = aa * bb - ab * ab;
    if determinant <= f64::EPSILON * aa * bb {
        return None;
    }
    let first = (ac * bb - bc * ab) / determinant;
    let second = (bc * aa - ac * ab) / determinant;
    Some((first, second))
}
