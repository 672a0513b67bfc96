//! Property tests over the generators of `bolero`, with fixed seeds.
//!
//! The test engine of `bolero` 0.13 draws a new seed in each run, whatever `BOLERO_RANDOM_SEED` says: two runs with the same
//! value tried different inputs. The verdict of CI must be the same on every run, so this crate drives the same generators
//! from a seeded source. `PIMENTO_PROPERTY_SEED=N` tries another seed.

#![forbid(unsafe_code)]

use bolero::TypeGenerator;
use bolero::ValueGenerator;
use bolero::generator::bolero_generator::driver::Options;
use bolero::generator::bolero_generator::driver::Rng;
use bolero::produce;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Environment variable that overrides the seed.
const SEED_VARIABLE: &str = "PIMENTO_PROPERTY_SEED";

const DEFAULT_SEED: u64 = 1;
const DEFAULT_ITERATIONS: usize = 1_000;

/// Greatest length of arbitrary bytes.
const MAX_BYTES: usize = 1_024;

/// Property test under construction.
#[derive(Debug, Clone)]
pub struct Check<G> {
    iterations: usize,
    options: Options,
    generator: G,
}

/// Starts a property test over arbitrary bytes.
#[must_use]
pub fn check() -> Check<impl ValueGenerator<Output = Vec<u8>>> {
    Check {
        iterations: DEFAULT_ITERATIONS,
        options: Options::default(),
        generator: produce::<Vec<u8>>().with().len(0..MAX_BYTES),
    }
}

impl<G: ValueGenerator> Check<G> {
    /// Sets the number of inputs.
    #[must_use]
    pub fn with_iterations(mut self, iterations: usize) -> Self {
        self.iterations = iterations;
        self
    }

    /// Sets the greatest length of the random bytes that one input is made from.
    #[must_use]
    pub fn with_max_len(mut self, max_len: usize) -> Self {
        self.options.set_max_len(max_len);
        self
    }

    /// Uses arbitrary values of a type.
    #[must_use]
    pub fn with_type<T: TypeGenerator + 'static>(self) -> Check<impl ValueGenerator<Output = T>> {
        self.with_generator(produce::<T>())
    }

    /// Uses the values of a generator.
    #[must_use]
    pub fn with_generator<H: ValueGenerator>(self, generator: H) -> Check<H> {
        Check {
            iterations: self.iterations,
            options: self.options,
            generator,
        }
    }

    /// Runs the test on each input. A panic of the test is the failure, and the seed and the number of the input are
    /// printed.
    ///
    /// # Panics
    ///
    /// Panics when the environment variable of the seed is not a number, or the generator makes no value.
    pub fn for_each(self, mut test: impl FnMut(&G::Output)) {
        let seed = seed();
        let mut made = 0;
        for iteration in 0..self.iterations {
            let rng = SmallRng::seed_from_u64(seed.wrapping_add(iteration as u64));
            let mut driver = Rng::new(rng, &self.options);
            let Some(input) = self.generator.generate(&mut driver) else {
                continue;
            };
            made += 1;
            let report = FailureReport { seed, iteration };
            test(&input);
            std::mem::forget(report);
        }
        assert!(
            made > 0,
            "the generator made no value in {} iterations",
            self.iterations
        );
    }
}

fn seed() -> u64 {
    match std::env::var(SEED_VARIABLE) {
        Ok(text) => text.parse().expect("the seed of property tests is a number"),
        Err(_unset) => DEFAULT_SEED,
    }
}

/// Prints where a test failed. It is forgotten when the test passed.
struct FailureReport {
    seed: u64,
    iteration: usize,
}

impl Drop for FailureReport {
    fn drop(&mut self) {
        let Self { seed, iteration } = self;
        eprintln!("property failed with {SEED_VARIABLE}={seed} at input {iteration}");
    }
}
