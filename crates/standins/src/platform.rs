//! Stand-in for the platform's object API.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use poem::http::StatusCode;
use poem::web::{Data, Json, Path, Query};
use poem::{Endpoint, EndpointExt, IntoResponse, Response, Route, get, handler, post};
use serde::{Deserialize, Serialize};
use skylarkgw::platform::{ObjectList, PlatformObject, VALUE_LIMIT_BYTES};
use tokio::sync::watch;
use tokio::time::timeout;

use crate::faults::{FaultLayer, FaultState, fault_endpoint};

/// Number of calls since the start, by kind.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct CallCounts {
    /// Number of reads and lists.
    pub reads: u64,
    /// Number of writes and deletions.
    pub writes: u64,
    /// Number of watches.
    pub watches: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    objects: BTreeMap<Arc<str>, (PlatformObject, u64)>,
    position: u64,
    counts: CallCounts,
}

/// In-memory store of versioned objects.
#[derive(Clone, Debug)]
pub struct ObjectStore {
    state: Arc<Mutex<StoreState>>,
    changed: watch::Sender<u64>,
}

#[derive(Deserialize)]
struct WriteQuery {
    expected: u64,
}

#[derive(Serialize)]
struct WriteResponse {
    version: u64,
}

#[derive(Deserialize)]
struct ListQuery {
    prefix: String,
}

#[derive(Deserialize)]
struct WatchQuery {
    prefix: String,
    after: u64,
    wait_ms: u64,
}

impl Default for ObjectStore {
    fn default() -> ObjectStore {
        ObjectStore { state: Arc::default(), changed: watch::channel(0).0 }
    }
}

impl ObjectStore {
    fn with_state<T>(&self, operation: impl FnOnce(&mut StoreState) -> T) -> T {
        operation(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn list(&self, prefix: &str, after: u64) -> ObjectList {
        self.with_state(|state| {
            let objects = state
                .objects
                .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
                .take_while(|(name, _)| name.starts_with(prefix))
                .filter(|(_, (_, changed_at))| *changed_at > after)
                .map(|(_, (object, _))| object.clone())
                .collect();
            ObjectList { position: state.position, objects }
        })
    }
}

/// Builds the HTTP routes of the stand-in.
pub fn platform_routes(store: ObjectStore, faults: FaultState) -> impl Endpoint<Output = Response> {
    let objects = Route::new()
        .at("/objects/*name", get(read_object).put(write_object).delete(delete_object))
        .at("/list", get(list_objects))
        .at("/watch", get(watch_objects))
        .data(store.clone())
        .with(FaultLayer::new(faults.clone()));
    Route::new()
        .nest("/", objects)
        .at("/standin/faults", post(fault_endpoint(faults)))
        .at("/standin/counts", get(counts).data(store))
        .map_to_response()
}

#[handler]
async fn read_object(Data(store): Data<&ObjectStore>, Path(name): Path<String>) -> Response {
    let found = store.with_state(|state| {
        state.counts.reads += 1;
        state.objects.get(name.as_str()).map(|(object, _)| object.clone())
    });
    match found {
        Some(object) => Json(object).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

#[handler]
async fn write_object(
    Data(store): Data<&ObjectStore>,
    Path(name): Path<String>,
    Query(query): Query<WriteQuery>,
    value: String,
) -> Response {
    if value.len() > VALUE_LIMIT_BYTES {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    apply_write(store, &name, query.expected, Some(value))
}

#[handler]
async fn delete_object(
    Data(store): Data<&ObjectStore>,
    Path(name): Path<String>,
    Query(query): Query<WriteQuery>,
) -> Response {
    apply_write(store, &name, query.expected, None)
}

fn apply_write(store: &ObjectStore, name: &str, expected: u64, value: Option<String>) -> Response {
    let changed = store.with_state(|state| {
        state.counts.writes += 1;
        let version = state.objects.get(name).map_or(0, |(object, _)| object.version);
        if version != expected {
            return None;
        }
        state.position += 1;
        // Versions come from one counter, so that an object that is deleted and
        // created again never reuses a version.
        let version = state.position;
        let name: Arc<str> = name.into();
        match value {
            Some(value) => {
                let object = PlatformObject { name: name.clone(), version, value: value.into() };
                state.objects.insert(name, (object, version));
            }
            None => {
                state.objects.remove(&name);
            }
        }
        Some(version)
    });
    match changed {
        Some(version) => {
            store.changed.send_replace(version);
            Json(WriteResponse { version }).into_response()
        }
        None => StatusCode::CONFLICT.into_response(),
    }
}

#[handler]
async fn list_objects(
    Data(store): Data<&ObjectStore>,
    Query(query): Query<ListQuery>,
) -> Json<ObjectList> {
    store.with_state(|state| state.counts.reads += 1);
    Json(store.list(&query.prefix, 0))
}

#[handler]
async fn watch_objects(
    Data(store): Data<&ObjectStore>,
    Query(query): Query<WatchQuery>,
) -> Json<ObjectList> {
    store.with_state(|state| state.counts.watches += 1);
    let mut changed = store.changed.subscribe();
    let wait = async {
        loop {
            let list = store.list(&query.prefix, query.after);
            if !list.objects.is_empty() {
                return list;
            }
            if changed.changed().await.is_err() {
                return list;
            }
        }
    };
    let list = timeout(Duration::from_millis(query.wait_ms), wait).await;
    Json(list.unwrap_or_else(|_| store.list(&query.prefix, query.after)))
}

#[handler]
async fn counts(Data(store): Data<&ObjectStore>) -> Json<CallCounts> {
    Json(store.with_state(|state| state.counts))
}
