//! Medians and spreads of repeats.

/// Repeats of one figure.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Samples(Vec<f64>);

impl Samples {
    /// Adds a repeat.
    pub fn push(&mut self, value: f64) {
        self.0.push(value);
        self.0.sort_by(f64::total_cmp);
    }

    /// Number of repeats.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether nothing was measured.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The repeats, the least first.
    pub fn values(&self) -> &[f64] {
        &self.0
    }

    /// Value that so many parts of the samples do not exceed; `None` without samples.
    pub fn quantile(&self, part: f64) -> Option<f64> {
        let last = self.0.len().checked_sub(1)?;
        let index = (part.clamp(0.0, 1.0) * last as f64).round() as usize;
        self.0.get(index).copied()
    }

    /// Median; the mean of the middle two of an even number.
    pub fn median(&self) -> Option<f64> {
        let count = self.0.len();
        let upper = self.0.get(count / 2)?;
        let lower = self.0.get((count - 1) / 2)?;
        Some((upper + lower) / 2.0)
    }

    /// Least and greatest.
    pub fn spread(&self) -> Option<(f64, f64)> {
        Some((*self.0.first()?, *self.0.last()?))
    }
}

impl FromIterator<f64> for Samples {
    fn from_iter<I>(values: I) -> Self
    where
        I: IntoIterator<Item = f64>,
    {
        let mut values: Vec<f64> = values.into_iter().collect();
        values.sort_by(f64::total_cmp);
        Self(values)
    }
}
