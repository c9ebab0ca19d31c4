//! Tunable weights of the scheduling policy, and presets of them.
//!
//! Weights are part of the configuration; a change takes effect immediately. Operators set them by field name.

use crate::ids::PriorityClass;
use serde::{Deserialize, Serialize};

macro_rules! policy_weights {
    ($($(#[$doc:meta])* $name:ident = $default:expr, $low:expr, $high:expr, $unit:expr;)*) => {
        /// Tunable weights of the scheduling policy.
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
            /// Sets a weight by name; returns false if the name is unknown or the value out of range.
            pub fn set(&mut self, name: &str, value: f64) -> bool {
                match name {
                    $(stringify!($name) if ($low..=$high).contains(&value) => {
                        self.$name = value;
                        true
                    })*
                    _ => false,
                }
            }

            /// All weights with their current value, range and unit.
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
    /// Cost of one second of an urgent request's wait, relative to a batch request's.
    urgent_weight = 16.0, 1.0, 1000.0, "ratio";
    /// Cost of one second of a normal request's wait, relative to a batch request's.
    normal_weight = 4.0, 1.0, 1000.0, "ratio";
    /// Share of a target's batch reserved for urgent requests.
    urgent_reserve = 0.1, 0.0, 0.9, "share";
    /// Maximum wait of an urgent request; requests expected to wait longer are refused.
    urgent_bound_s = 10.0, 0.1, 600.0, "s";
    /// Maximum wait of a normal request.
    normal_bound_s = 20.0, 0.1, 600.0, "s";
    /// Maximum wait of a batch request.
    batch_bound_s = 120.0, 1.0, 7200.0, "s";
    /// Extra wait accepted to place batch requests on busier targets, so that others can run empty.
    packing_s = 0.0, 0.0, 60.0, "s";
    /// Batch occupancy, running and waiting, below which batch requests are held back until more of them arrive.
    hold_below = 0.0, 0.0, 1.0, "share";
    /// Maximum time for which batch requests are held back.
    hold_s = 20.0, 0.0, 600.0, "s";
    /// Cost of choosing a target without the adapter, in addition to the load time.
    load_penalty_s = 0.3, 0.0, 60.0, "s";
    /// Factor by which a preloaded adapter's request rate must exceed that of the adapter it evicts.
    preload_margin = 2.0, 1.0, 100.0, "ratio";
    /// Prompt tokens in prefill on a target from which only urgent requests are dispatched.
    prefill_tokens = 4096.0, 64.0, 1_000_000.0, "tokens";
    /// Cost of choosing a target outside the gateway's availability zone.
    zone_cost_s = 0.005, 0.0, 10.0, "s";
}

/// A weight with its current value, range and unit.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WeightInfo {
    /// Field name in [`PolicyWeights`].
    pub name: &'static str,
    /// Current value.
    pub value: f64,
    /// Minimum value.
    pub low: f64,
    /// Maximum value.
    pub high: f64,
    /// Unit of the value.
    pub unit: &'static str,
}

/// A named set of weights for a common objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightPreset {
    /// Avoids waits for adapter loads.
    LoadStallsFirst,
    /// Keeps the batch of every engine step as full as possible.
    BatchEfficiencyFirst,
}

impl WeightPreset {
    /// Parses a preset name; `None` if it is unknown.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "load-stalls-first" => Some(Self::LoadStallsFirst),
            "batch-efficiency-first" => Some(Self::BatchEfficiencyFirst),
            _ => None,
        }
    }

    /// Names and values of the weights that the preset sets; the others are left unchanged.
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

    /// The default weights with the preset's overrides applied.
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
    /// Maximum wait of a class, in seconds.
    #[must_use]
    pub fn max_wait_s(&self, class: PriorityClass) -> f64 {
        match class {
            PriorityClass::Urgent => self.urgent_bound_s,
            PriorityClass::Normal => self.normal_bound_s,
            PriorityClass::Batch => self.batch_bound_s,
        }
    }

    /// Cost of one second of waiting in a class, relative to batch.
    #[must_use]
    pub fn class_weight(&self, class: PriorityClass) -> f64 {
        match class {
            PriorityClass::Urgent => self.urgent_weight,
            PriorityClass::Normal => self.normal_weight,
            PriorityClass::Batch => 1.0,
        }
    }
}
