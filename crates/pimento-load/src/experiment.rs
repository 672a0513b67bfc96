//! The scenarios, by name.

use std::str::FromStr;

use eyre::Context;
use eyre::Result;
use eyre::bail;
use eyre::eyre;
use indexmap::IndexMap;

use crate::report::Report;
use crate::scenarios;

/// Options of a run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of the random source.
    pub seed: u64,
    settings: IndexMap<Box<str>, Box<str>>,
}

impl Options {
    /// Parses settings of the form `key=value`.
    ///
    /// # Errors
    ///
    /// Fails when a setting has no `=`.
    pub fn parse(seed: u64, settings: &[String]) -> Result<Self> {
        let mut map = IndexMap::new();
        for setting in settings {
            let Some((key, value)) = setting.split_once('=') else {
                bail!("setting `{setting}` has no `=`; write --set key=value");
            };
            map.insert(key.into(), value.into());
        }
        Ok(Self { seed, settings: map })
    }

    /// Returns the setting `key`, or `default` when it is not set.
    ///
    /// # Errors
    ///
    /// Fails when the value does not parse.
    pub fn get<T>(&self, key: &str, default: T) -> Result<T>
    where
        T: FromStr,
        T::Err: std::error::Error + Send + Sync + 'static,
    {
        let Some(value) = self.settings.get(key) else {
            return Ok(default);
        };
        value
            .parse()
            .with_context(|| format!("setting `{key}` has the value `{value}`, which does not parse"))
    }

    /// Fails when a setting is not among `known`, so that a misspelt one is not silently ignored.
    ///
    /// # Errors
    ///
    /// Names the first unknown setting and the known ones.
    pub fn check_known(&self, known: &[&str]) -> Result<()> {
        let unknown = self.settings.keys().find(|key| !known.contains(&&***key));
        match unknown {
            Some(key) => Err(eyre!(
                "unknown setting `{key}`; this scenario knows {}",
                known.join(", ")
            )),
            None => Ok(()),
        }
    }
}

/// A scenario that can be run by name.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// One line that tells what the scenario shows.
    pub description: &'static str,
    run: fn(&Options) -> Result<Report>,
}

/// All scenarios.
pub const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "repartition",
        description: "shards split and merge before the configuration says so: coverage",
        run: scenarios::repartition::run,
    },
    Scenario {
        name: "rolling-versions",
        description: "snapshots advance, roll back and are dropped: one snapshot, coverage",
        run: scenarios::rolling_versions::run,
    },
    Scenario {
        name: "hot-server",
        description: "one local replica 10 times slower from 2 s on: tail latency",
        run: scenarios::hot_server::run,
    },
    Scenario {
        name: "submissions",
        description: "at most once, and a truthful not-run, while messages, leaves and owners fail",
        run: scenarios::submissions::run,
    },
    Scenario {
        name: "config-churn",
        description: "time to effect, bytes and reads, with lost peers and a slow platform",
        run: scenarios::config_churn::run,
    },
    Scenario {
        name: "platform-down",
        description: "processes start without the platform; stale answers never revert",
        run: scenarios::platform_down::run,
    },
    Scenario {
        name: "restart-all",
        description: "reads of the platform when all processes start at once",
        run: scenarios::restart_all::run,
    },
    Scenario {
        name: "partition",
        description: "cut data centres converge to the highest revision without a storm",
        run: scenarios::partition::run,
    },
    Scenario {
        name: "leaving-server",
        description: "no new work 3 s after the first signal of leaving",
        run: scenarios::leaving_server::run,
    },
    Scenario {
        name: "config-redial",
        description: "connections opened anew by configuration changes, by the digest that decides it",
        run: scenarios::config_redial::run,
    },
    Scenario {
        name: "stragglers",
        description: "390 shards, 1% of requests 30 times slower: tail latency and extra load",
        run: scenarios::stragglers::run,
    },
    Scenario {
        name: "overload-precedence",
        description: "latency of urgent work beside a routine load of twice the capacity",
        run: scenarios::overload_precedence::run,
    },
    Scenario {
        name: "capacity-halves",
        description: "goodput while the capacity of a searcher halves and returns",
        run: scenarios::capacity_halves::run,
    },
    Scenario {
        name: "owner-compare",
        description: "equal shares, random subsets or one owner for a searcher",
        run: scenarios::owner_compare::run,
    },
    Scenario {
        name: "owner-change",
        description: "connections and slots used while the owner is replaced, paused and killed",
        run: scenarios::owner_change::run,
    },
    Scenario {
        name: "new-connections",
        description: "requests that wait for a new connection in steady state",
        run: scenarios::new_connections::run,
    },
];

/// Runs the scenario `name`.
///
/// # Errors
///
/// Fails when the name or a setting is unknown.
pub fn run(name: &str, options: &Options) -> Result<Report> {
    let Some(scenario) = SCENARIOS.iter().find(|scenario| scenario.name == name) else {
        bail!("unknown scenario `{name}`; use --list to see the names");
    };
    (scenario.run)(options)
}
