//! Parser of the list of searchers that the program starts in one process.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::Context;
use eyre::Result;
use eyre::eyre;

use crate::searcher::KeyRange;
use crate::searcher::Settings;

/// Searcher of a list.
#[derive(Debug, Clone)]
pub struct ListedSearcher {
    /// Address that the searcher listens on.
    pub address: SocketAddr,
    /// Properties of the searcher.
    pub settings: Settings,
}

/// Parses a list with one searcher per line.
///
/// The fields are separated by whitespace: name, address, shard, range as `START-END`, slots, connections, and connect
/// cost in milliseconds. Empty lines and lines that start with `#` are skipped.
///
/// # Errors
///
/// Fails at the first line that does not parse, and names its number.
pub fn parse(text: &str) -> Result<Vec<ListedSearcher>> {
    let mut searchers = Vec::new();
    for (ix, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let parsed = parse_line(line).with_context(|| format!("line {} of the list", ix + 1))?;
        searchers.push(parsed);
    }
    Ok(searchers)
}

fn parse_line(line: &str) -> Result<ListedSearcher> {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let [name, address, shard, range, slots, connections, cost] = fields.as_slice() else {
        let found = fields.len();
        return Err(eyre!(
            "{found} fields instead of 7; expected NAME ADDRESS SHARD START-END SLOTS CONNECTIONS COST_MS"
        ));
    };
    let mut settings = Settings::new(name, shard, parse_range(range)?);
    settings.slots = slots.parse().context("number of slots is not valid")?;
    settings.connections = connections.parse().context("number of connections is not valid")?;
    let cost = cost
        .parse()
        .context("connect cost is not a valid number of milliseconds")?;
    settings.connect_cost = Duration::from_millis(cost);
    Ok(ListedSearcher {
        address: address.parse().context("address is not IP:PORT")?,
        settings,
    })
}

/// Parses a range of keys of the form `START-END`.
///
/// # Errors
///
/// Fails if there is no `-` or a bound is not a number.
pub fn parse_range(text: &str) -> Result<KeyRange> {
    let Some((start, end)) = text.split_once('-') else {
        return Err(eyre!("range `{text}` has no `-`; expected START-END"));
    };
    Ok(KeyRange {
        start: start.parse().context("start of the range is not a valid number")?,
        end: end.parse().context("end of the range is not a valid number")?,
    })
}
