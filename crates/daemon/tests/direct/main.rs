//! Tests of the direct mode over real sockets, against stand-ins for the platform and the targets.

mod calls;
mod connections;
mod copies;
mod engine_simulator;
mod fleet;
mod foreign;
mod guard_limits;
mod headers;
mod keys;
mod leaving;
mod limits;
mod lives;
mod notices;
mod poison;
mod record_exchange;
mod reloads;
mod restore_trials;
mod restored_twins;
mod restores;
mod retries;
mod settings;
mod starts;
mod support;
mod unread_revocations;
mod versions;
