use crate::record::Record;
pub fn play(_: Record, _: bool) -> std::io::Result<bool> { Err(std::io::ErrorKind::Unsupported.into()) }
