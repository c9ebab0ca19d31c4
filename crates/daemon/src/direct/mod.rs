//! The direct data path: every VM is a gateway that sends straight to targets, and one VM a zone gives the orders.
//!
//! | module | job |
//! |---|---|
//! | [`settings`] | the settings of this mode |
//! | [`daemon`] | starts and stops everything |
//! | [`fleet`], [`folding`] | what this VM knows of configuration, targets, leases and VMs, and how records change it |
//! | [`intake`] | what comes into these books, and what of it is news for others |
//! | [`exchange`] | what VMs tell each other of the platform's log |
//! | [`feeds`] | one worker a topic of the platform's log |
//! | [`listing`] | a listing of a topic, page by page |
//! | [`reach`] | what these workers tell each other about it |
//! | [`front`] | callers' connections |
//! | [`questions`], [`figures`] | the balancer's and the collectors' questions, and what is counted |
//! | [`reload`] | settings that change while the daemon runs |
//! | [`call`] | one caller's request from its head to its answer |
//! | [`whole`], [`events`] | answers taken whole, and answers passed on event by event |
//! | [`cutter`] | whole events out of a stream's bytes |
//! | [`sender`] | connections to targets, and one send over one of them |
//! | [`engine_calls`] | orders to engines, and their reports |
//! | [`ledger`] | the holder's part of quotas, and the calls of plain services |
//! | [`zone`] | the worker that holds a zone: planner, orders, reports |
//! | [`access`], [`asking`] | the gateway's way to the holder of a zone, and what that one is asked and told |
//! | [`links`], [`message`] | links between VMs |
//! | [`sharing`] | what a link passes on of the log |
//! | [`skipped`] | how often entries that can't be used are told of |
//! | [`records`] | what VMs pass on to each other of the platform's log |
//! | [`trials`] | permits for trials of suspects |
//! | [`suspect_records`] | records of suspects in the platform's log |
//! | [`claims`] | claims of a zone's lease |

pub mod buffered_answer;
pub mod call;
pub mod caller_connections;
pub mod claims;
pub mod daemon;
pub mod engine_client;
pub mod eras;
pub mod event_relay;
pub mod event_splitter;
pub mod exchange;
pub mod feeds;
pub mod fleet;
pub mod folding;
pub mod holder_client;
mod holder_requests;
pub mod holder_state;
pub mod ingest;
pub mod links;
pub mod listing;
pub mod message;
pub mod metrics;
pub mod notices;
pub mod probes;
pub mod reachability;
pub mod record_cache;
pub mod recorder;
pub mod reload;
pub mod settings;
pub mod sharing;
pub mod skipped;
pub mod suspect_records;
pub mod target_connections;
pub mod trials;
pub mod zone;
