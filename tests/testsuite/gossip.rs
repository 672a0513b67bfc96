//! Membership of the fleet by gossip over short connections.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use pimentoflow::process::gossip::Gossip;
use pimentoflow::process::gossip::InstanceCount;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const ASSUMED: InstanceCount = InstanceCount { all: 6, local: 2 };

/// Instances that gossip on a virtual clock.
struct Cluster {
    all: Vec<(SocketAddr, Gossip, Instant)>,
    up: Vec<bool>,
    now: Instant,
    rng: SmallRng,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 200) as u8, (number % 200) as u8], 7000))
}

impl Cluster {
    fn new(count: usize, seed: u64) -> Self {
        let now = Instant::now();
        let mut rng = SmallRng::seed_from_u64(seed);
        let seeds = vec![address(0), address(1), address(9999)];
        let all = (0..count).map(|number| {
            let gossip = Gossip::new(
                format!("i{number}").into(),
                format!("dc{}", number % 3).into(),
                address(number),
                &seeds,
                ASSUMED,
            );
            let first = now + Duration::from_millis(rng.random_range(0..300));
            (address(number), gossip, first)
        });
        Self {
            all: all.collect(),
            up: vec![true; count],
            now,
            rng,
        }
    }

    /// Runs the gossip for `time`.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let next = (0..self.all.len()).filter(|ix| self.up[*ix]);
            let Some(ix) = next.min_by_key(|ix| self.all[*ix].2) else {
                return;
            };
            let at = self.all[ix].2;
            if at > end {
                self.now = end;
                return;
            }
            self.now = at;
            let (_, gossip, _) = &mut self.all[ix];
            gossip.on_tick(at);
            let next_peer = gossip.next_peer(&mut self.rng);
            let interval = gossip.interval(false);
            let sent = gossip.members(at);
            self.all[ix].2 = at + interval;
            let other = next_peer.and_then(|next_peer| self.all.iter().position(|(address, ..)| *address == next_peer));
            if let Some(other) = other.filter(|other| self.up[*other]) {
                let answer = self.all[other].1.members(at);
                self.all[other].1.on_members(&sent, at);
                self.all[ix].1.on_members(&answer, at);
            }
        }
    }

    fn counts(&self) -> Vec<u32> {
        let up = self.all.iter().zip(&self.up).filter(|(_, up)| **up);
        up.map(|((_, gossip, _), _)| gossip.count().all).collect()
    }
}

/// Guards against instances that do not know each other when the first requests arrive, 10 s after the start. Each
/// would use more than its share of a server's connections.
#[test]
fn all_instances_are_known_soon_after_a_simultaneous_start() {
    for seed in 0..8 {
        let mut cluster = Cluster::new(33, seed);
        cluster.run(Duration::from_secs(8));
        assert_eq!(cluster.counts(), vec![33; 33], "seed {seed}");
        assert!(
            cluster.all.iter().all(|(_, gossip, _)| gossip.count().local == 11),
            "seed {seed}"
        );
    }
}

/// Guards against instances that are counted long after they stopped, and against the removal of live ones.
#[test]
fn stopped_instances_expire_and_live_ones_stay() {
    for seed in 0..4 {
        let mut cluster = Cluster::new(30, seed);
        cluster.run(Duration::from_secs(10));
        for ix in 0..10 {
            cluster.up[ix * 3 + 2] = false;
        }
        for _ in 0..20 {
            cluster.run(Duration::from_secs(3));
            assert!(
                cluster.counts().iter().all(|count| *count >= 20),
                "{:?}, seed {seed}",
                cluster.counts()
            );
        }
        assert_eq!(cluster.counts(), vec![20; 20], "seed {seed}");
    }
}

/// Guards against members that expire in a large fleet because a message holds only some of them.
#[test]
fn a_fleet_larger_than_a_message_is_counted() {
    let mut cluster = Cluster::new(300, 5);
    cluster.run(Duration::from_secs(90));
    for count in cluster.counts() {
        assert!((270..=300).contains(&count), "{count} of 300 known");
    }
    let size = cluster.all[0].1.members(cluster.now).len();
    assert!(size <= 64, "a message holds {size} members");
}

/// Guards against an instance that assumes to be alone before it knows any other.
#[test]
fn the_configured_count_holds_until_a_peer_is_known() {
    let gossip = Gossip::new("own".into(), "dc0".into(), address(0), &[address(1)], ASSUMED);
    assert_eq!(gossip.count(), ASSUMED);
}
