//! Stand-ins for everything around the controllers, written from the users' pages, for the cases of
//! the review: the state service, the cloud, workers and users, all on loopback.

pub mod cloud;
pub mod controllers;
pub mod http;
pub mod platform;
pub mod record;
pub mod state;
pub mod user;
pub mod value;
pub mod worker;
