//! Number of instances, from a gossip over short connections.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use pimentoflow::process::census::Census;
use pimentoflow::process::census::Count;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const ASSUMED: Count = Count { all: 6, local: 2 };

/// Instances that run the gossip on a virtual clock.
struct World {
    all: Vec<(SocketAddr, Census, Instant)>,
    up: Vec<bool>,
    now: Instant,
    rng: SmallRng,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 200) as u8, (number % 200) as u8], 7000))
}

impl World {
    fn new(count: usize, seed: u64) -> Self {
        let now = Instant::now();
        let mut rng = SmallRng::seed_from_u64(seed);
        let seeds = vec![address(0), address(1), address(9999)];
        let all = (0..count).map(|number| {
            let census = Census::new(
                format!("i{number}").into(),
                format!("dc{}", number % 3).into(),
                address(number),
                &seeds,
                ASSUMED,
            );
            let first = now + Duration::from_millis(rng.random_range(0..300));
            (address(number), census, first)
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
            let (_, census, _) = &mut self.all[ix];
            census.on_tick(at);
            let partner = census.partner(&mut self.rng);
            let interval = census.interval(false);
            let told = census.members(at);
            self.all[ix].2 = at + interval;
            let other = partner.and_then(|partner| self.all.iter().position(|(address, ..)| *address == partner));
            if let Some(other) = other.filter(|other| self.up[*other]) {
                let answer = self.all[other].1.members(at);
                self.all[other].1.on_members(&told, at);
                self.all[ix].1.on_members(&answer, at);
            }
        }
    }

    fn counts(&self) -> Vec<u32> {
        let up = self.all.iter().zip(&self.up).filter(|(_, up)| **up);
        up.map(|((_, census, _), _)| census.count().all).collect()
    }
}

/// Guards against instances that do not know of each other when the first requests come, 10 s after the start: each would
/// use more than its share of a server's connections.
#[test]
fn all_are_known_soon_after_a_common_start() {
    for seed in 0..8 {
        let mut world = World::new(33, seed);
        world.run(Duration::from_secs(8));
        assert_eq!(world.counts(), vec![33; 33], "seed {seed}");
        assert!(
            world.all.iter().all(|(_, census, _)| census.count().local == 11),
            "seed {seed}"
        );
    }
}

/// Guards against instances that are counted for long after they are gone, and against live ones that are forgotten.
#[test]
fn those_that_are_gone_are_forgotten_and_others_kept() {
    for seed in 0..4 {
        let mut world = World::new(30, seed);
        world.run(Duration::from_secs(10));
        for ix in 0..10 {
            world.up[ix * 3 + 2] = false;
        }
        for _ in 0..20 {
            world.run(Duration::from_secs(3));
            assert!(
                world.counts().iter().all(|count| *count >= 20),
                "{:?}, seed {seed}",
                world.counts()
            );
        }
        assert_eq!(world.counts(), vec![20; 20], "seed {seed}");
    }
}

/// Guards against a fleet whose instances are forgotten because a message holds only some of them.
#[test]
fn a_fleet_larger_than_a_message_is_counted() {
    let mut world = World::new(300, 5);
    world.run(Duration::from_secs(90));
    for count in world.counts() {
        assert!((270..=300).contains(&count), "{count} of 300 known");
    }
    let size = world.all[0].1.members(world.now).len();
    assert!(size <= 64, "a message holds {size} members");
}

/// Guards against an instance that takes itself to be alone before it has heard of any other.
#[test]
fn a_number_is_assumed_until_another_is_known() {
    let census = Census::new("own".into(), "dc0".into(), address(0), &[address(1)], ASSUMED);
    assert_eq!(census.count(), ASSUMED);
}
