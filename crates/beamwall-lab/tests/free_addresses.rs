//! Ports for processes under test: no two processes hand out the same.

use std::collections::HashSet;
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
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

/// Threads that start programs, and ports that are taken meanwhile.
const STARTERS: usize = 12;
const PORTS_BESIDE_STARTS: usize = 1_200;

/// While one thread looks whether a port is free, another one starts a program. The new process has all open sockets until it
/// has become that program, the one that looks included: whoever was given the port can't listen there.
///
/// Seen once in 480 runs of the tests of answers by twelve processes, after no two processes could have the same ports any more:
/// "cannot listen on 127.0.0.1:29845: Address already in use".
#[test]
fn a_port_can_be_listened_on_at_once_while_programs_are_started() {
    let is_over = AtomicBool::new(false);
    let refused = std::thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    Command::new("true").status().expect("it runs");
                }
            });
        }
        let is_refused = |_: &usize| TcpListener::bind(free_addresses(1)[0]).is_err();
        let refused = (0..PORTS_BESIDE_STARTS).filter(is_refused).count();
        is_over.store(true, Ordering::Relaxed);
        refused
    });
    assert_eq!(refused, 0, "of {PORTS_BESIDE_STARTS}");
}
