//! A small deployment on loopback: the platform in this process, engines and gateways as processes of their own.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use crate::http::{self, Answer};
use crate::platform::{self, EngineProcess, Gateway, GatewaySetup};
use crate::record::Record;
use crate::store::Store;

/// The program as the deploy file builds it.
pub const PROGRAM: &str = "target/release/beamwall";
/// Host of all routes.
pub const HOST: &str = "desk.example";
const ZONES: [&str; 4] = ["a", "b", "c", "d"];

/// A running deployment; its processes end when it is dropped.
pub struct Deployment {
    pub gateways: Vec<Gateway>,
    pub engines: Vec<EngineProcess>,
    pub store: Arc<Store>,
    pub setup: GatewaySetup<'static>,
    /// Zones over which engines and gateways are spread.
    pub zones: usize,
}

/// Zones of the entry machines, as the first site has them.
pub const SITE_ZONES: [&str; 6] = ["a", "b", "c", "a", "b", "a"];

impl Deployment {
    /// Starts the platform with a configuration.
    pub fn start(config: &str) -> io::Result<Self> {
        let folder = temporary_folder()?;
        let (store, address) = Store::start()?;
        store.write("config", "main", config);
        let duties = platform::start_duties()?;
        let setup = GatewaySetup { program: PROGRAM, folder, store: address, duties };
        Ok(Self { gateways: Vec::new(), engines: Vec::new(), store, setup, zones: 3 })
    }

    /// Starts engines of a service, spread over the zones.
    pub fn add_engines(
        &mut self,
        service: &str,
        slots: u32,
        count: usize,
        options: &[&str],
    ) -> io::Result<()> {
        for address in platform::free_addresses(count) {
            let number = self.engines.len();
            let id = format!("i-{number:04x}");
            let engine = EngineProcess::start(&id, ZONES[number % self.zones], address, options)?;
            self.store.write("servers", &id, &engine.entry(service, slots));
            self.engines.push(engine);
        }
        Ok(())
    }

    /// Starts gateways that know each other by the first three; returns whether all became ready.
    pub fn add_gateways(&mut self, count: usize) -> io::Result<bool> {
        let listen = platform::free_addresses(count * 4);
        let listen: Vec<[SocketAddr; 4]> =
            listen.chunks(4).map(|four| [four[0], four[1], four[2], four[3]]).collect();
        let seeds: Vec<SocketAddr> = listen.iter().take(3).map(|four| four[2]).collect();
        for addresses in listen {
            self.add_gateway(addresses, &seeds)?;
        }
        Ok(self.gateways.iter().all(Gateway::wait_ready))
    }

    /// Starts one gateway with seeds of its own.
    pub fn add_gateway(&mut self, listen: [SocketAddr; 4], seeds: &[SocketAddr]) -> io::Result<()> {
        self.add_gateway_in(ZONES[self.gateways.len() % self.zones], listen, seeds)
    }

    /// The same in a zone.
    pub fn add_gateway_in(
        &mut self,
        zone: &str,
        listen: [SocketAddr; 4],
        seeds: &[SocketAddr],
    ) -> io::Result<()> {
        let name = format!("front-{}", self.gateways.len());
        self.gateways.push(Gateway::start(&self.setup, &name, zone, listen, seeds)?);
        Ok(())
    }
}

impl Deployment {
    /// Records what the gateways logged last, for a case that could not run.
    pub fn record_logs(&self, record: &Record) {
        for gateway in &self.gateways {
            let lines = gateway.log_lines("");
            let last = &lines[lines.len().saturating_sub(5)..];
            record.add(&format!("{} is ready: {}; logged last: {last:?}", gateway.name, gateway.is_ready()));
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.gateways.clear();
        self.engines.clear();
        let _ = fs::remove_dir_all(&self.setup.folder);
    }
}

fn temporary_folder() -> io::Result<PathBuf> {
    let folder = std::env::temp_dir().join(format!("beamwall-review-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    Ok(folder)
}

/// One request of a client.
pub struct Question<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
    /// Further head lines, each with its end.
    pub headers: String,
    pub body: &'a [u8],
}

impl Question<'_> {
    /// Sends it to a gateway and waits as long as the client would.
    pub fn ask(&self, gateway: SocketAddr) -> Answer {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {}\r\nX-Deadline-Ms: {}\r\nX-Key: {}\r\n{}Content-Length: {}\r\n\r\n",
            self.method, self.path, self.id, self.deadline_ms, self.key, self.headers, self.body.len()
        )
        .into_bytes();
        text.extend_from_slice(self.body);
        http::ask(gateway, &text, std::time::Duration::from_millis(self.deadline_ms + 500))
    }
}
