//! Text form of a [`Diff`].

use std::fmt;

use super::Change;
use super::Diff;
use super::ShardChange;
use crate::version::document::PolicySection;
use crate::version::keys::KeyRange;

/// A policy field with its value in the notation of the document.
pub(super) struct Field {
    pub(super) name: &'static str,
    pub(super) value: Box<str>,
}

/// Returns all fields in a fixed order. Destructuring causes a compile error when a field is added to the policy.
pub(super) fn policy_fields(policy: &PolicySection) -> Vec<Field> {
    let PolicySection {
        deadline,
        max_deadline,
        min_coverage,
        hedge_budget,
        retry_budget,
        routine_share,
        submissions,
        objectives,
    } = policy;
    let fields: [(&str, &dyn fmt::Display); 11] = [
        ("deadline", deadline),
        ("max_deadline", max_deadline),
        ("min_coverage", min_coverage),
        ("hedge_budget", hedge_budget),
        ("retry_budget", retry_budget),
        ("routine_share", routine_share),
        ("submissions", submissions),
        ("objectives.latency", &objectives.latency),
        ("objectives.latency_ratio", &objectives.latency_ratio),
        ("objectives.coverage_ratio", &objectives.coverage_ratio),
        ("objectives.extra_load", &objectives.extra_load),
    ];
    let field = |(name, value): (&'static str, &dyn fmt::Display)| Field {
        name,
        value: value.to_string().into(),
    };
    fields.into_iter().map(field).collect()
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_revisions(f)?;
        if let Some(Change { old, new }) = &self.claims {
            writeln!(
                f,
                "claims: tolerated_views {} -> {}, remote_reserve {} -> {} (every connection cap is redistributed)",
                old.tolerated_views, new.tolerated_views, old.remote_reserve, new.remote_reserve,
            )?;
        }
        write_names(f, "service added", &self.services_added)?;
        write_names(f, "service removed", &self.services_removed)?;
        write_names(f, "searcher added", &self.searchers_added)?;
        write_names(f, "searcher removed", &self.searchers_removed)?;
        for change in &self.redialled {
            let fields = change.fields.join(", ");
            writeln!(f, "searcher re-dialled: {} ({fields} changed)", change.searcher)?;
        }
        for change in &self.relocated {
            let Change { old, new } = &change.data_centre;
            writeln!(f, "searcher relocated: {} {old} -> {new}", change.searcher)?;
        }
        self.shards.iter().try_for_each(|change| write_shard(f, change))?;
        for change in &self.policies {
            let Change { old, new } = &change.value;
            writeln!(f, "policy: {}.{} {old} -> {new}", change.service, change.field)?;
        }
        self.write_effect(f)
    }
}

impl Diff {
    fn write_revisions(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Change { old, new } = self.revisions;
        writeln!(f, "revision: {old} -> {new}")?;
        if new <= old {
            writeln!(
                f,
                "warning: processes ignore a revision that does not grow; run `pimento-check seal DIR --revision {}`",
                old.saturating_add(1),
            )?;
        }
        Ok(())
    }

    fn write_effect(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "effect: {} searchers dialled, {} closed, {} re-dialled, {} relocated, {} shards changed, {} policy fields changed",
            self.searchers_added.len(),
            self.searchers_removed.len(),
            self.redialled.len(),
            self.relocated.len(),
            self.shards.len(),
            self.policies.len(),
        )
    }
}

fn write_names(f: &mut fmt::Formatter<'_>, label: &str, names: &[Box<str>]) -> fmt::Result {
    names.iter().try_for_each(|name| writeln!(f, "{label}: {name}"))
}

fn write_shard(f: &mut fmt::Formatter<'_>, change: &ShardChange) -> fmt::Result {
    let name = format!("{}/{}", change.service, change.shard);
    match change.range {
        Change { old: None, new } => writeln!(f, "shard added: {name} {}", range_text(new)),
        Change { old, new: None } => writeln!(f, "shard removed: {name} {}", range_text(old)),
        Change { old, new } => {
            write!(f, "shard moved: {name}")?;
            if old != new {
                write!(f, " keys {} -> {}", range_text(old), range_text(new))?;
            }
            if change.replicas.old != change.replicas.new {
                let old = change.replicas.old.join(",");
                write!(f, " replicas {old} -> {}", change.replicas.new.join(","))?;
            }
            writeln!(f)
        }
    }
}

fn range_text(range: Option<KeyRange>) -> String {
    range.map_or_else(String::new, |range| format!("{}..{}", range.start, range.end))
}
