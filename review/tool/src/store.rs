//! Stand-in of the platform's store: objects by kind and name, lists and watches.

use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, Message, serve};
use crate::json;

#[derive(Clone)]
struct Object {
    name: String,
    revision: u64,
    created: u64,
    spec: String,
    status: String,
    finalizers: String,
}

impl Object {
    fn encode(&self) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{}\",\"revision\":{},\"created\":{},\"finalizers\":{},\
             \"deletion_pending\":false}},\"spec\":{},\"status\":{}}}",
            self.name, self.revision, self.created, self.finalizers, self.spec, self.status
        )
    }
}

#[derive(Default)]
struct Data {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    /// Kind, revision, whether deleted, and the object.
    events: VecDeque<(String, u64, bool, String)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    data: Arc<(Mutex<Data>, Condvar)>,
    /// Calls up to this time get no answer and have no effect.
    silent_until: Arc<Mutex<Option<Instant>>>,
}

fn query<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let query = target.split_once('?')?.1;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, v)| v)
}

impl Store {
    pub fn start(ip: &str) -> Store {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for the store");
        let store = Store {
            address: listener.local_addr().expect("a bound listener"),
            data: Arc::default(),
            silent_until: Arc::default(),
        };
        store.data.0.lock().unwrap().revision = 100;
        let server = store.clone();
        serve(listener, move |request, _| server.handle(&request));
        store
    }

    /// Makes the store take connections and give no answer for a time.
    #[allow(dead_code)]
    pub fn silence(&self, time: Duration) {
        *self.silent_until.lock().unwrap() = Some(Instant::now() + time);
    }

    fn is_silent(&self) -> bool {
        self.silent_until.lock().unwrap().is_some_and(|until| Instant::now() < until)
    }

    /// Writes an object as the operator or an engine does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let (lock, changed) = &*self.data;
        let mut data = lock.lock().unwrap();
        let revision = data.write(kind, name, spec);
        changed.notify_all();
        revision
    }

    #[allow(dead_code)]
    pub fn remove(&self, kind: &str, name: &str) {
        let (lock, changed) = &*self.data;
        let mut data = lock.lock().unwrap();
        if let Some(object) = data.kinds.entry(kind.to_owned()).or_default().remove(name) {
            data.revision += 1;
            let revision = data.revision;
            data.events.push_back((kind.to_owned(), revision, true, object.encode()));
        }
        changed.notify_all();
    }

    /// Returns the holder of the coordinator's lease.
    pub fn find_holder(&self) -> Option<String> {
        let data = self.data.0.lock().unwrap();
        let object = data.kinds.get("skylark-leases")?.get("coordinator")?;
        json::string(&object.spec, "holder")
    }

    fn handle(&self, request: &Message) -> Option<Answer> {
        if self.is_silent() {
            std::thread::sleep(Duration::from_secs(5));
            return None;
        }
        let json = |status, body: String| {
            Some(Answer::new(status, body).with("Content-Type", "application/json"))
        };
        let path = request.target().split('?').next()?;
        let mut parts = path.strip_prefix("/-/objects/")?.split('/');
        let (kind, name, part) = (parts.next()?.to_owned(), parts.next(), parts.next());
        let (lock, changed) = &*self.data;
        let body = request.text();
        match (request.method(), name) {
            ("GET", None) => match query(request.target(), "watch") {
                Some(after) => {
                    let after: u64 = after.parse().ok()?;
                    let wait = query(request.target(), "wait_ms").and_then(|ms| ms.parse().ok());
                    let end = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
                    let mut data = lock.lock().unwrap();
                    loop {
                        let events =
                            data.events.iter().filter(|event| event.0 == kind && event.1 > after);
                        let events: Vec<String> = events
                            .map(|(_, _, deleted, object)| {
                                format!("{{\"deleted\":{deleted},\"object\":{object}}}")
                            })
                            .collect();
                        let now = Instant::now();
                        if !events.is_empty() || now >= end {
                            let text = format!(
                                "{{\"events\":[{}],\"at\":{}}}",
                                events.join(","),
                                data.revision
                            );
                            return json(200, text);
                        }
                        data = changed.wait_timeout(data, end - now).unwrap().0;
                    }
                }
                None => {
                    let data = lock.lock().unwrap();
                    let empty = BTreeMap::new();
                    let objects = data.kinds.get(&kind).unwrap_or(&empty);
                    let items: Vec<String> = objects.values().map(Object::encode).collect();
                    let text = format!(
                        "{{\"items\":[{}],\"has_more\":false,\"at\":{}}}",
                        items.join(","),
                        data.revision
                    );
                    json(200, text)
                }
            },
            ("GET", Some(name)) => {
                let data = lock.lock().unwrap();
                match data.kinds.get(&kind).and_then(|objects| objects.get(name)) {
                    Some(object) => json(200, object.encode()),
                    None => json(404, "{}".to_owned()),
                }
            }
            ("POST", _) => {
                let metadata = json::member(&body, "metadata")?;
                let name = json::string(metadata, "name")?;
                let mut data = lock.lock().unwrap();
                if let Some(object) = data.kinds.get(&kind).and_then(|objects| objects.get(&name)) {
                    return json(409, object.encode());
                }
                data.write(&kind, &name, json::member(&body, "spec").unwrap_or("null"));
                changed.notify_all();
                json(201, data.kinds[&kind][&name].encode())
            }
            ("PUT", Some(name)) => {
                let metadata = json::member(&body, "metadata").unwrap_or("{}");
                let expected = json::number(metadata, "revision");
                let mut data = lock.lock().unwrap();
                let Some(object) = data.kinds.get(&kind).and_then(|objects| objects.get(name))
                else {
                    return json(404, "{}".to_owned());
                };
                if expected.is_some_and(|expected| expected != object.revision) {
                    return json(409, object.encode());
                }
                if part.is_none() {
                    data.write(&kind, name, json::member(&body, "spec").unwrap_or("null"));
                }
                changed.notify_all();
                json(200, data.kinds[&kind][name].encode())
            }
            _ => json(400, "{}".to_owned()),
        }
    }
}

impl Data {
    fn write(&mut self, kind: &str, name: &str, spec: &str) -> u64 {
        let next = self.revision + 1;
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        let object = objects.entry(name.to_owned()).or_insert_with(|| Object {
            name: name.to_owned(),
            revision: 0,
            created: next,
            spec: String::new(),
            status: "null".to_owned(),
            finalizers: "[]".to_owned(),
        });
        if object.spec != spec {
            object.spec = spec.to_owned();
            object.revision = next;
            self.revision = next;
            let text = object.encode();
            self.events.push_back((kind.to_owned(), next, false, text));
            if self.events.len() > 2_000 {
                self.events.pop_front();
            }
        }
        self.revision
    }
}
