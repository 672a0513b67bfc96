//! Validation rules for policies.

use super::Checker;
use super::location::Location;
use crate::version::document::ObjectivesSection;
use crate::version::document::PolicySection;
use crate::version::units::Percentage;
use crate::version::units::Period;

/// Shortest deadline, and shortest latency objective.
pub const MIN_DEADLINE: Period = Period::from_millis(1);

/// Upper limit on `max_deadline`.
pub const MAX_DEADLINE: Period = Period::from_millis(60_000);

/// Upper limit on the hedge budget and on the retry budget, so that neither can become most of the load.
pub const MAX_BUDGET: Percentage = Percentage::from_percent(50);

/// Lower limit on the share of routine work, which prevents starvation.
pub const MIN_ROUTINE_SHARE: Percentage = Percentage::from_percent(1);

/// Upper limit on the share of routine work, so that urgent work keeps precedence.
pub const MAX_ROUTINE_SHARE: Percentage = Percentage::from_percent(50);

impl Checker<'_> {
    pub(super) fn check_policy(&mut self, location: Location<'_>, policy: &PolicySection) {
        self.check_deadlines(location, policy);
        self.check_budget(location, "hedge_budget", policy.hedge_budget);
        self.check_budget(location, "retry_budget", policy.retry_budget);
        let share = policy.routine_share;
        if !(MIN_ROUTINE_SHARE..=MAX_ROUTINE_SHARE).contains(&share) {
            self.add(
                location,
                "policy.routine_share",
                format!("{share} is out of range"),
                format!("use {MIN_ROUTINE_SHARE} to {MAX_ROUTINE_SHARE}"),
            );
        }
        self.check_objectives(location, policy);
    }

    fn check_deadlines(&mut self, location: Location<'_>, policy: &PolicySection) {
        if policy.max_deadline > MAX_DEADLINE {
            self.add(
                location,
                "policy.max_deadline",
                format!("{} is too long", policy.max_deadline),
                format!("use at most {MAX_DEADLINE}"),
            );
        }
        if policy.deadline < MIN_DEADLINE || policy.deadline > policy.max_deadline {
            self.add(
                location,
                "policy.deadline",
                format!("{} is out of range", policy.deadline),
                format!("use {MIN_DEADLINE} to max_deadline, which is {}", policy.max_deadline),
            );
        }
    }

    fn check_budget(&mut self, location: Location<'_>, field: &str, budget: Percentage) {
        if budget > MAX_BUDGET {
            self.add(
                location,
                &format!("policy.{field}"),
                format!("{budget} is out of range"),
                format!("use 0% to {MAX_BUDGET}"),
            );
        }
    }

    fn check_objectives(&mut self, location: Location<'_>, policy: &PolicySection) {
        let objectives = &policy.objectives;
        self.check_latency(location, policy);
        self.check_ratio(location, "objectives.latency_ratio", objectives.latency_ratio);
        self.check_ratio(location, "objectives.coverage_ratio", objectives.coverage_ratio);
        self.check_extra_load(location, policy, objectives);
    }

    fn check_latency(&mut self, location: Location<'_>, policy: &PolicySection) {
        let latency = policy.objectives.latency;
        if latency < MIN_DEADLINE || latency > policy.max_deadline {
            self.add(
                location,
                "policy.objectives.latency",
                format!("{latency} is out of range"),
                format!("use {MIN_DEADLINE} to max_deadline, which is {}", policy.max_deadline),
            );
        }
    }

    /// Rejects ratios of 0% and 100%. A ratio of 100% leaves an error budget of zero, and burn rates are divided by it.
    fn check_ratio(&mut self, location: Location<'_>, field: &str, ratio: Percentage) {
        if ratio == Percentage::default() || ratio == Percentage::FULL {
            self.add(
                location,
                &format!("policy.{field}"),
                format!("{ratio} is out of range"),
                "use more than 0% and less than 100%, such as 99.9%",
            );
        }
    }

    /// Rejects an objective below the sum of the budgets. The budgets limit the extra load, so that requests within the
    /// budgets could violate such an objective.
    fn check_extra_load(&mut self, location: Location<'_>, policy: &PolicySection, objectives: &ObjectivesSection) {
        let budgets = policy.hedge_budget.ppm() + policy.retry_budget.ppm();
        if objectives.extra_load.ppm() < budgets {
            self.add(
                location,
                "policy.objectives.extra_load",
                format!(
                    "{} is less than the hedge and retry budgets together",
                    objectives.extra_load
                ),
                "raise it, or lower hedge_budget or retry_budget",
            );
        }
    }
}
