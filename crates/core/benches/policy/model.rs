//! The engine model, and the sizes of a site.

use serde::{Deserialize, Serialize};

/// Sizes and speeds; a JSON file with these keys can be given by `--model`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineModel {
    /// Adapter slots of an engine.
    pub slots: usize,
    /// Sequences in a full batch.
    pub batch: usize,
    /// Time of an empty step, in milliseconds.
    pub step_ms: f64,
    /// Time that each sequence adds to a step.
    pub sequence_ms: f64,
    /// Time that each prompt token adds to a step.
    pub prefill_ms: f64,
    /// Prompt tokens that one step takes on.
    pub prefill_chunk: u32,
    /// Time of one load alone, in milliseconds; loads at once share the store.
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
    /// Output tokens a second of a full batch.
    pub fn full_speed(&self) -> f64 {
        let step = self.step_ms + self.sequence_ms * self.batch as f64;
        self.batch as f64 / step * 1000.0
    }
}
