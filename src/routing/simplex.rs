//! Simplex solver for small linear programs: maximizes `gain x` subject to `rows x <= limits` and
//! `x >= 0`.
//!
//! Uses a dense tableau, intended for a few dozen rows. All limits are at least 0, so `x = 0` is
//! feasible.

/// Number of pivots after which the best solution so far is returned.
const MAX_PIVOTS: usize = 5_000;
/// Values closer to 0 than this count as 0.
const EPSILON: f64 = 1e-9;
/// Number of pivots by steepest gain before switching to a rule that is guaranteed to terminate.
const STEEPEST_PIVOTS: usize = 1_000;

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Column {
    /// Gain per unit.
    pub(crate) gain: f64,
    /// Amount of each row used per unit, as (row, amount).
    pub(crate) uses: Vec<(usize, f64)>,
}

/// Solves the program and returns one value for each column.
pub(crate) fn maximize(columns: &[Column], limits: &[f64]) -> Vec<f64> {
    let mut tableau = Tableau::new(columns, limits);
    for pivot in 0..MAX_PIVOTS {
        let Some(entering) = tableau.entering(pivot < STEEPEST_PIVOTS) else {
            break;
        };
        let Some(leaving) = tableau.leaving(entering) else {
            break;
        };
        tableau.pivot(leaving, entering);
    }
    tableau.values(columns.len())
}

struct Tableau {
    /// Rows of the columns, the slack variables and the right-hand side; the last row is the
    /// objective.
    cells: Vec<Vec<f64>>,
    /// Basic column of each row.
    basis: Vec<usize>,
}

impl Tableau {
    fn new(columns: &[Column], limits: &[f64]) -> Self {
        let width = columns.len() + limits.len() + 1;
        let mut cells = vec![vec![0.0; width]; limits.len() + 1];
        for (number, column) in columns.iter().enumerate() {
            for (row, amount) in &column.uses {
                cells[*row][number] += amount;
            }
            cells[limits.len()][number] = -column.gain;
        }
        for (row, limit) in limits.iter().enumerate() {
            cells[row][columns.len() + row] = 1.0;
            cells[row][width - 1] = limit.max(0.0);
        }
        Self {
            cells,
            basis: (0..limits.len()).map(|row| columns.len() + row).collect(),
        }
    }

    fn entering(&self, steepest: bool) -> Option<usize> {
        let objective = self.cells.last()?;
        let costs = &objective[..objective.len() - 1];
        let mut gaining = costs
            .iter()
            .enumerate()
            .filter(|(_, cost)| **cost < -EPSILON);
        let chosen = if steepest {
            gaining.min_by(|(_, one), (_, other)| one.total_cmp(other))
        } else {
            gaining.next()
        };
        chosen.map(|(column, _)| column)
    }

    fn leaving(&self, entering: usize) -> Option<usize> {
        let mut best: Option<(f64, usize)> = None;
        for (row, basic) in self.basis.iter().enumerate() {
            let cells = &self.cells[row];
            if cells[entering] <= EPSILON {
                continue;
            }
            let ratio = cells[cells.len() - 1] / cells[entering];
            let better = match best {
                None => true,
                Some((least, held)) => {
                    ratio < least - EPSILON
                        || (ratio <= least + EPSILON && *basic < self.basis[held])
                }
            };
            if better {
                best = Some((ratio, row));
            }
        }
        best.map(|(_, row)| row)
    }

    fn pivot(&mut self, row: usize, column: usize) {
        let mut pivot_row = std::mem::take(&mut self.cells[row]);
        let factor = 1.0 / pivot_row[column];
        for cell in &mut pivot_row {
            *cell *= factor;
        }
        for cells in &mut self.cells {
            let Some(factor) = cells.get(column).copied() else {
                continue;
            };
            if factor == 0.0 {
                continue;
            }
            for (cell, pivot) in cells.iter_mut().zip(&pivot_row) {
                *cell -= factor * pivot;
            }
        }
        self.cells[row] = pivot_row;
        self.basis[row] = column;
    }

    fn values(&self, columns: usize) -> Vec<f64> {
        let mut values = vec![0.0; columns];
        for (row, basic) in self.basis.iter().enumerate() {
            if *basic < columns {
                values[*basic] = self.cells[row].last().copied().unwrap_or(0.0).max(0.0);
            }
        }
        values
    }
}
