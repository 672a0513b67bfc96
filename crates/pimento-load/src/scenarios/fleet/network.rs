//! Fake network between processes that delays, drops and counts messages.

use std::time::Duration;

use indexmap::IndexSet;
use rand::Rng;
use rand::rngs::SmallRng;

/// One-way delay within a data centre.
const LOCAL_DELAY: Duration = Duration::from_micros(250);

/// One-way delay between data centres of one region.
const REGION_DELAY: Duration = Duration::from_micros(1500);

/// One-way delay between regions.
const REMOTE_DELAY: Duration = Duration::from_millis(60);

/// Bandwidth for one message. Messages do not share it.
const BANDWIDTH_BYTES_PER_S: f64 = 100e6;

/// Number of data centres in one region.
const CENTRES_PER_REGION: usize = 4;

/// Fake network between processes.
#[derive(Debug)]
pub struct Network {
    /// Data centre of each process.
    pub data_centre: Vec<usize>,
    /// Whether each process is dead: it neither sends nor receives.
    pub dead: Vec<bool>,
    /// Data centres whose processes reach only each other.
    pub isolated: IndexSet<usize>,
    /// Probability that a message is lost, in `0.0..=1.0`.
    pub loss_rate: f64,
    /// Whether all messages are dropped. This is the baseline without communication between processes.
    pub disabled: bool,
    /// Number of messages sent.
    pub messages: u64,
    /// Number of bytes sent, including frame headers but not TCP headers.
    pub bytes: u64,
    /// Greatest number of messages that all processes sent in one second.
    pub peak_rate: u64,
    current_second: u64,
    second_count: u64,
}

impl Network {
    /// Creates a network of processes that are distributed evenly over the data centres.
    #[must_use]
    pub fn new(processes: usize, data_centres: usize) -> Self {
        Self {
            data_centre: (0..processes).map(|node| node % data_centres).collect(),
            dead: vec![false; processes],
            isolated: IndexSet::new(),
            loss_rate: 0.0,
            disabled: false,
            messages: 0,
            bytes: 0,
            peak_rate: 0,
            current_second: 0,
            second_count: 0,
        }
    }

    /// Counts a message sent at `elapsed`. Returns its delay, or `None` if it is lost.
    pub fn send(
        &mut self,
        from: usize,
        to: usize,
        bytes: usize,
        elapsed: Duration,
        rng: &mut SmallRng,
    ) -> Option<Duration> {
        self.messages += 1;
        self.bytes += bytes as u64;
        self.count_message(elapsed.as_secs());
        let lost = rng.random_bool(self.loss_rate);
        if lost || self.disabled || !self.can_reach(from, to) {
            return None;
        }
        let base = self.base_delay(from, to);
        let transfer = Duration::from_secs_f64(bytes as f64 / BANDWIDTH_BYTES_PER_S);
        Some(base.mul_f64(rng.random_range(1.0..1.5)) + transfer)
    }

    /// Returns whether a message from one process can reach another.
    #[must_use]
    pub fn can_reach(&self, from: usize, to: usize) -> bool {
        let (a, b) = (self.data_centre[from], self.data_centre[to]);
        let is_isolated = a != b && (self.isolated.contains(&a) || self.isolated.contains(&b));
        !self.dead[from] && !self.dead[to] && !is_isolated
    }

    /// Restarts the measurement of the peak message rate.
    pub const fn reset_peak(&mut self) {
        self.peak_rate = 0;
        self.second_count = 0;
    }

    fn base_delay(&self, from: usize, to: usize) -> Duration {
        let (a, b) = (self.data_centre[from], self.data_centre[to]);
        if a == b {
            LOCAL_DELAY
        } else if a / CENTRES_PER_REGION == b / CENTRES_PER_REGION {
            REGION_DELAY
        } else {
            REMOTE_DELAY
        }
    }

    fn count_message(&mut self, current_second: u64) {
        if current_second != self.current_second {
            self.current_second = current_second;
            self.second_count = 0;
        }
        self.second_count += 1;
        self.peak_rate = self.peak_rate.max(self.second_count);
    }
}
