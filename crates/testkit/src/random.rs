//! Random values from a seeded generator.

use std::f64::consts::TAU;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::target::Spread;

/// A seeded random number generator. Equal seeds and calls produce equal values.
#[derive(Clone, Debug)]
pub struct Random {
    rng: StdRng,
}

impl Random {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        Self { rng }
    }

    /// Draws an exponentially distributed duration with the given mean.
    pub fn exponential(&mut self, mean: Duration) -> Duration {
        let uniform: f64 = self.rng.random();
        mean.mul_f64(-(1.0 - uniform).ln())
    }

    /// Draws a duration from the distribution `spread` with the given mean.
    pub fn spread(&mut self, mean: Duration, spread: Spread) -> Duration {
        match spread {
            Spread::Exponential => self.exponential(mean),
            Spread::Fixed => mean,
            Spread::Lognormal(sigma) => {
                // The mean of a lognormal is exp(mu + sigma^2 / 2); mu is chosen to make it 1.
                let scale = (sigma * self.normal() - sigma * sigma / 2.0).exp();
                mean.mul_f64(scale)
            }
        }
    }

    /// Returns true with a probability of `percent`. Zero percent draws no random number.
    pub fn chance(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }

    /// Draws a uniformly distributed number below `end`, which must not be zero.
    pub fn below(&mut self, end: usize) -> usize {
        self.rng.random_range(0..end)
    }

    /// Draws from the standard normal distribution, using the Box-Muller transform.
    fn normal(&mut self) -> f64 {
        let (u, v): (f64, f64) = (self.rng.random(), self.rng.random());
        (-2.0 * (1.0 - u).ln()).sqrt() * (TAU * v).cos()
    }
}
