//! Stand-in of the platform's store: objects by kind and name, conditional writes, lists
//! and watches. It answers at once and loses nothing.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, serve};
use crate::json::Json;
use crate::record::Record;

struct Object {
    revision: u64,
    created: u64,
    spec: Json,
}

#[derive(Default)]
struct Content {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind and text of each event.
    events: Vec<(u64, String, String)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    content: Arc<(Mutex<Content>, Condvar)>,
    record: Record,
}

fn object_text(name: &str, object: &Object) -> String {
    let (revision, created, spec) = (object.revision, object.created, &object.spec);
    let name = Json::Text(name.to_owned());
    format!(
        "{{\"metadata\":{{\"name\":{name},\"revision\":{revision},\"created\":{created},\
         \"finalizers\":[],\"deletion_pending\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

fn query<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|part| part.split_once('='))
        .find(|part| part.0 == name)
        .map(|p| p.1)
}

impl Content {
    fn write(&mut self, kind: &str, name: &str, spec: Json) -> String {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = self.objects.get(&key).filter(|known| known.spec == spec) {
            return object_text(name, known);
        }
        self.revision += 1;
        let revision = self.revision;
        let created = self.objects.get(&key).map_or(revision, |known| known.created);
        let object = Object { revision, created, spec };
        let text = object_text(name, &object);
        let event = format!("{{\"deleted\":false,\"object\":{text}}}");
        self.events.push((revision, kind.to_owned(), event));
        self.objects.insert(key, object);
        text
    }
}

impl Store {
    pub fn start(record: &Record) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Store { address, content: Arc::default(), record: record.clone() };
        let serving = store.clone();
        serve(listener, move |mut connection| {
            while let Ok(request) = connection.read_message() {
                if serving.answer(&mut connection, &request).is_err() {
                    return;
                }
            }
        });
        store
    }

    /// Writes an object as the operator or an engine does, and returns once it is confirmed.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Instant {
        let spec = Json::parse(spec).expect("valid JSON");
        self.content.0.lock().expect("the content").write(kind, name, spec);
        self.content.1.notify_all();
        Instant::now()
    }

    /// Returns the host that the gateways' lease object names.
    pub fn last_holder(&self) -> Option<String> {
        let content = self.content.0.lock().expect("the content");
        let lease = content.objects.iter().find(|((kind, _), _)| kind.contains("lease"));
        Some(lease?.1.spec.get("holder")?.text()?.to_owned())
    }

    fn answer(&self, connection: &mut Connection, request: &Message) -> std::io::Result<()> {
        let (status, body) = self.handle(request);
        connection.answer(status, &[("content-type", "application/json")], body.as_bytes())
    }

    fn handle(&self, request: &Message) -> (u16, String) {
        let (method, target) = request.request();
        let (path, parameters) = target.split_once('?').unwrap_or((target, ""));
        let Some(path) = path.strip_prefix("/-/objects/") else { return (404, "{}".to_owned()) };
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (path, None),
        };
        match (method, name) {
            ("GET", None) => match query(parameters, "watch").and_then(|at| at.parse().ok()) {
                Some(after) => {
                    let wait_ms = query(parameters, "wait_ms").and_then(|ms| ms.parse().ok());
                    self.watch(kind, after, Duration::from_millis(wait_ms.unwrap_or(0)))
                }
                None => self.list(kind),
            },
            ("GET", Some(name)) => {
                let content = self.content.0.lock().expect("the content");
                match content.objects.get(&(kind.to_owned(), name.to_owned())) {
                    Some(object) => (200, object_text(name, object)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("POST" | "PUT", _) => self.write(method, kind, name, &request.body),
            _ => (400, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let content = self.content.0.lock().expect("the content");
        let objects = content.objects.iter().filter(|((of, _), _)| of == kind);
        let items: Vec<String> =
            objects.map(|((_, name), object)| object_text(name, object)).collect();
        let (items, at) = (items.join(","), content.revision);
        (200, format!("{{\"items\":[{items}],\"has_more\":false,\"at\":{at}}}"))
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut content = self.content.0.lock().expect("the content");
        loop {
            let events = content.events.iter().filter(|(at, of, _)| *at > after && of == kind);
            let events: Vec<&str> = events.map(|(_, _, event)| event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), content.revision);
                return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            content = self.content.1.wait_timeout(content, left).expect("the content").0;
        }
    }

    fn write(&self, method: &str, kind: &str, name: Option<&str>, body: &[u8]) -> (u16, String) {
        let body = String::from_utf8_lossy(body);
        let Some(body) = Json::parse(&body) else { return (400, "{}".to_owned()) };
        let metadata = body.get("metadata");
        let named = metadata.and_then(|metadata| metadata.get("name")).and_then(Json::text);
        let Some(name) = name.or(named) else { return (400, "{}".to_owned()) };
        let expected =
            metadata.and_then(|metadata| metadata.get("revision")).and_then(Json::number);
        let spec = body.get("spec").cloned().unwrap_or(Json::Null);
        let mut content = self.content.0.lock().expect("the content");
        let known = content.objects.get(&(kind.to_owned(), name.to_owned()));
        let status = match (method, known) {
            ("POST", Some(_)) => 409,
            ("PUT", None) => 404,
            (_, Some(known)) if expected.is_some_and(|expected| expected != known.revision) => 409,
            _ => 200,
        };
        if status != 200 {
            return (status, known.map_or("{}".to_owned(), |known| object_text(name, known)));
        }
        self.record.line(&format!("store {method} {kind}/{name} {spec}"));
        let text = content.write(kind, name, spec);
        self.content.1.notify_all();
        (200, text)
    }
}
