//! Stand-in of the platform's store: objects, conditional writes and watches.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_message, write_answer};
use crate::json;

#[derive(Default)]
struct Content {
    revision: u64,
    /// Revision of the last change and `spec`, by kind and name.
    objects: BTreeMap<(String, String), (u64, String)>,
    /// Revision, kind, text of the object, and whether it was deleted.
    events: Vec<(u64, String, String, bool)>,
}

impl Content {
    fn object(name: &str, revision: u64, spec: &str) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
             \"finalizers\":[],\"deletion_pending\":false}},\"spec\":{spec},\"status\":null}}"
        )
    }

    fn write(&mut self, kind: &str, name: &str, spec: &str) -> String {
        self.revision += 1;
        let revision = self.revision;
        self.objects.insert((kind.to_owned(), name.to_owned()), (revision, spec.to_owned()));
        let object = Content::object(name, revision, spec);
        self.events.push((revision, kind.to_owned(), object.clone(), false));
        object
    }
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    content: Arc<(Mutex<Content>, Condvar)>,
    is_silent: Arc<AtomicBool>,
}

impl Store {
    pub fn start() -> std::io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Store {
            address: listener.local_addr()?,
            content: Arc::default(),
            is_silent: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// While the store is silent, it answers nobody and carries out nothing. The calls that
    /// wait then are never answered.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::SeqCst);
        self.content.1.notify_all();
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.content.0.lock().unwrap().write(kind, name, spec);
        self.content.1.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut content = self.content.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if let Some((_, spec)) = content.objects.remove(&key) {
            content.revision += 1;
            let revision = content.revision;
            let object = Content::object(name, revision, &spec);
            content.events.push((revision, kind.to_owned(), object, true));
        }
        self.content.1.notify_all();
    }

    pub fn spec(&self, kind: &str, name: &str) -> Option<String> {
        let content = self.content.0.lock().unwrap();
        content.objects.get(&(kind.to_owned(), name.to_owned())).map(|(_, spec)| spec.clone())
    }

    /// All specs of a kind that is not named by the platform.
    pub fn specs_of_other_kinds(&self) -> Vec<String> {
        let content = self.content.0.lock().unwrap();
        let known = ["config", "servers"];
        let other = content.objects.iter().filter(|((kind, _), _)| !known.contains(&&**kind));
        other.map(|(_, (_, spec))| spec.clone()).collect()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let answer =
                if self.is_silent.load(Ordering::SeqCst) { None } else { self.answer(&request) };
            let Some((status, body)) = answer else {
                // A connection on which an answer is lost returns nothing further.
                thread::sleep(Duration::from_secs(15));
                return;
            };
            let headers = [("Content-Type", "application/json")];
            if write_answer(&mut writer, status, &headers, &body).is_err() {
                return;
            }
        }
    }

    /// Returns the answer to a call, or `None` if the store fell silent meanwhile.
    fn answer(&self, request: &Message) -> Option<(&'static str, String)> {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let path = path.strip_prefix("/-/objects/").unwrap_or_default();
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (path, None),
        };
        let query = |key: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(name, _)| *name == key).map(|(_, value)| value.to_owned()).next()
        };
        let body = request.text();
        match (request.method(), name) {
            ("GET", None) if query("watch").is_some() => {
                let after = query("watch")?.parse().unwrap_or_default();
                let wait = query("wait_ms").and_then(|text| text.parse().ok()).unwrap_or_default();
                self.watch(kind, after, Duration::from_millis(wait))
            }
            ("GET", None) => {
                let content = self.content.0.lock().unwrap();
                let after = query("after").unwrap_or_default();
                let of_kind = content
                    .objects
                    .iter()
                    .filter(|((known, name), _)| known == kind && *name > after);
                let items: Vec<String> = of_kind
                    .map(|((_, name), (at, spec))| Content::object(name, *at, spec))
                    .collect();
                let (items, at) = (items.join(","), content.revision);
                Some(("200 OK", format!("{{\"items\":[{items}],\"has_more\":false,\"at\":{at}}}")))
            }
            ("GET", Some(name)) => {
                let content = self.content.0.lock().unwrap();
                let found = content.objects.get(&(kind.to_owned(), name.to_owned()));
                Some(match found {
                    Some((at, spec)) => ("200 OK", Content::object(name, *at, spec)),
                    None => ("404 Not Found", "{}".to_owned()),
                })
            }
            ("POST" | "PUT", _) => {
                let metadata = json::member(&body, "metadata").unwrap_or("{}");
                let spec = json::member(&body, "spec").unwrap_or("null").to_owned();
                let expected = json::number_member(metadata, "revision");
                let name = name.or(json::text_member(metadata, "name"))?.to_owned();
                let mut content = self.content.0.lock().unwrap();
                let known = content.objects.get(&(kind.to_owned(), name.clone())).cloned();
                let answer = match known {
                    None if request.method() == "PUT" => ("404 Not Found", "{}".to_owned()),
                    Some((at, spec)) if request.method() == "POST" => {
                        ("409 Conflict", Content::object(&name, at, &spec))
                    }
                    Some((at, spec)) if expected.is_some_and(|expected| expected != at) => {
                        ("409 Conflict", Content::object(&name, at, &spec))
                    }
                    Some((at, known)) if known == spec => {
                        ("200 OK", Content::object(&name, at, &spec))
                    }
                    _ => ("200 OK", content.write(kind, &name, &spec)),
                };
                drop(content);
                self.content.1.notify_all();
                Some(answer)
            }
            _ => Some(("400 Bad Request", "{}".to_owned())),
        }
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> Option<(&'static str, String)> {
        let deadline = Instant::now() + wait;
        let mut content = self.content.0.lock().unwrap();
        loop {
            if self.is_silent.load(Ordering::SeqCst) {
                return None;
            }
            let events =
                content.events.iter().filter(|(at, known, ..)| *at > after && known == kind);
            let events: Vec<String> = events
                .map(|(_, _, object, deleted)| {
                    format!("{{\"deleted\":{deleted},\"object\":{object}}}")
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), content.revision);
                return Some(("200 OK", format!("{{\"events\":[{events}],\"at\":{at}}}")));
            }
            content = self.content.1.wait_timeout(content, left).unwrap().0;
        }
    }
}
