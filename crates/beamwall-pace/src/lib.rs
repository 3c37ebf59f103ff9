//! How fast requests may be sent to a server that has just started or recovered.
//!
//! A server without a record may be cold, so a flood makes its first callers late or ends it; left alone, it stays
//! idle while others are loaded. The pace grows while its response times stay near what is expected of it and
//! shrinks while they rise, and it is forgotten once the server has its full part. A pace is advice for the choice
//! among servers, never a reason to reject a request or to let it wait.
//!
//! This package performs no input or output. State belongs to one generation of a server.
