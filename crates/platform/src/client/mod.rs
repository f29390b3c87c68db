//! Client of the platform's HTTP interface.

mod http;

pub use http::HttpPlatform;
