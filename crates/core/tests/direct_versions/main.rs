//! Memory of prompts that engines take from each other, and the versions that made it.
//!
//! Callers of one adapter got answers that were computed in part from other weights than the rest. New weights of the base model
//! had been named; some engines crashed, came back empty and loaded the newest, while their neighbours went on with the first
//! ones. A neighbour had kept the shared part of a prompt, and was named as its source: what an engine keeps was known by the
//! adapter's name alone. That it was this and not the adapter's own version was shown by plays of both: 318 runs used memory of
//! other weights where targets came back with new ones, none where adapters were replaced, though 104 of 412 moves
//! were between unlike versions of an adapter there. Both are the same fault.

mod lending;
mod moves;
mod support;
