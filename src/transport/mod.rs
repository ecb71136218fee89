//! HTTP server and client, links between controllers, and rate limits.
//!
//! The runtime calls these modules; the coordinator uses only [`rate_limit`] and the types of
//! [`server`]. Nothing here depends on the meaning of a request.

pub mod client;
pub mod peers;
pub mod rate_limit;
pub mod server;
pub mod stream;
mod timeout;
