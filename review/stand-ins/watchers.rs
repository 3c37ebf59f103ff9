//! The store turns away the machines that watch it for their zone, and serves the others.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, HOST, Question, SITE_ZONES};
use crate::platform::{self, Gateway};
use crate::record::Record;
use crate::store::Door;

/// The zone whose machines stay; those of the other zones are lost.
const ZONE: &str = "a";
/// Machines that are turned away: a third of the six.
const TURNED_AWAY: usize = 2;
/// How long the machines that stay are left in calm, and then the others turned away.
const CALM: Duration = Duration::from_secs(10);
const TURNED_AWAY_FOR: Duration = Duration::from_secs(9);
/// When the key is taken away after that began.
const REVOKED_AFTER: Duration = Duration::from_millis(500);
/// `config_apply_ms` and `outer_ms`.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const OUTER: Duration = Duration::from_millis(5_000);
const REQUEST_PERIOD: Duration = Duration::from_millis(50);

fn config(version: u64, keys: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"badge\",\"host\":\"{HOST}\",\"path_prefix\":\"/badge/\",\
         \"kind\":\"safe\",\"timeout_ms\":600,\"slo_ms\":100,\"priority\":2,\"service\":\"app\",\"max_attempts\":2,\
         \"public\":false}}],\"services\":[{{\"name\":\"app\",\"health_path\":\"/health\",\"max_conns\":96}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"studio\",\"api_keys\":[{keys}],\
         \"unit\":\"token_count\",\"plain_tokens\":200}}]}}"
    )
}

/// Sends a request with a key; returns the status.
fn ask(record: &Record, gateway: &Gateway, number: usize, key: &str) -> u16 {
    let id = format!("{}-{number:04}", gateway.name);
    let question = Question {
        method: "GET",
        path: "/badge/1",
        id: &id,
        key,
        deadline_ms: 600,
        headers: String::new(),
        body: b"",
    };
    record.add(&format!("sent {id} with {key}"));
    let answer = question.ask(gateway.callers);
    record.add(&format!("answered {id}: {} engine={}", answer.status, answer.is_signed));
    answer.status
}

/// Plays the case.
pub fn play(record: Record, has_trouble: bool) -> io::Result<bool> {
    let mut deployment = Deployment::start(&config(7, "\"key-one\",\"key-two\""))?;
    deployment.add_engines("app", 6, 3, &["first_ms=15"])?;
    let listen = platform::free_addresses(SITE_ZONES.len() * 4);
    let listen: Vec<[SocketAddr; 4]> =
        listen.chunks(4).map(|four| [four[0], four[1], four[2], four[3]]).collect();
    let seeds: Vec<SocketAddr> = listen.iter().take(3).map(|four| four[2]).collect();
    let mut doors: Vec<Arc<Door>> = Vec::new();
    for (addresses, zone) in listen.into_iter().zip(SITE_ZONES) {
        let door = Door::open(&deployment.store)?;
        deployment.setup.store = door.address;
        deployment.add_gateway_in(zone, addresses, &seeds)?;
        doors.push(door);
    }
    if !deployment.gateways.iter().all(Gateway::wait_ready) {
        deployment.record_logs(&record);
        return Err(io::Error::other("the gateways did not become ready"));
    }
    thread::sleep(Duration::from_secs(4));
    if has_trouble {
        for gateway in deployment.gateways.iter().filter(|gateway| gateway.zone != ZONE) {
            gateway.kill();
            record.tell(&format!("{} of zone {} is lost for good", gateway.name, gateway.zone));
        }
    }
    let before: Vec<usize> = doors.iter().map(|door| door.config_watches()).collect();
    thread::sleep(CALM);
    // The machines that watch are those that asked most.
    let watches = |number: &usize| doors[*number].config_watches() - before[*number];
    let mut staying: Vec<usize> = (0..doors.len()).filter(|number| SITE_ZONES[*number] == ZONE).collect();
    staying.sort_by_key(|number| std::cmp::Reverse(watches(number)));
    let (watching, others) = staying.split_at(TURNED_AWAY);
    let turned_away_at = Instant::now();
    if has_trouble {
        for number in watching {
            doors[*number].turn_away(&deployment.store, true);
            let name = &deployment.gateways[*number].name;
            record.tell(&format!(
                "the store turns {name} away (429); it had watched {} times",
                watches(number)
            ));
        }
    }
    thread::sleep(REVOKED_AFTER);
    deployment.store.write("config", "main", &config(8, "\"key-one\""));
    let revoked_at = Instant::now();
    record.tell("version 8 without key-two is acknowledged");
    let mut late = Vec::new();
    let mut number = 0;
    while turned_away_at.elapsed() < TURNED_AWAY_FOR {
        for gateway in others.iter().map(|other| &deployment.gateways[*other]) {
            number += 1;
            let after = revoked_at.elapsed();
            let status = ask(&record, gateway, number, "key-two");
            if status == 200 && after > CONFIG_APPLY + OUTER {
                late.push(format!("{} served key-two {:.2} s after", gateway.name, after.as_secs_f64()));
            }
        }
        thread::sleep(REQUEST_PERIOD);
    }
    watching.iter().for_each(|number| doors[*number].turn_away(&deployment.store, false));
    let sound = others.iter().map(|other| ask(&record, &deployment.gateways[*other], 9_000, "key-one"));
    record.tell(&format!("key-one, which stays, got {:?}", sound.collect::<Vec<u16>>()));
    for engine in &deployment.engines {
        engine
            .ran
            .lock()
            .unwrap()
            .iter()
            .for_each(|run| record.add(&format!("engine {} ran {run}", engine.id)));
    }
    late.iter().for_each(|line| record.add(line));
    record.tell(&format!(
        "{} requests with the key that was taken away ran more than {:.1} s after the acknowledgement",
        late.len(),
        (CONFIG_APPLY + OUTER).as_secs_f64()
    ));
    Ok(!late.is_empty())
}
