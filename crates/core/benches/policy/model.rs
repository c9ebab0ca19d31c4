//! Engine model: capacities and step times.

use serde::{Deserialize, Serialize};

/// Parameters of an engine. `--model` reads them from a JSON file with the same keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineModel {
    /// Adapter slots per engine.
    pub slots: usize,
    /// Sequences in a full batch.
    pub batch: usize,
    /// Fixed duration of a step, in milliseconds.
    pub step_ms: f64,
    /// Additional duration of a step per sequence, in milliseconds.
    pub sequence_ms: f64,
    /// Additional duration of a step per prompt token, in milliseconds.
    pub prefill_ms: f64,
    /// Maximum number of prompt tokens per step.
    pub prefill_chunk: u32,
    /// Duration of a single load, in milliseconds; concurrent loads share the store's throughput.
    pub load_ms: f64,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            slots: 8,
            batch: 16,
            step_ms: 20.0,
            sequence_ms: 1.0,
            prefill_ms: 0.05,
            prefill_chunk: 512,
            load_ms: 333.0,
        }
    }
}

impl EngineModel {
    /// Throughput of a full batch, in output tokens per second.
    pub fn full_speed(&self) -> f64 {
        let step = self.step_ms + self.sequence_ms * self.batch as f64;
        self.batch as f64 / step * 1000.0
    }
}
