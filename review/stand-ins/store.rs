//! The platform's metadata store: objects by kind and name, one revision counter, watches.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Connection, Request};
use crate::json;

/// Items of one page of a list.
const PAGE_ITEMS: usize = 50;

#[derive(Clone)]
struct Object {
    revision: u64,
    made: u64,
    spec: String,
    status: String,
}

struct Change {
    revision: u64,
    kind: String,
    event: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Change>,
}

/// The store.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

/// An address of the store, used by one machine or by all.
pub struct Door {
    pub address: SocketAddr,
    /// Whether who comes here is turned away: each call gets 429, also a watch that waits.
    turns_away: AtomicBool,
    /// Watches of the configuration that were begun here.
    config_watches: AtomicUsize,
}

impl Door {
    /// Opens an address of a store on a free port.
    pub fn open(store: &Arc<Store>) -> io::Result<Arc<Self>> {
        let address = crate::loopback();
        let door = Arc::new(Self {
            address,
            turns_away: AtomicBool::default(),
            config_watches: AtomicUsize::default(),
        });
        let (store, served) = (store.clone(), door.clone());
        http::listen(address, move |connection| store.serve(connection, &served))?;
        Ok(door)
    }

    /// Turns away who comes here, or serves again.
    pub fn turn_away(&self, store: &Store, turns_away: bool) {
        self.turns_away.store(turns_away, Ordering::Relaxed);
        store.changed.notify_all();
    }

    /// Watches of the configuration that were begun here.
    pub fn config_watches(&self) -> usize {
        self.config_watches.load(Ordering::Relaxed)
    }
}

fn to_json(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":{},\"revision\":{},\"made\":{},\"finalizers\":[],\"deleting\":false}},\
         \"spec\":{},\"status\":{}}}",
        json::quoted(name),
        object.revision,
        object.made,
        object.spec,
        object.status
    )
}

impl State {
    fn note(&mut self, kind: &str, is_gone: bool, object: &str) {
        let event = format!("{{\"object\":{object},\"gone\":{is_gone}}}");
        self.history.push(Change { revision: self.revision, kind: kind.to_owned(), event });
    }

    fn put(&mut self, kind: &str, name: &str, spec: Option<&str>, status: Option<&str>) -> String {
        let key = (kind.to_owned(), name.to_owned());
        let known = self.objects.get(&key).cloned();
        let mut object = known.clone().unwrap_or(Object {
            revision: 0,
            made: self.revision + 1,
            spec: "null".to_owned(),
            status: "null".to_owned(),
        });
        object.spec = spec.map_or(object.spec, str::to_owned);
        object.status = status.map_or(object.status, str::to_owned);
        let is_same = known.is_some_and(|known| known.spec == object.spec && known.status == object.status);
        if !is_same {
            self.revision += 1;
            object.revision = self.revision;
            let written = to_json(name, &object);
            self.objects.insert(key, object.clone());
            self.note(kind, false, &written);
        }
        to_json(name, &object)
    }
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> io::Result<(Arc<Self>, SocketAddr)> {
        let store = Arc::new(Self::default());
        store.state.lock().unwrap().revision = 100;
        let door = Door::open(&store)?;
        Ok((store, door.address))
    }

    /// Writes an object as its owner.
    pub fn write(&self, kind: &str, name: &str, spec: &str) {
        self.state.lock().unwrap().put(kind, name, Some(spec), None);
        self.changed.notify_all();
    }

    /// Removes an object as its owner.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().unwrap();
        if let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) {
            state.revision += 1;
            let gone = to_json(name, &object);
            state.note(kind, true, &gone);
        }
        drop(state);
        self.changed.notify_all();
    }

    fn serve(&self, mut connection: Connection, door: &Door) {
        while let Ok(Some(request)) = http::read_request(&mut connection) {
            let (status, body) = match door.turns_away.load(Ordering::Relaxed) {
                true => turned_away(),
                false => self.answer(&request, door),
            };
            if http::answer_json(&mut connection, status, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request, door: &Door) -> (&'static str, String) {
        let path = request.path.strip_prefix("/v1/objects/").unwrap_or_default();
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        match (request.method.as_str(), name) {
            ("GET", "") => match request.parameter("watch").and_then(|revision| revision.parse().ok()) {
                Some(revision) => self.watch(kind, revision, request, door),
                None => self.list(kind, request.parameter("after_rev").unwrap_or_default()),
            },
            ("GET", name) => self.get(kind, name),
            _ => self.change(kind, name, request),
        }
    }

    fn get(&self, kind: &str, name: &str) -> (&'static str, String) {
        let state = self.state.lock().unwrap();
        match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => ("200 OK", to_json(name, object)),
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (&'static str, String) {
        let state = self.state.lock().unwrap();
        let of_kind =
            state.objects.iter().filter(|((known, name), _)| known == kind && name.as_str() > after);
        let mut items: Vec<String> = of_kind.map(|((_, name), object)| to_json(name, object)).collect();
        let more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        let body = format!("{{\"items\":[{}],\"more\":{more},\"at\":{}}}", items.join(","), state.revision);
        ("200 OK", body)
    }

    fn watch(&self, kind: &str, revision: u64, request: &Request, door: &Door) -> (&'static str, String) {
        door.config_watches.fetch_add(usize::from(kind == "config"), Ordering::Relaxed);
        let wait_ms = request.parameter("wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            if door.turns_away.load(Ordering::Relaxed) {
                return turned_away();
            }
            let newer =
                state.history.iter().filter(|change| change.kind == kind && change.revision > revision);
            let events: Vec<&str> = newer.map(|change| change.event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision);
                return ("200 OK", body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn change(&self, kind: &str, name: &str, request: &Request) -> (&'static str, String) {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let metadata = json::member(&body, "metadata").unwrap_or("{}");
        let asked: Option<u64> = json::member(metadata, "revision").and_then(|raw| raw.parse().ok());
        let (name, is_status) = match name.strip_suffix("/status") {
            Some(name) => (name.to_owned(), true),
            None if name.is_empty() => {
                (json::text(json::member(metadata, "name").unwrap_or_default()).to_owned(), false)
            }
            None => (name.to_owned(), false),
        };
        let mut state = self.state.lock().unwrap();
        let known = state.objects.get(&(kind.to_owned(), name.clone())).cloned();
        let answer = match (request.method.as_str(), known) {
            ("POST", Some(known)) => ("409 Conflict", to_json(&name, &known)),
            ("PUT" | "DELETE", None) => ("404 Not Found", "{}".to_owned()),
            (_, Some(known)) if asked.is_some_and(|revision| revision != known.revision) => {
                ("409 Conflict", to_json(&name, &known))
            }
            ("DELETE", Some(known)) => {
                state.objects.remove(&(kind.to_owned(), name.clone()));
                state.revision += 1;
                let gone = to_json(&name, &known);
                state.note(kind, true, &gone);
                ("200 OK", gone)
            }
            _ if is_status => ("200 OK", state.put(kind, &name, None, json::member(&body, "status"))),
            _ => ("200 OK", state.put(kind, &name, json::member(&body, "spec"), None)),
        };
        drop(state);
        self.changed.notify_all();
        answer
    }
}

fn turned_away() -> (&'static str, String) {
    ("429 Too Many Requests", "{}".to_owned())
}
