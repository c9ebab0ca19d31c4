//! The direct mode over real sockets, against stand-ins of the users' platform and targets.

mod calls;
mod connections;
mod copies;
mod engine_simulator;
mod fleet;
mod foreign;
mod headers;
mod keys;
mod leaving;
mod limits;
mod lives;
mod news;
mod notices;
mod poison;
mod reloads;
mod repeats;
mod restores;
mod settings;
mod starts;
mod support;
mod versions;
