//! The weights of the policy, which a configuration change puts in force at once.

use crate::ids::PriorityClass;
use serde::{Deserialize, Serialize};

macro_rules! policy_weights {
    ($($(#[$doc:meta])* $name:ident = $default:expr, $low:expr, $high:expr, $unit:expr;)*) => {
        /// The weights of the policy.
        #[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
        pub struct PolicyWeights {
            $($(#[$doc])* pub $name: f64,)*
        }

        impl Default for PolicyWeights {
            fn default() -> Self {
                Self { $($name: $default,)* }
            }
        }

        impl PolicyWeights {
            /// Sets a weight by name; false if it is unknown or out of range.
            pub fn set(&mut self, name: &str, value: f64) -> bool {
                match name {
                    $(stringify!($name) if ($low..=$high).contains(&value) => {
                        self.$name = value;
                        true
                    })*
                    _ => false,
                }
            }

            /// Every weight with its present value, range and unit.
            #[must_use]
            pub fn list(&self) -> Vec<WeightInfo> {
                vec![$(WeightInfo {
                    name: stringify!($name),
                    value: self.$name,
                    low: $low,
                    high: $high,
                    unit: $unit,
                },)*]
            }
        }
    };
}

policy_weights! {
    /// What one second of an urgent request's wait counts against a batch request's.
    urgent_weight = 16.0, 1.0, 1000.0, "ratio";
    /// What one second of a normal request's wait counts against a batch request's.
    normal_weight = 4.0, 1.0, 1000.0, "ratio";
    /// Share of a target's batch that only urgent work may use.
    urgent_reserve = 0.1, 0.0, 0.9, "share";
    /// Bound on an urgent request's wait; work that would wait longer is refused.
    urgent_bound_s = 10.0, 0.1, 600.0, "s";
    /// Bound on a normal request's wait.
    normal_bound_s = 20.0, 0.1, 600.0, "s";
    /// Bound on a batch request's wait.
    batch_bound_s = 120.0, 1.0, 7200.0, "s";
    /// How strongly batch work is packed on busy targets, in seconds of wait.
    packing_s = 0.0, 0.0, 60.0, "s";
    /// Running share of a batch below which batch work is held back for company.
    hold_below = 0.0, 0.0, 1.0, "share";
    /// Longest time for which batch work is held back.
    hold_s = 20.0, 0.0, 600.0, "s";
    /// Cost of using a target without the adapter, beside the load itself.
    load_penalty_s = 0.3, 0.0, 60.0, "s";
    /// How much more wanted an adapter must be than the one that it replaces without demand.
    preload_margin = 2.0, 1.0, 100.0, "ratio";
    /// Prompt tokens that non-urgent work may have in prefill at once on a target.
    prefill_tokens = 4096.0, 64.0, 1_000_000.0, "tokens";
    /// Cost of leaving the caller's availability zone.
    zone_cost_s = 0.005, 0.0, 10.0, "s";
}

/// A weight, its value and its range.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WeightInfo {
    /// Its name.
    pub name: &'static str,
    /// Its value.
    pub value: f64,
    /// Least value.
    pub low: f64,
    /// Greatest value.
    pub high: f64,
    /// Its unit.
    pub unit: &'static str,
}

/// A documented set of weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightPreset {
    /// Kilindini's: nobody waits for a load if it can be helped.
    LoadStallsFirst,
    /// Kettleby's: every engine step as full as can be.
    BatchEfficiencyFirst,
}

impl WeightPreset {
    /// Parses a preset's name.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "load-stalls-first" => Some(Self::LoadStallsFirst),
            "batch-efficiency-first" => Some(Self::BatchEfficiencyFirst),
            _ => None,
        }
    }

    /// The weights that it sets; the others stay as they are.
    #[must_use]
    pub fn overrides(self) -> &'static [(&'static str, f64)] {
        match self {
            Self::LoadStallsFirst => &[
                ("urgent_weight", 32.0),
                ("urgent_reserve", 0.15),
                ("packing_s", 0.0),
                ("hold_below", 0.0),
                ("load_penalty_s", 0.3),
            ],
            Self::BatchEfficiencyFirst => &[
                ("urgent_weight", 16.0),
                ("urgent_reserve", 0.05),
                ("packing_s", 4.0),
                ("hold_below", 0.6),
                ("load_penalty_s", 1.0),
            ],
        }
    }

    /// The default weights with the preset's on top.
    #[must_use]
    pub fn weights(self) -> PolicyWeights {
        let mut weights = PolicyWeights::default();
        for (name, value) in self.overrides() {
            weights.set(name, *value);
        }
        weights
    }
}

impl PolicyWeights {
    /// Bound on the wait of a class, in seconds.
    #[must_use]
    pub fn bound_s(&self, class: PriorityClass) -> f64 {
        match class {
            PriorityClass::Urgent => self.urgent_bound_s,
            PriorityClass::Normal => self.normal_bound_s,
            PriorityClass::Batch => self.batch_bound_s,
        }
    }

    /// What a second of waiting counts in a class.
    #[must_use]
    pub fn class_weight(&self, class: PriorityClass) -> f64 {
        match class {
            PriorityClass::Urgent => self.urgent_weight,
            PriorityClass::Normal => self.normal_weight,
            PriorityClass::Batch => 1.0,
        }
    }
}
