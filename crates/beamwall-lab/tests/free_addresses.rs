//! Ports for processes under test: no two processes hand out the same.

use std::collections::HashSet;
use std::process::{Command, Stdio};
use std::time::Duration;

use beamwall_lab::running::free_addresses;

/// More than a large deployment of gateways takes, and than a block of ports has.
const PORTS: usize = 400;
/// Processes that hand out ports at once, beside this one.
const OTHERS: usize = 4;
/// Set in the processes that this test starts of itself.
const ROLE: &str = "FREE_ADDRESSES_ROLE";
/// Time for which they hold their blocks: until all have handed out theirs.
const HELD_FOR: Duration = Duration::from_secs(2);

fn ports() -> Vec<String> {
    free_addresses(PORTS).iter().map(|address| address.port().to_string()).collect()
}

#[test]
fn no_two_processes_hand_out_the_same_port() {
    if std::env::var_os(ROLE).is_some() {
        println!("ports {}", ports().join(" "));
        std::thread::sleep(HELD_FOR);
        return;
    }
    let program = std::env::current_exe().expect("the test's path");
    let start = || {
        let mut command = Command::new(&program);
        command.args(["no_two_processes", "--nocapture"]).env(ROLE, "other").stdout(Stdio::piped());
        command.spawn().expect("it starts")
    };
    let others: Vec<_> = (0..OTHERS).map(|_| start()).collect();
    let mut seen: HashSet<String> = ports().into_iter().collect();
    assert_eq!(seen.len(), PORTS);
    for other in others {
        let output = other.wait_with_output().expect("it ends");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        let (_, handed_out) = text.split_once("ports ").expect("its ports");
        for port in handed_out.lines().next().unwrap_or_default().split(' ') {
            assert!(seen.insert(port.to_owned()), "port {port} was handed out twice");
        }
    }
    assert_eq!(seen.len(), PORTS * (OTHERS + 1));
}
