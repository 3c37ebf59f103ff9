//! Inspection of the I/O errors behind a connection error.

use std::error::Error;
use std::io;

/// Whether the source chain of an error contains an I/O error of one of these kinds.
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
