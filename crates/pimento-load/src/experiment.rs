//! Registry of the scenarios and the options of a run.

use std::str::FromStr;

use eyre::Context;
use eyre::Result;
use eyre::bail;
use eyre::eyre;
use indexmap::IndexMap;

use crate::report::Report;
use crate::scenarios;

/// Seed and settings of a run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of the random number generator.
    pub seed: u64,
    settings: IndexMap<Box<str>, Box<str>>,
}

impl Options {
    /// Parses settings of the form `key=value`. If a key is repeated, its last value applies.
    ///
    /// # Errors
    ///
    /// Returns an error if a setting has no `=`.
    pub fn parse(seed: u64, settings: &[String]) -> Result<Self> {
        let mut map = IndexMap::new();
        for setting in settings {
            let Some((key, value)) = setting.split_once('=') else {
                bail!("setting `{setting}` has no `=`; use --set key=value");
            };
            map.insert(key.into(), value.into());
        }
        Ok(Self { seed, settings: map })
    }

    /// Returns the setting `key`, or `default` when it is not set.
    ///
    /// # Errors
    ///
    /// Returns an error if the value does not parse.
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
            .with_context(|| format!("invalid value `{value}` for setting `{key}`"))
    }

    /// Returns an error if a setting is not among `known`, so that a misspelt one is not ignored.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first unknown setting and lists the known ones.
    pub fn reject_unknown_settings(&self, known: &[&str]) -> Result<()> {
        let unknown = self.settings.keys().find(|key| !known.contains(&&***key));
        match unknown {
            Some(key) => Err(eyre!(
                "unknown setting `{key}`; the settings of this scenario are {}",
                known.join(", ")
            )),
            None => Ok(()),
        }
    }
}

/// Scenario that can be run by name.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// One line that says what the scenario does and measures.
    pub description: &'static str,
    run: fn(&Options) -> Result<Report>,
}

/// All scenarios, in the order of `--list`.
pub const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "repartition",
        description: "coverage while shards split and merge before the configuration changes",
        run: scenarios::repartition::run,
    },
    Scenario {
        name: "rolling-versions",
        description: "coverage and restarts while servers adopt, roll back and drop snapshots",
        run: scenarios::rolling_versions::run,
    },
    Scenario {
        name: "hot-server",
        description: "tail latency when one local replica becomes 10 times slower after 2 s",
        run: scenarios::hot_server::run,
    },
    Scenario {
        name: "submissions",
        description: "at-most-once execution and correct not_run answers under faults of messages, leaves and owners",
        run: scenarios::submissions::run,
    },
    Scenario {
        name: "config-churn",
        description: "time until a configuration is in effect, with lost peers and a slow platform",
        run: scenarios::config_churn::run,
    },
    Scenario {
        name: "platform-down",
        description: "start of processes during an outage of the platform, and stale answers after it",
        run: scenarios::platform_down::run,
    },
    Scenario {
        name: "restart-all",
        description: "platform reads when all processes start at once",
        run: scenarios::restart_all::run,
    },
    Scenario {
        name: "partition",
        description: "convergence and traffic after data centres were partitioned",
        run: scenarios::partition::run,
    },
    Scenario {
        name: "leaving-server",
        description: "new work that a searcher gets later than 3 s after it begins to leave",
        run: scenarios::leaving_server::run,
    },
    Scenario {
        name: "config-redial",
        description: "connections replaced on configuration changes, for each digest that can decide it",
        run: scenarios::config_redial::run,
    },
    Scenario {
        name: "stragglers",
        description: "tail latency and extra load with 390 shards, when 1% of requests are 30 times slower",
        run: scenarios::stragglers::run,
    },
    Scenario {
        name: "overload-precedence",
        description: "latency of urgent requests under a routine load of twice the capacity",
        run: scenarios::overload_precedence::run,
    },
    Scenario {
        name: "capacity-halves",
        description: "goodput while the capacity of a searcher halves and recovers",
        run: scenarios::capacity_halves::run,
    },
    Scenario {
        name: "owner-compare",
        description: "equal shares, subsets and a single owner for the connections to a searcher",
        run: scenarios::owner_compare::run,
    },
    Scenario {
        name: "owner-change",
        description: "connections and slots in use while owners are replaced, paused and killed",
        run: scenarios::owner_change::run,
    },
    Scenario {
        name: "new-connections",
        description: "requests that wait for a connection while the server closes some at random",
        run: scenarios::new_connections::run,
    },
];

/// Runs the scenario `name`.
///
/// # Errors
///
/// Returns an error if the scenario or a setting is unknown, or if the value of a setting is invalid.
pub fn run(name: &str, options: &Options) -> Result<Report> {
    let Some(scenario) = SCENARIOS.iter().find(|scenario| scenario.name == name) else {
        bail!("unknown scenario `{name}`; use --list to see the names");
    };
    (scenario.run)(options)
}
