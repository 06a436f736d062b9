//! Quantiles of recent latencies in constant memory.

use std::time::Duration;

/// Buckets for each doubling of latency; the relative error of a quantile is at most 1/8.
const BUCKETS_PER_DOUBLING: u32 = 8;
/// Doublings covered above one microsecond, up to about 34 s; longer latencies are counted
/// in the last bucket.
const DOUBLINGS: u32 = 25;
const BUCKETS: usize = (BUCKETS_PER_DOUBLING * DOUBLINGS) as usize;
/// Total at which all counts are halved, so that old samples lose weight.
const HALVE_AFTER: u32 = 512;

/// A histogram of recent latencies with logarithmic buckets.
///
/// ```
/// use std::time::Duration;
/// use hawthornwall_core::routing::LatencyWindow;
///
/// let mut window = LatencyWindow::default();
/// for ms in 1..=100 {
///     window.add(Duration::from_millis(ms));
/// }
/// let p95 = window.quantile(0.95).expect("the window has samples");
/// assert!(p95 >= Duration::from_millis(90) && p95 <= Duration::from_millis(110));
/// ```
#[derive(Clone, Debug)]
pub struct LatencyWindow {
    counts: Box<[u32; BUCKETS]>,
    total: u32,
}

impl Default for LatencyWindow {
    fn default() -> Self {
        Self {
            counts: Box::new([0; BUCKETS]),
            total: 0,
        }
    }
}

impl LatencyWindow {
    /// Records a sample.
    pub fn add(&mut self, latency: Duration) {
        self.counts[bucket(latency)] += 1;
        self.total += 1;
        if self.total >= HALVE_AFTER {
            self.counts.iter_mut().for_each(|c| *c /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// Sum of the counts. It is lower than the number of recorded samples once counts were halved.
    pub fn samples(&self) -> u32 {
        self.total
    }

    /// The latency that a share `q` (0 to 1) of the samples doesn't exceed, rounded up to the edge
    /// of its bucket; `None` without samples.
    pub fn quantile(&self, q: f64) -> Option<Duration> {
        if self.total == 0 {
            return None;
        }
        let rank = (f64::from(self.total) * q.clamp(0.0, 1.0)).ceil().max(1.0) as u32;
        let mut cumulative = 0;
        let index = self.counts.iter().position(|count| {
            cumulative += count;
            cumulative >= rank
        });
        index.map(upper_edge)
    }
}

fn bucket(latency: Duration) -> usize {
    let us = latency.as_micros().max(1) as f64;
    ((us.log2() * f64::from(BUCKETS_PER_DOUBLING)) as usize).min(BUCKETS - 1)
}

fn upper_edge(index: usize) -> Duration {
    let us = ((index + 1) as f64 / f64::from(BUCKETS_PER_DOUBLING)).exp2();
    Duration::from_micros(us as u64)
}
