//! Writes deployment directories for measurements and tests, on free ports.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use beamwall_config::KeyDigest;
use beamwall_lab::running::free_addresses;

use crate::error::CommandError;

/// Key of the operator of the whole tree.
pub const OPERATOR_KEY: &str = "sample-operator-key";
/// Key of the tenant `caller`.
pub const TENANT_KEY: &str = "sample-tenant-key";
/// Name of the first node.
pub const NODE: &str = "entry-a0";

/// Nodes of each zone that the others try at start.
const SEEDS_PER_ZONE: usize = 2;

/// The size of a deployment.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sample {
    /// Zones, 26 at most.
    pub zones: u8,
    /// Nodes of each zone, each a process of its own.
    pub nodes_per_zone: usize,
    /// Further nodes of each zone, which share one process.
    pub hollow_nodes_per_zone: usize,
    /// Model engines of each zone.
    pub engines_per_zone: usize,
    /// Applications of each zone.
    pub applications_per_zone: usize,
    /// Documents of the tree besides the needed ones.
    pub extra_documents: usize,
    /// Worker threads of each node.
    pub threads: usize,
}

fn write(path: PathBuf, text: String) -> Result<(), CommandError> {
    let shown = path.display().to_string();
    let failed = |cause| CommandError::File(shown.clone(), cause);
    if let Some(parent) = path.parent() {
        std::fs::create_dir_all(parent).map_err(failed)?;
    }
    std::fs::write(path, text).map_err(failed)
}

fn zone_name(number: u8) -> String {
    char::from(b'a' + number).to_string()
}

fn machine(id: &str, zone: &str, class: &str, address: SocketAddr, service: &str) -> String {
    format!(
        "[[machines]]\nid = \"{id}\"\nzone = \"{zone}\"\nclass = \"{class}\"\nreclaimable = true\n\
         price_micros_per_hour = 1000000\naddress = \"{address}\"\nservice = \"{service}\"\nstate = \"running\"\n"
    )
}

impl Sample {
    /// Writes the directory.
    pub fn write(&self, directory: &Path) -> Result<(), CommandError> {
        self.write_nodes(directory)?;
        self.write_machines(directory)?;
        let keys = format!("operator = \"{OPERATOR_KEY}\"\n[tenants]\ncaller = \"{TENANT_KEY}\"\n");
        write(directory.join("keys.toml"), keys)?;
        write_tree(&directory.join("tree"), self.extra_documents)
    }

    fn write_nodes(&self, directory: &Path) -> Result<(), CommandError> {
        let per_zone = self.nodes_per_zone + self.hollow_nodes_per_zone;
        let nodes = usize::from(self.zones) * per_zone;
        let addresses = free_addresses(nodes * 3 + 2);
        let (platform, cloud) = (addresses[nodes * 3], addresses[nodes * 3 + 1]);
        // The first nodes of each zone introduce the others.
        let is_seed = |number: &usize| number % per_zone < SEEDS_PER_ZONE;
        let seeds = (0..nodes).filter(is_seed).map(|number| format!("\"{}\"", addresses[number * 3 + 2]));
        let seeds = seeds.collect::<Vec<String>>().join(", ");
        for number in 0..nodes {
            let zone = zone_name(u8::try_from(number / per_zone).unwrap_or(0));
            let in_zone = number % per_zone;
            let name = format!("entry-{zone}{in_zone}");
            let [callers, operators, peers] = [0, 1, 2].map(|offset| addresses[number * 3 + offset]);
            let text = format!(
                "[node]\nname = \"{name}\"\nzone = \"{zone}\"\nthreads = {}\n[listen]\ncallers = \"{callers}\"\n\
                 operators = \"{operators}\"\npeers = \"{peers}\"\n[peers]\nseeds = [{seeds}]\n[platform]\n\
                 address = \"{platform}\"\n[cloud]\naddress = \"{cloud}\"\n[operators]\nkey_digests = [\"{}\"]\n",
                self.threads,
                KeyDigest::of(OPERATOR_KEY),
            );
            let kind = if in_zone < self.nodes_per_zone { "nodes" } else { "hollow" };
            write(directory.join(format!("{kind}/{name}.toml")), text)?;
        }
        Ok(())
    }

    fn write_machines(&self, directory: &Path) -> Result<(), CommandError> {
        let mut text = String::new();
        for zone in (0..self.zones).map(zone_name) {
            for (number, address) in free_addresses(self.engines_per_zone).into_iter().enumerate() {
                text.push_str(&machine(&format!("helper-{zone}{number}"), &zone, "large", address, "helper"));
            }
            for (number, address) in free_addresses(self.applications_per_zone).into_iter().enumerate() {
                text.push_str(&machine(
                    &format!("game-{zone}{number}"),
                    &zone,
                    "application",
                    address,
                    "game",
                ));
            }
        }
        write(directory.join("machines.toml"), text)
    }
}

fn write_tree(tree: &Path, extra_documents: usize) -> Result<(), CommandError> {
    for number in 0..extra_documents {
        let text = format!(
            "kind = \"tenant\"\n[tenant]\nweight = {}\nservices = [\"helper\"]\n",
            number % 1_000 + 1
        );
        write(tree.join(format!("extra-{number}/node.toml")), text)?;
    }
    let tenant = format!(
        "kind = \"tenant\"\n[tenant]\nclass = \"interactive\"\nservices = [\"helper\", \"game\"]\n\
         tokens_per_second = 1000000000\ncalls_per_second = 10000000\nkey_digests = [\"{}\"]\n",
        KeyDigest::of(TENANT_KEY)
    );
    let model = "kind = \"service\"\n[service]\ntype = \"model\"\norders_checked = true\n";
    write(tree.join("node.toml"), "kind = \"group\"\n".to_owned())?;
    write(tree.join("helper/node.toml"), model.to_owned())?;
    write(tree.join("game/node.toml"), "kind = \"service\"\n[service]\ntype = \"plain\"\n".to_owned())?;
    write(tree.join("caller/node.toml"), tenant)
}
