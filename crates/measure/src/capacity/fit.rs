//! A straight line through measured points.

use serde::Serialize;

/// Least-squares line `y = at_zero + slope * x`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Fit {
    /// Value at 0.
    pub at_zero: f64,
    mean_x: f64,
    points: f64,
    /// Standard deviation of the points from the line.
    pub residual: f64,
    /// Increase for each unit.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    squares: f64,
}

impl Fit {
    /// The line through `points`; with fewer than 3 the errors are unknown and given as 0.
    ///
    /// ```
    /// use hawthornwall_measure::capacity::Fit;
    ///
    /// let fit = Fit::of(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)]);
    /// assert_eq!((fit.at_zero, fit.slope, fit.residual), (1.0, 2.0, 0.0));
    /// assert_eq!(fit.predict(10.0), (21.0, 0.0));
    /// ```
    pub fn of(points: &[(f64, f64)]) -> Self {
        let n = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
        let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
        let squares: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let products = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
        let slope = products.sum::<f64>() / squares;
        let at_zero = mean_y - slope * mean_x;
        let errors = points
            .iter()
            .map(|(x, y)| (y - at_zero - slope * x).powi(2));
        let residual = if points.len() > 2 {
            (errors.sum::<f64>() / (n - 2.0)).sqrt()
        } else {
            0.0
        };
        Self {
            at_zero,
            mean_x,
            points: n,
            residual,
            slope,
            slope_error: residual / squares.sqrt(),
            squares,
        }
    }

    /// Value at `x` and its standard error, which grows with the distance from the points.
    pub fn predict(&self, x: f64) -> (f64, f64) {
        let distance = (x - self.mean_x).powi(2) / self.squares;
        let error = self.residual * (1.0 / self.points + distance).sqrt();
        (self.at_zero + self.slope * x, error)
    }
}
