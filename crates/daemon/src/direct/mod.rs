//! The direct mode: every VM is a gateway that sends calls straight to targets, and one VM per zone issues the orders.
//!
//! Each VM reads the platform's log and exchanges its records with other VMs, so that it knows the configuration, the
//! targets and the holder of each zone's lease. A gateway asks the holder of a zone for a placement and then sends the
//! call to the target itself. The holder plans placements, sends orders to engines and reads their reports.
//!
//! | module | purpose |
//! |---|---|
//! | [`settings`], [`reload`] | settings of this mode, and their changes while the daemon runs |
//! | [`daemon`] | startup and planned stop |
//! | [`fleet`], [`folding`] | state of the fleet as known to this VM, and how log records change it |
//! | [`ingest`] | incoming records, and which of them have to be forwarded |
//! | [`exchange`], [`sharing`] | exchange of the log's records between VMs, and the part that one link forwards |
//! | [`record_cache`] | newest record of each key, with the updates to forward |
//! | [`feeds`], [`listing`] | reading and listing of the log's topics |
//! | [`reachability`] | reachability of the log, shared by the readers of a VM |
//! | [`eras`] | eras of the log, which change when it is restored from a copy |
//! | [`recorder`] | records that this VM maintains in the log |
//! | [`origin_reporter`] | sends the origins of earlier streams to the holders once they are needed |
//! | [`stream_archive`] | the same in the log, for VMs that start after all have ended |
//! | [`stream_records`] | which software versions began streams, as this VM, other VMs and the log know |
//! | [`suspect_records`], [`trials`] | records and trials of requests during which targets crashed |
//! | [`caller_connections`] | connections of callers |
//! | [`request_timer`] | time limits of the waits for requests on them |
//! | [`overload_control`] | what this VM takes while it has more work than processor time |
//! | [`probes`], [`metrics`] | readiness check and metrics page |
//! | [`call`] | one caller's request from its head to its answer |
//! | [`buffered_answer`], [`event_relay`] | answers buffered as a whole, and answers streamed event by event |
//! | [`answer_buffers`] | bounds of the memory for buffered answers |
//! | [`error_chain`] | errors with their sources, for the log |
//! | [`event_splitter`] | splits the bytes of a stream into complete events |
//! | [`paths`] | own connections to targets, and tunnels through other VMs |
//! | [`answer_checks`] | whether single targets answer this VM |
//! | [`target_connections`] | connections to targets, and single requests over them |
//! | [`notices`] | notices that targets include in their answers |
//! | [`skipped`] | limits log lines about unusable entries |
//! | [`zone`], [`claims`] | the worker that runs a held zone, and claims of the zone's lease |
//! | [`claim_proofs`] | reads that prove that a claim stands in the log |
//! | [`holder_state`] | the holder's quota shares, and calls of plain services |
//! | [`engine_client`] | orders to engines, and their reports |
//! | [`holder_client`] | a gateway's access to the holder of a zone, with the requests and notifications sent to it |
//! | [`links`], [`message`], [`vm_socket`] | links between VMs, their messages and connections |

pub mod answer_buffers;
pub mod answer_checks;
pub mod buffered_answer;
pub mod call;
pub mod caller_connections;
pub mod claim_proofs;
pub mod claims;
pub mod daemon;
pub mod engine_client;
pub mod eras;
pub mod error_chain;
pub mod event_relay;
pub mod event_splitter;
pub mod exchange;
pub mod explain;
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
pub mod origin_reporter;
pub mod overload_control;
pub mod paths;
pub mod probes;
pub mod reachability;
pub mod record_cache;
pub mod recorder;
pub mod reload;
pub mod request_timer;
pub mod service_plans;
pub mod settings;
pub mod sharing;
pub mod skipped;
pub mod stream_archive;
pub mod stream_records;
pub mod suspect_records;
pub mod target_connections;
pub mod trials;
pub mod vm_socket;
pub mod zone;
