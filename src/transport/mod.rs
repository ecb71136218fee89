//! HTTP server and client, links between controllers, and pacing.

pub mod client;
pub mod peers;
pub mod rate_limit;
pub mod server;
pub mod stream;
