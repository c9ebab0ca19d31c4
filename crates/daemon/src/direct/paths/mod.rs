//! Paths from this VM to targets: its own connections, and tunnels through other VMs.
//!
//! While the path to a zone's targets is lost, calls to them go through a tunnel: another VM connects to the target and
//! forwards the bytes of one connection in both directions. Everything that concerns the call stays with the VM that
//! its caller asked: placement, key, quota, deadline, retries and the check of the answer. A VM that serves a tunnel
//! connects to the target itself and never through a third VM.
//!
//! | module | job |
//! |---|---|
//! | [`monitor`] | own connections to targets, and whether each zone's path is lost |
//! | [`watched_stream`] | own connection that records what it hears |
//! | [`tunnel_client`] | tunnels that this VM opens through others |
//! | [`tunnel_server`] | tunnels that this VM serves |

pub mod monitor;
pub mod tunnel_client;
pub mod tunnel_server;
pub mod watched_stream;
