//! The operators' command: settings tree, status, explanations, drain, and the lab.

pub mod arguments;
pub mod client;
pub mod directory;
pub mod error;
pub mod lab;
pub mod operate;
pub mod why;
