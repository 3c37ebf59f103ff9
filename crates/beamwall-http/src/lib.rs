//! HTTP/1.1 on hyper: a server loop and a client connection pool.
//!
//! All servers and clients of the system use this package, so that the limits on headers and bodies and the
//! rule that a connection with an unread response is never reused are implemented in one place.

pub mod body;
pub mod caller_budget;
mod cause;
pub mod channel;
pub mod client;
mod head_limit;
mod observed_stream;
mod patience;
pub mod pool;
pub mod query;
mod served_body;
pub mod server;

pub use body::{Body, empty, full, json_response, read_limited, read_request, read_response};
pub use channel::{BodySender, Disconnected, channel};
pub use client::{ClientError, JsonClient};
pub use pool::{Pool, PoolError, PooledBody, Reachability};
pub use server::{ConnectionFailure, Handler, serve, serve_within};
