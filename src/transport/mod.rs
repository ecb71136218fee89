//! HTTP server and client, links between controllers, and rate limits.
//!
//! Called by the runtime; the coordinator uses only [`rate_limit`] and the types of [`server`].
//! Nothing here knows what a request means.

pub mod client;
pub mod peers;
pub mod rate_limit;
pub mod server;
pub mod stream;
mod timeout;
