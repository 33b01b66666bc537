//! A small linear program: maximise `gain x` where `rows x <= limits` and `x >= 0`.
//!
//! Dense tableau, for a few dozen rows. All limits are 0 or more, so that `x = 0` is feasible.

/// Pivots after which the best solution so far is returned.
const MOST_PIVOTS: usize = 5_000;
/// Values nearer to 0 count as 0.
const TINY: f64 = 1e-9;
/// Pivots by steepest gain before the rule that surely ends.
const STEEPEST_PIVOTS: usize = 1_000;

/// A column of the program.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Column {
    /// What one unit brings.
    pub(crate) gain: f64,
    /// What one unit uses of each row: (row, amount).
    pub(crate) uses: Vec<(usize, f64)>,
}

/// Solves the program; returns one value for each column.
pub(crate) fn maximise(columns: &[Column], limits: &[f64]) -> Vec<f64> {
    let mut tableau = Tableau::new(columns, limits);
    for pivot in 0..MOST_PIVOTS {
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
    /// Rows of the columns, the slacks and the right-hand side; the last row is the objective.
    cells: Vec<Vec<f64>>,
    /// Column that is basic in each row.
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
        let mut gaining = costs.iter().enumerate().filter(|(_, cost)| **cost < -TINY);
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
            if cells[entering] <= TINY {
                continue;
            }
            let ratio = cells[cells.len() - 1] / cells[entering];
            let better = match best {
                None => true,
                Some((least, held)) => {
                    ratio < least - TINY || (ratio <= least + TINY && *basic < self.basis[held])
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
