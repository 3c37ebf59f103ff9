//! Query parameters of control calls. Values are plain identifiers and numbers, so no percent-decoding is
//! done.

use std::str::FromStr;

use hyper::Uri;

/// The value of a query parameter, or `None` if it is absent.
pub fn text<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    uri.query()?.split('&').find_map(|pair| match pair.split_once('=') {
        Some((key, value)) if key == name => Some(value),
        _ => None,
    })
}

/// The value of a query parameter as a number; `None` if it is absent or cannot be parsed.
pub fn number<T: FromStr>(uri: &Uri, name: &str) -> Option<T> {
    text(uri, name)?.parse().ok()
}
