//! Linear regression over measured points.

use serde::Serialize;

/// Least-squares line `y = intercept + slope * x`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LinearFit {
    /// Value at `x = 0`.
    #[serde(rename = "at_zero")]
    pub intercept: f64,
    mean_x: f64,
    /// Number of points.
    points: f64,
    /// Standard deviation of the points from the line, with 2 degrees of freedom subtracted.
    pub residual: f64,
    /// Increase of `y` per unit of `x`.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    /// Sum of the squared deviations of `x` from its mean.
    #[serde(rename = "squares")]
    square_sum: f64,
}

impl LinearFit {
    /// Fits a line to the points. With fewer than 3 points the standard errors can't be estimated
    /// and are 0.
    ///
    /// ```
    /// use hawthornwall_measure::capacity::LinearFit;
    ///
    /// let fit = LinearFit::of(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)]);
    /// assert_eq!((fit.intercept, fit.slope, fit.residual), (1.0, 2.0, 0.0));
    /// assert_eq!(fit.predict(10.0), (21.0, 0.0));
    /// ```
    pub fn of(points: &[(f64, f64)]) -> Self {
        let n = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
        let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
        let square_sum: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let products = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
        let slope = products.sum::<f64>() / square_sum;
        let intercept = mean_y - slope * mean_x;
        let squared_errors = points
            .iter()
            .map(|(x, y)| (y - intercept - slope * x).powi(2));
        let residual = if points.len() > 2 {
            (squared_errors.sum::<f64>() / (n - 2.0)).sqrt()
        } else {
            0.0
        };
        Self {
            intercept,
            mean_x,
            points: n,
            residual,
            slope,
            slope_error: residual / square_sum.sqrt(),
            square_sum,
        }
    }

    /// Returns the value at `x` and its standard error, which grows with the distance from the
    /// points' mean.
    pub fn predict(&self, x: f64) -> (f64, f64) {
        let distance = (x - self.mean_x).powi(2) / self.square_sum;
        let error = self.residual * (1.0 / self.points + distance).sqrt();
        (self.intercept + self.slope * x, error)
    }
}
