//! Why a connection ended, as the system told it.

use std::error::Error;
use std::io;

/// Whether an input or output error of one of these kinds is among the causes of a failure.
pub(crate) fn has_io_cause(error: &hyper::Error, kinds: &[io::ErrorKind]) -> bool {
    let mut cause = error.source();
    while let Some(inner) = cause {
        if inner.downcast_ref::<io::Error>().is_some_and(|error| kinds.contains(&error.kind())) {
            return true;
        }
        cause = inner.source();
    }
    false
}
