//! Steps common to all client requests: authentication, limits, reading the body
//! and recording the outcome.

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
use crate::edge::refusal::{EdgeRefusal, REQUEST_ID_HEADER, RefusalReason, RunOutcome};
use crate::ids::{DataCentre, HostId, KeyHash, RequestId, WorkspaceId};
use crate::telemetry::{Metrics, RequestClass, RequestOutcome};

/// Time within which the whole request body has to arrive.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Workspace label of requests on open routes, which need no key, and of requests
/// that were refused before their workspace was determined.
pub const NO_WORKSPACE: &str = "-";

/// Maximum number of bytes of an oversized body that are read and discarded.
const DISCARD_LIMIT_BYTES: usize = 16 * 1024 * 1024;
/// Longest time for which an oversized body is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay between two attempts to get a fresh snapshot.
const SNAPSHOT_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Maximum number of attempts to get a fresh snapshot, or a fresh admission.
const MAX_SNAPSHOT_ATTEMPTS: u32 = 5;
const BEARER_PREFIX: &str = "Bearer ";

/// Client whose API key has been checked, or any client of an open route.
#[derive(Clone, Debug)]
pub struct AuthenticatedClient {
    /// Workspace that the request is charged to; `None` on open routes.
    pub workspace: Option<WorkspaceId>,
    /// Keyed hash of the API key; `None` on open routes.
    pub hash: Option<KeyHash>,
}

/// API key as presented by the client.
///
/// It is kept only until the rest of the request has been searched for it.
#[derive(Clone)]
pub struct PresentedKey(Option<String>);

impl PresentedKey {
    /// Removes the `Authorization` header of a request and returns its key.
    pub fn take_from(request: &mut Request) -> PresentedKey {
        let value = request.headers_mut().remove(header::AUTHORIZATION);
        let key = value
            .as_ref()
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix(BEARER_PREFIX))
            .map(|key| key.trim().to_owned())
            .filter(|key| !key.is_empty());
        PresentedKey(key)
    }

    /// Returns whether the key occurs in `text`.
    pub fn occurs_in(&self, text: &[u8]) -> bool {
        let Some(key) = &self.0 else { return false };
        text.windows(key.len()).any(|window| window == key.as_bytes())
    }
}

/// Record of one request to the chat interface or to a plain service, which is logged
/// and counted when it is dropped.
#[derive(Debug)]
pub struct RequestRecord {
    /// Identifier of the request.
    pub id: RequestId,
    /// Time at which the request arrived.
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
    /// Creates the record of a request that has just arrived.
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

    /// Acquires one of the host's permits for concurrent requests.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::Busy`] if all permits are in use.
    pub fn acquire_permit(&mut self, context: &EdgeContext) -> Result<(), EdgeRefusal> {
        let permit = context.permits.clone().try_acquire_owned();
        self._permit = Some(permit.map_err(|_| RefusalReason::Busy)?);
        Ok(())
    }

    /// Sets the workspace that the request is charged to.
    pub fn set_workspace(&mut self, workspace: Option<&WorkspaceId>) {
        self.workspace = workspace.cloned().unwrap_or_else(|| NO_WORKSPACE.into());
    }

    /// Records that the response is complete, with its duration.
    pub fn record_answered(&mut self) {
        self.outcome = RequestOutcome::Answered;
        let seconds = self.started.elapsed().as_secs_f64();
        self.metrics.observe_whole_answer(&self.workspace, self.class, seconds);
    }

    /// Records the time to the first token.
    pub fn record_first_token(&self) {
        let seconds = self.started.elapsed().as_secs_f64();
        self.metrics.observe_first_token(&self.workspace, self.class, seconds);
    }

    /// Records the time between two tokens.
    pub fn record_token_gap(&self, gap: Duration) {
        self.metrics.observe_token_gap(&self.workspace, self.class, gap.as_secs_f64());
    }

    /// Records a refusal.
    pub fn record_refusal(&mut self, refusal: &EdgeRefusal) {
        self.outcome = match refusal.outcome() {
            RunOutcome::NotRun => RequestOutcome::NotRun,
            RunOutcome::Unknown => RequestOutcome::Unknown,
        };
        self.code = refusal.code();
        self.metrics.count_refusal(&self.workspace, refusal.code());
    }

    /// Records a refusal and converts it into the response.
    pub fn into_refusal_response(mut self, refusal: EdgeRefusal) -> Response {
        self.record_refusal(&refusal);
        let id = self.id.clone();
        with_request_id(refusal.into_response(), &id)
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        self.metrics.running.dec();
        self.metrics.count_request(&self.workspace, self.class, self.outcome);
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

/// Checks the API key of a request against a fresh snapshot, which is returned as
/// well.
///
/// No key is required where `is_open` returns `true`.
///
/// # Errors
///
/// [`EdgeRefusal`] if the key is missing or invalid, if this host has no fresh
/// snapshot, or if it is not serving.
pub async fn authenticate(
    context: &EdgeContext,
    key: &PresentedKey,
    is_open: impl Fn(&HostSnapshot) -> bool,
) -> Result<(AuthenticatedClient, Arc<HostSnapshot>), EdgeRefusal> {
    let snapshot = wait_for_snapshot(&context.control).await.ok_or(RefusalReason::NotReady)?;
    if is_open(&snapshot) {
        return Ok((AuthenticatedClient { workspace: None, hash: None }, snapshot));
    }
    let hash = key.0.as_deref().map(|key| context.hasher.hash(key));
    let workspace = check_key(&snapshot.configuration, &snapshot.withdrawn, hash.as_deref())
        .map_err(|refusal: KeyRefusal| EdgeRefusal::from(RefusalReason::Key(refusal)))?;
    Ok((AuthenticatedClient { workspace: Some(workspace), hash }, snapshot))
}

/// Returns a fresh snapshot, if this host is serving according to it.
///
/// Makes up to [`MAX_SNAPSHOT_ATTEMPTS`] attempts, [`SNAPSHOT_RETRY_DELAY`] apart,
/// because the latest snapshot may be too old after the process was suspended.
async fn wait_for_snapshot(control: &ControlHandle) -> Option<Arc<HostSnapshot>> {
    for _ in 0..MAX_SNAPSHOT_ATTEMPTS {
        if let Some(snapshot) = control.fresh_snapshot().filter(|snapshot| snapshot.serving) {
            return Some(snapshot);
        }
        sleep(SNAPSHOT_RETRY_DELAY).await;
    }
    None
}

/// Requests admission from the control thread.
///
/// # Errors
///
/// [`EdgeRefusal`] with the reason of the control thread, or
/// [`RefusalReason::NotReady`] if that thread has ended or every admission was
/// stale on arrival.
pub async fn request_admission(
    context: &EdgeContext,
    request: AdmissionRequest,
) -> Result<Admission, EdgeRefusal> {
    let mut attempts = 0;
    loop {
        let answer = context.control.admit(request.clone()).await;
        let admission =
            answer.map_err(|_| RefusalReason::NotReady)?.map_err(RefusalReason::Admission)?;
        // The process may have been suspended between the decision and its use,
        // for longer than the decision is valid.
        if !admission.is_stale() {
            return Ok(admission);
        }
        attempts += 1;
        if attempts >= MAX_SNAPSHOT_ATTEMPTS {
            return Err(RefusalReason::NotReady.into());
        }
    }
}

/// Reads the request body within the limits on its size and time.
///
/// # Errors
///
/// [`EdgeRefusal`] if the body is too large, late or cut off, or if the body or
/// the URI contains the API key.
pub async fn read_body(
    context: &EdgeContext,
    request: &mut Request,
    key: &PresentedKey,
) -> Result<Bytes, EdgeRefusal> {
    let declared_length = request
        .headers()
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse::<usize>().ok());
    if declared_length.is_some_and(|length| length > context.body_limit) {
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
        return Err(RefusalReason::KeyOutsideHeader.into());
    }
    Ok(body)
}

/// Reads and discards a body that is too large, until more than
/// [`DISCARD_LIMIT_BYTES`] have arrived or [`DISCARD_TIMEOUT`] has elapsed.
///
/// A client that is still sending then receives the refusal instead of a
/// connection reset.
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

/// Adds the request identifier to the headers of a response.
pub fn with_request_id(mut response: Response, id: &RequestId) -> Response {
    if let Ok(value) = HeaderValue::from_str(id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}

fn new_request_id() -> RequestId {
    format!("req-{:032x}", rand::rng().random::<u128>()).into()
}
