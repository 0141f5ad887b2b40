//! What every request of a caller goes through first: key, limits, body.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::StreamExt;
use poem::http::{HeaderValue, header};
use poem::{IntoResponse, Request, Response};
use rand::Rng;
use spdlog::info;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{sleep, timeout};

use crate::control::{Admission, ControlHandle};
use crate::decision::host::{AdmissionRequest, HostSnapshot};
use crate::decision::keys::{KeyRefusal, check_key};
use crate::edge::EdgeContext;
use crate::edge::answer::{EdgeRefusal, REQUEST_ID_HEADER, RefusalReason, RunOutcome};
use crate::ids::{DataCentre, HostId, KeyHash, RequestId, WorkspaceId};
use crate::telemetry::{Metrics, RequestClass, RequestOutcome};

/// Longest time in which a body has to arrive.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Workspace label of requests on open routes and of refused keys.
pub const NO_WORKSPACE: &str = "-";

const DISCARD_LIMIT_BYTES: usize = 16 * 1024 * 1024;
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
const SNAPSHOT_WAIT: Duration = Duration::from_millis(40);
const SNAPSHOT_TRIES: u32 = 5;
const BEARER: &str = "Bearer ";

/// A request whose key was checked.
#[derive(Clone, Debug)]
pub struct CheckedCaller {
    /// Workspace that the request runs for; none on open routes.
    pub workspace: Option<WorkspaceId>,
    /// Keyed hash of the key.
    pub hash: Option<KeyHash>,
}

/// The key as it came, kept only until the request has been searched for it.
#[derive(Clone)]
pub struct PresentedKey(Option<String>);

impl PresentedKey {
    /// Takes the key out of the request's headers.
    pub fn take(request: &mut Request) -> PresentedKey {
        let value = request.headers_mut().remove(header::AUTHORIZATION);
        let key = value
            .as_ref()
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix(BEARER))
            .map(|key| key.trim().to_owned())
            .filter(|key| !key.is_empty());
        PresentedKey(key)
    }

    /// Returns whether the key stands in some text.
    pub fn occurs_in(&self, text: &[u8]) -> bool {
        let Some(key) = &self.0 else { return false };
        text.windows(key.len()).any(|window| window == key.as_bytes())
    }
}

/// Counts and logs one request until it ends.
#[derive(Debug)]
pub struct RequestRecord {
    /// Identifier of the request.
    pub id: RequestId,
    /// When it came.
    pub started: Instant,
    host: HostId,
    data_centre: DataCentre,
    workspace: WorkspaceId,
    class: RequestClass,
    metrics: Arc<Metrics>,
    outcome: RequestOutcome,
    code: &'static str,
    _permit: Option<OwnedSemaphorePermit>,
}

impl RequestRecord {
    /// Starts a record.
    pub fn new(context: &EdgeContext, class: RequestClass) -> RequestRecord {
        context.metrics.running.inc();
        RequestRecord {
            id: new_request_id(),
            started: Instant::now(),
            host: context.host.clone(),
            data_centre: context.data_centre.clone(),
            workspace: NO_WORKSPACE.into(),
            class,
            metrics: context.metrics.clone(),
            outcome: RequestOutcome::Abandoned,
            code: "",
            _permit: None,
        }
    }

    /// Takes one of the host's places for requests.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::Busy`] if there is none.
    pub fn take_permit(&mut self, context: &EdgeContext) -> Result<(), EdgeRefusal> {
        let permit = context.permits.clone().try_acquire_owned();
        self._permit = Some(permit.map_err(|_| RefusalReason::Busy)?);
        Ok(())
    }

    /// Notes whom the request runs for.
    pub fn set_workspace(&mut self, workspace: Option<&WorkspaceId>) {
        self.workspace = workspace.cloned().unwrap_or_else(|| NO_WORKSPACE.into());
    }

    /// Notes that the caller got the whole answer.
    pub fn answered(&mut self) {
        self.outcome = RequestOutcome::Answered;
        let seconds = self.started.elapsed().as_secs_f64();
        self.metrics.whole_answer(&self.workspace, self.class, seconds);
    }

    /// Records the time to the first token.
    pub fn first_token(&self) {
        let seconds = self.started.elapsed().as_secs_f64();
        self.metrics.first_token(&self.workspace, self.class, seconds);
    }

    /// Records the time between two tokens.
    pub fn token_gap(&self, gap: Duration) {
        self.metrics.token_gap(&self.workspace, self.class, gap.as_secs_f64());
    }

    /// Notes a refusal.
    pub fn refused(&mut self, refusal: &EdgeRefusal) {
        self.outcome = match refusal.outcome() {
            RunOutcome::NotRun => RequestOutcome::NotRun,
            RunOutcome::Unknown => RequestOutcome::Unknown,
        };
        self.code = refusal.code();
        self.metrics.refused(&self.workspace, refusal.code());
    }

    /// Notes a refusal and turns it into the response.
    pub fn refuse(mut self, refusal: EdgeRefusal) -> Response {
        self.refused(&refusal);
        let id = self.id.clone();
        with_request_id(refusal.into_response(), &id)
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        self.metrics.running.dec();
        self.metrics.request_ended(&self.workspace, self.class, self.outcome);
        info!("request ended", kv: {
            request = &*self.id,
            host = &*self.host,
            data_centre = &*self.data_centre,
            workspace = &*self.workspace,
            outcome = format!("{:?}", self.outcome).as_str(),
            code = self.code,
            milliseconds = self.started.elapsed().as_millis() as u64,
        });
    }
}

/// Checks the key of a request on a snapshot that can be trusted.
///
/// # Errors
///
/// [`EdgeRefusal`] if the key is not valid or this host cannot tell.
pub async fn check_caller(
    context: &EdgeContext,
    key: &PresentedKey,
    is_open: impl Fn(&HostSnapshot) -> bool,
) -> Result<(CheckedCaller, Arc<HostSnapshot>), EdgeRefusal> {
    let snapshot = serving_snapshot(&context.control).await.ok_or(RefusalReason::NotReady)?;
    if is_open(&snapshot) {
        return Ok((CheckedCaller { workspace: None, hash: None }, snapshot));
    }
    let hash = key.0.as_deref().map(|key| context.hasher.hash(key));
    let workspace = check_key(&snapshot.configuration, &snapshot.withdrawn, hash.as_deref())
        .map_err(|refusal: KeyRefusal| EdgeRefusal::from(RefusalReason::Key(refusal)))?;
    Ok((CheckedCaller { workspace: Some(workspace), hash }, snapshot))
}

/// Waits shortly for a trusted snapshot, as after a pause of the process.
async fn serving_snapshot(control: &ControlHandle) -> Option<Arc<HostSnapshot>> {
    for _ in 0..SNAPSHOT_TRIES {
        if let Some(snapshot) = control.fresh_snapshot().filter(|snapshot| snapshot.serving) {
            return Some(snapshot);
        }
        sleep(SNAPSHOT_WAIT).await;
    }
    None
}

/// Asks the control thread to admit a request.
///
/// # Errors
///
/// [`EdgeRefusal`] with the control thread's reason.
pub async fn admit(
    context: &EdgeContext,
    request: AdmissionRequest,
) -> Result<Admission, EdgeRefusal> {
    let mut tries = 0;
    loop {
        let answer = context.control.admit(request.clone()).await;
        let admission =
            answer.map_err(|_| RefusalReason::NotReady)?.map_err(RefusalReason::Admission)?;
        // A pause between decision and use may outlast what was decided on.
        if !admission.is_stale() {
            return Ok(admission);
        }
        tries += 1;
        if tries >= SNAPSHOT_TRIES {
            return Err(RefusalReason::NotReady.into());
        }
    }
}

/// Reads the body within the limits of size and time.
///
/// # Errors
///
/// [`EdgeRefusal`] if it is too large, late or broken off, or holds the key.
pub async fn read_body(
    context: &EdgeContext,
    request: &mut Request,
    key: &PresentedKey,
) -> Result<Bytes, EdgeRefusal> {
    let announced = request
        .headers()
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse::<usize>().ok());
    if announced.is_some_and(|length| length > context.body_limit) {
        discard_body(request).await;
        return Err(RefusalReason::BodyTooLarge(context.body_limit).into());
    }
    let body = request.take_body().into_bytes_limit(context.body_limit);
    let body = timeout(BODY_TIMEOUT, body).await.map_err(|_| RefusalReason::BodyIncomplete)?;
    let body = body.map_err(|error| match error {
        poem::error::ReadBodyError::PayloadTooLarge => {
            RefusalReason::BodyTooLarge(context.body_limit)
        }
        _ => RefusalReason::BodyIncomplete,
    })?;
    if key.occurs_in(&body) || key.occurs_in(request.uri().to_string().as_bytes()) {
        return Err(RefusalReason::KeyOutOfPlace.into());
    }
    Ok(body)
}

/// Reads on for a while, so that a caller that is still sending sees the
/// refusal and not a broken connection.
async fn discard_body(request: &mut Request) {
    let mut chunks = request.take_body().into_bytes_stream();
    let discard = async {
        let mut length = 0;
        while let Some(Ok(chunk)) = chunks.next().await {
            length += chunk.len();
            if length > DISCARD_LIMIT_BYTES {
                return;
            }
        }
    };
    let _ = timeout(DISCARD_TIMEOUT, discard).await;
}

/// Adds the request's identifier to a response.
pub fn with_request_id(mut response: Response, id: &RequestId) -> Response {
    if let Ok(value) = HeaderValue::from_str(id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}

fn new_request_id() -> RequestId {
    format!("req-{:032x}", rand::rng().random::<u128>()).into()
}
