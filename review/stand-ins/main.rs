//! Stand-ins of the users' platform for the cases of the review, and the cases themselves.
//!
//! `stand-ins CASE FOLDER` plays a case and writes its record to the folder. It ends with 1 if the rule was broken,
//! with 0 if it held, and with 2 if the case could not run. With `TROUBLE=0` nothing is disturbed.

mod deployment;
mod engine;
mod held;
mod http;
mod json;
mod memory;
mod platform;
mod record;
mod seeds;
mod store;
mod watchers;

use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU16, Ordering};

use record::Record;

/// First port that a run gives out; below those that the system gives to outgoing connections.
const FIRST_PORT: u16 = 20_000;
/// The next port that this run gives out.
static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);

/// A free address. Each run has a loopback address of its own and gives out each port once, so that no other process
/// takes a port between this moment and the start of the process that it is for.
pub fn loopback() -> SocketAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from(([127, 1 + high % 200, low, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let played = match arguments.first().map(String::as_str) {
        Some("engine") => engine::run(&arguments[1..]).map(|()| false),
        Some(case) if arguments.len() == 2 => play(case, &arguments[1], has_trouble),
        _ => Err(std::io::ErrorKind::InvalidInput.into()),
    };
    match played {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

/// Plays a case; returns whether the rule was broken.
fn play(case: &str, folder: &str, has_trouble: bool) -> std::io::Result<bool> {
    let record = Record::begin(folder)?;
    record.tell(if has_trouble { "with the disruption" } else { "without the disruption" });
    match case {
        "held" => held::play(record, has_trouble),
        "memory" => memory::play(record, has_trouble),
        "seeds" => seeds::play(record, has_trouble),
        "watchers" => watchers::play(record, has_trouble),
        _ => Err(std::io::ErrorKind::InvalidInput.into()),
    }
}
