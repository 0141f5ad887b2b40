//! Relays an event stream to the client in whole events, and resumes an interrupted
//! stream at another engine.

use std::collections::HashSet;
use std::future::pending;
use std::pin::pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::HeaderValue;
use http::{Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::task::yield_now;
use tokio::time::{Instant, timeout, timeout_at};

use crate::decision::event_buffer::EventBuffer;
use crate::decision::event_sequence::{EventSequence, ResumePoint, SequenceFault};
use crate::decision::model_demand::ModelUse;
use crate::decision::prompt_evidence::AnswerProgress;
use crate::edge::forward::admit::AdmittedRequest;
use crate::edge::forward::crash::examine_interruption;
use crate::edge::forward::pace::record_answer_pace;
use crate::edge::forward::record::{RequestEnd, RequestRecord};
use crate::edge::forward::select::{SelectedEngine, select_engine};
use crate::edge::forward::send::{
    AttemptOutcome, AttemptTerms, CONNECT_TIMEOUT, EngineRequestGuard, PendingResponse,
    begin_attempt, closes_connection, may_run_again, remove_hop_by_hop_headers, send_once,
    spend_retry_budget,
};
use crate::edge::forward::{ResponseAborted, ResponseBody};
use crate::endpoint::{ByteBudget, HeldMemory, HttpConnection};
use crate::gateway::clock::time_since_boot;
use crate::gateway::declaration::RetryPolicy;
use crate::ids::EndpointId;

/// Maximum size of a single event.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// Size of a partial event above which it counts against the memory for all held bodies.
const UNCOUNTED_EVENT_BYTES: usize = 16 * 1024;
/// Time without a whole event after which a resumable stream that has begun is considered
/// stalled. It continues at another engine if there is one that can take it, and is left
/// to its engine otherwise.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time for which a silent engine keeps a stream after its rest was sent to
/// another one. Two engines may work on one stream for 400 ms.
const HOLD_TIME: Duration = Duration::from_millis(300);
/// Time limit for opening a connection to that engine. It ends before [`HOLD_TIME`], so
/// that the stream can go on at the silent engine.
const SUCCESSOR_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
const _: () = assert!(SUCCESSOR_CONNECT_TIMEOUT.as_millis() < HOLD_TIME.as_millis());
/// Maximum number of attempts to resume one stream, including refused ones.
const MAX_RESUME_ATTEMPTS: usize = 3;

/// State of an event stream that is relayed to a client.
pub struct StreamRelay {
    admitted: AdmittedRequest,
    source: Option<StreamSource>,
    head: Option<http::response::Parts>,
    /// Media type of the first response.
    media_type: Option<HeaderValue>,
    /// Start of an event that has not arrived completely.
    buffer: EventBuffer,
    /// Memory of a long partial event.
    held: Option<HeldMemory>,
    /// Events that were relayed.
    sequence: EventSequence,
    /// Fault of the event after the last relayed one.
    fault: Option<SequenceFault>,
    /// Engines to which the request has been sent.
    tried: HashSet<EndpointId>,
    /// Number of times that the request may have been executed.
    runs: u32,
    /// Index of the attempt whose answer is the source.
    source_attempt: usize,
    /// Whether no event of the source has been relayed yet.
    is_source_new: bool,
    /// Number of attempts to resume the stream.
    resume_attempts: usize,
    record: RequestRecord,
}

/// Response of an engine from which a stream is read.
struct StreamSource {
    body: Incoming,
    connection: HttpConnection,
    engine: EngineRequestGuard,
    idle_limit: Option<Duration>,
    closes_after_response: bool,
    /// Whether the response has a length or is sent in chunks. Otherwise it ends with
    /// its connection.
    is_delimited: bool,
}

/// Result of reading from a source.
enum SourceRead {
    /// One or more whole events.
    Events(Bytes),
    /// The stream is complete.
    End,
    /// No whole event has arrived for [`STALL_TIMEOUT`], but the engine may still go on.
    Stalled,
    /// The stream was interrupted; holds the label of the cause.
    Interrupted(&'static str),
}

impl StreamSource {
    fn new(pending: PendingResponse) -> (http::response::Parts, StreamSource) {
        let headers = &pending.parts.headers;
        let closes_after_response = closes_connection(headers);
        let is_delimited = headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING);
        let source = StreamSource {
            body: pending.body,
            connection: pending.connection,
            engine: pending.engine,
            idle_limit: pending.info.idle_limit,
            closes_after_response,
            is_delimited,
        };
        (pending.parts, source)
    }
}

impl StreamRelay {
    /// Creates the relay of a response whose body has not been read yet.
    pub fn new(
        admitted: AdmittedRequest,
        pending: PendingResponse,
        tried: HashSet<EndpointId>,
        runs: u32,
        mut record: RequestRecord,
    ) -> StreamRelay {
        record.status = pending.parts.status.as_u16();
        let source_attempt = pending.attempt;
        let (head, source) = StreamSource::new(pending);
        let media_type = head.headers.get(header::CONTENT_TYPE).cloned();
        StreamRelay {
            admitted,
            source: Some(source),
            head: Some(head),
            media_type,
            buffer: EventBuffer::default(),
            held: None,
            sequence: EventSequence::default(),
            fault: None,
            tried,
            runs,
            source_attempt,
            is_source_new: true,
            resume_attempts: 0,
            record,
        }
    }

    /// Returns the next whole events, or `None` at the end of the stream.
    ///
    /// An interrupted stream is resumed at another engine where possible.
    ///
    /// # Errors
    ///
    /// [`ResponseAborted`] if the stream was interrupted and cannot be resumed.
    async fn next_events(&mut self) -> Option<Result<Bytes, ResponseAborted>> {
        loop {
            let (reason, is_continued) = match self.read_source().await {
                SourceRead::Events(events) => {
                    self.record_events();
                    return Some(Ok(events));
                }
                SourceRead::End => {
                    self.record.finish(RequestEnd::Answered);
                    self.record_proof();
                    self.record_end();
                    self.release_connection();
                    return None;
                }
                SourceRead::Stalled => ("stream-silent", self.replace_silent_source().await),
                SourceRead::Interrupted(reason) => {
                    let is_suspect = self.record_interruption(reason).await;
                    (reason, !is_suspect && self.resume().await)
                }
            };
            if !is_continued {
                self.record.reason = reason;
                self.record.finish(RequestEnd::Failed);
                // The connection writes what it holds only while no data is ready, and
                // discards it after an error.
                yield_now().await;
                return Some(Err(ResponseAborted::CutOff));
            }
        }
    }

    /// Records that events are relayed.
    ///
    /// The time to the first event is also added to the prefill time of the model,
    /// unless the request may have been queued at the engine or executed by more than
    /// one engine.
    fn record_events(&mut self) {
        self.record.record_events();
        if let Some(attempt) = self.record.attempts.get_mut(self.source_attempt) {
            attempt.progress = AnswerProgress::Streaming;
        }
        let is_first = std::mem::take(&mut self.is_source_new);
        if let Some(source) = self.source.as_ref().filter(|_| is_first) {
            let engine = &source.engine.entry.id;
            let mut log = self.admitted.state.lock_service_log();
            log.record_served_attempt(time_since_boot(), engine);
        }
        if self.record.first_latency.is_some() {
            return;
        }
        self.record.record_first_event();
        self.record.record_service();
        let (Some(source), Some(first)) = (&self.source, self.record.first_latency) else { return };
        let attempt = self.record.attempts.get(self.source_attempt);
        let running = attempt.map_or(0, |attempt| attempt.running);
        if self.runs == 1 && running * 2 < source.engine.entry.slots {
            self.update_model_use(|model_use| {
                model_use.reads += 1;
                model_use.reading += first;
            });
        }
    }

    /// Returns how far the answer of the source has come.
    fn source_progress(&self) -> AnswerProgress {
        let attempt = self.record.attempts.get(self.source_attempt);
        attempt.map_or(AnswerProgress::Begun, |attempt| attempt.progress)
    }

    /// Records that the last engine has answered the prompt, if it sent any event.
    fn record_proof(&self) {
        if self.source_progress() == AnswerProgress::Streaming {
            let mut guard = self.admitted.state.lock_prompt_guard();
            guard.record_answer(time_since_boot(), &self.admitted.shared_parts);
        }
    }

    /// Adds the time since the first event to the generating time of the model, at the
    /// end of a stream that no more than one engine may have executed.
    fn record_end(&mut self) {
        let first = self.record.first_latency.unwrap_or_default();
        let generating = self.record.started().elapsed().saturating_sub(first);
        if self.runs == 1 {
            self.update_model_use(|model_use| {
                model_use.streams += 1;
                model_use.generating += generating;
            });
            if let (Some(source), Some(attempt)) =
                (&self.source, self.record.attempts.get(self.source_attempt))
            {
                let first_at = self.record.started() + first;
                let rest_parts = self.sequence.accepted().saturating_sub(1);
                let entry = &source.engine.entry;
                record_answer_pace(&self.admitted, entry, attempt, first_at, rest_parts);
            }
        }
    }

    /// Applies `update` to the usage statistics of the requested model.
    fn update_model_use(&self, update: impl FnOnce(&mut ModelUse)) {
        if let Some(target) = &self.admitted.header.target {
            let mut traffic = self.admitted.state.lock_traffic();
            update(traffic.model_use(&self.admitted.service, &target.model));
        }
    }

    /// Reads from the source until the buffer contains a whole event.
    async fn read_source(&mut self) -> SourceRead {
        if let Some(fault) = self.fault.take() {
            return SourceRead::Interrupted(fault.label());
        }
        let Some(source) = &mut self.source else { return SourceRead::Interrupted("no-source") };
        let is_resumable = self.admitted.route.repeat == RetryPolicy::Resumable;
        let can_stall = is_resumable && self.record.first_latency.is_some();
        let stall_deadline = Instant::now() + STALL_TIMEOUT;
        let read_deadline = match can_stall {
            true => self.admitted.deadline.min(stall_deadline),
            false => self.admitted.deadline,
        };
        loop {
            // A timeout does not interrupt a source that always has data.
            let now = Instant::now();
            if now >= self.admitted.deadline {
                return SourceRead::Interrupted("deadline-passed");
            }
            if now >= read_deadline {
                return SourceRead::Stalled;
            }
            let frame = tokio::select! {
                biased;
                () = wait_for_eviction(self.held.as_ref()) => {
                    return SourceRead::Interrupted("event-evicted");
                }
                frame = timeout_at(read_deadline, source.body.frame()) => frame,
            };
            let frame = match frame {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return SourceRead::Interrupted("stream-broken"),
                // Only an event of the next engine shows that it has the same stream.
                Ok(None) if self.sequence.is_awaiting_rest() => {
                    return SourceRead::Interrupted("rest-empty");
                }
                Ok(None) if self.buffer.is_empty() => {
                    // An engine that ends also closes its connections.
                    let is_empty =
                        !source.is_delimited && *self.sequence.resume_point() == ResumePoint::Start;
                    return if is_empty && self.record.first_latency.is_none() {
                        SourceRead::Interrupted("stream-empty")
                    } else {
                        SourceRead::End
                    };
                }
                Ok(None) => return SourceRead::Interrupted("event-cut"),
                Err(_) if Instant::now() < self.admitted.deadline => return SourceRead::Stalled,
                Err(_) => return SourceRead::Interrupted("stream-silent"),
            };
            let Ok(data) = frame.into_data() else { continue };
            self.buffer.push(&data);
            if let Some(read) = take_events(&mut self.buffer, &mut self.sequence, &mut self.fault) {
                self.held = None;
                return read;
            }
            let budget = &self.admitted.state.held_bodies;
            if !hold_partial_event(budget, self.buffer.len(), &mut self.held) {
                return SourceRead::Interrupted("event-too-long");
            }
        }
    }

    /// Records the interruption of the source and drops it.
    ///
    /// Returns whether the request must not be sent to another engine, because it may
    /// have ended this one.
    async fn record_interruption(&mut self, reason: &'static str) -> bool {
        let Some(source) = &self.source else { return false };
        let entry = source.engine.entry.clone();
        let progress = self.source_progress();
        self.drop_source(reason, &entry.id);
        examine_interruption(&self.admitted, &entry, progress).await
    }

    /// Drops the source, if it is still there, and records that its engine has failed for
    /// `reason`.
    fn drop_source(&mut self, reason: &'static str, engine: &EndpointId) {
        self.source = None;
        if let Some(attempt) = self.record.attempts.get_mut(self.source_attempt) {
            attempt.outcome = reason;
        }
        let (now, state) = (time_since_boot(), &self.admitted.state);
        state.lock_traffic().record_outcome(now, engine, true);
        if self.is_source_new {
            state.lock_service_log().record_failed_attempt(now, engine, false);
        }
    }

    /// Selects another engine for the rest of the stream and spends a retry on it.
    ///
    /// Returns `None` if the stream may not be resumed, or no engine can take it.
    async fn select_successor(&self) -> Option<SelectedEngine> {
        let admitted = &self.admitted;
        let may_resume = admitted.route.repeat == RetryPolicy::Resumable
            && may_run_again(admitted, self.runs)
            && self.resume_attempts < MAX_RESUME_ATTEMPTS
            && *self.sequence.resume_point() != ResumePoint::Unknown;
        if !may_resume {
            return None;
        }
        let selected = select_engine(admitted, &self.tried).await.ok()?;
        let is_allowed = begin_attempt(admitted).is_none()
            && spend_retry_budget(admitted, self.record.attempts.len());
        is_allowed.then_some(selected)
    }

    /// Resumes the stream at another engine after the last relayed event, and returns
    /// whether that succeeded.
    async fn resume(&mut self) -> bool {
        loop {
            let Some(selected) = self.select_successor().await else { return false };
            match self.send_rest(&selected).await {
                AttemptOutcome::NotRun(_) => continue,
                outcome => return self.accept_rest(outcome),
            }
        }
    }

    /// Resumes the stream of a silent source at another engine, and returns whether the
    /// stream goes on.
    ///
    /// An engine's silence is no reason to end a stream. It goes on at its engine if no
    /// other engine can be selected, or those that are selected do not run it. Once
    /// another engine may run it, the silent engine must not go on as well.
    async fn replace_silent_source(&mut self) -> bool {
        let Some(source) = &self.source else { return false };
        let entry = source.engine.entry.clone();
        let progress = self.source_progress();
        let mut is_examined = false;
        let outcome = loop {
            let Some(selected) = self.select_successor().await else { return true };
            if !std::mem::replace(&mut is_examined, true)
                && examine_interruption(&self.admitted, &entry, progress).await
            {
                return true;
            }
            let outcome = self.send_rest(&selected).await;
            if self.source.is_none() || !matches!(outcome, AttemptOutcome::NotRun(_)) {
                break outcome;
            }
        };
        self.drop_source("stream-silent", &entry.id);
        match outcome {
            AttemptOutcome::NotRun(_) => self.resume().await,
            outcome => self.accept_rest(outcome),
        }
    }

    /// Sends the request for the rest of the stream to another engine.
    ///
    /// A source that has stalled is kept meanwhile, for at most [`HOLD_TIME`].
    async fn send_rest(&mut self, selected: &SelectedEngine) -> AttemptOutcome {
        let resume_after = match self.sequence.resume_point() {
            ResumePoint::After(id, _) => Some(id.clone()),
            ResumePoint::Start | ResumePoint::Unknown => None,
        };
        let is_held = self.source.is_some();
        let terms = AttemptTerms {
            resume_after: resume_after.as_deref(),
            connect_timeout: if is_held { SUCCESSOR_CONNECT_TIMEOUT } else { CONNECT_TIMEOUT },
        };
        self.tried.insert(selected.entry.id.clone());
        self.resume_attempts += 1;
        let mut attempt = pin!(send_once(&self.admitted, selected, terms, &mut self.record));
        match timeout(HOLD_TIME, attempt.as_mut()).await {
            Ok(outcome) => outcome,
            Err(_) => {
                self.source = None;
                attempt.await
            }
        }
    }

    /// Continues the stream with the answer of another engine, and returns whether that
    /// is possible.
    fn accept_rest(&mut self, outcome: AttemptOutcome) -> bool {
        let pending = match outcome {
            AttemptOutcome::Answered(pending) if pending.parts.status.is_success() => pending,
            _ => return false,
        };
        self.runs += 1;
        if !is_rest_of_stream(&pending.parts, self.media_type.as_ref()) {
            self.record_wrong_answer(&pending);
            return false;
        }
        self.admitted.state.metrics.resumes.inc();
        // A partial event of the last source is discarded.
        self.buffer.begin_rest();
        self.held = None;
        self.sequence.begin_rest();
        self.source_attempt = pending.attempt;
        self.source = Some(StreamSource::new(*pending).1);
        self.is_source_new = true;
        true
    }

    /// Records that the last engine answered with something other than the rest of the
    /// stream.
    fn record_wrong_answer(&mut self, pending: &PendingResponse) {
        if let Some(last) = self.record.attempts.last_mut() {
            last.outcome = "no-stream";
        }
        let engine = &pending.engine.entry.id;
        self.admitted.state.lock_traffic().record_outcome(time_since_boot(), engine, true);
    }

    /// Returns the connection of a completed stream to the pool.
    fn release_connection(&mut self) {
        let Some(source) = self.source.take() else { return };
        if !source.closes_after_response {
            let address = source.engine.entry.address;
            self.admitted.state.pool.release(address, source.connection, source.idle_limit);
        }
    }
}

/// Builds the response to the client, whose body drives the relay.
pub fn relay_stream(mut relay: StreamRelay) -> Response<ResponseBody> {
    let head = relay.head.take();
    let frames = futures::stream::unfold(relay, |mut relay| async move {
        let events = relay.next_events().await?;
        Some((events.map(Frame::data), relay))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    if let Some(mut head) = head {
        remove_hop_by_hop_headers(&mut head.headers);
        // A stream that is resumed at another engine may differ from the declared
        // length.
        head.headers.remove(header::CONTENT_LENGTH);
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
    }
    response
}

/// Returns whether a successful response may contain the rest of a stream whose first
/// response had `media_type`.
fn is_rest_of_stream(parts: &http::response::Parts, media_type: Option<&HeaderValue>) -> bool {
    let headers = &parts.headers;
    parts.status == StatusCode::OK
        && !headers.contains_key(header::CONTENT_ENCODING)
        && find_media_type(headers.get(header::CONTENT_TYPE)) == find_media_type(media_type)
}

/// Returns a media type without its parameters, in lowercase.
fn find_media_type(value: Option<&HeaderValue>) -> Option<String> {
    let text = String::from_utf8_lossy(value?.as_bytes()).to_lowercase();
    Some(text.split(';').next()?.trim().to_owned())
}

/// Counts a partial event of `length` bytes against the budget, and returns whether it may
/// be held.
fn hold_partial_event(budget: &ByteBudget, length: usize, held: &mut Option<HeldMemory>) -> bool {
    if length <= UNCOUNTED_EVENT_BYTES {
        return true;
    }
    // The buffer may double when it grows.
    length <= MAX_EVENT_BYTES
        && held.get_or_insert_with(|| budget.hold_memory()).try_resize(2 * length)
}

/// Waits until a partial event has given way to a smaller one, or forever without one.
async fn wait_for_eviction(held: Option<&HeldMemory>) {
    match held {
        Some(held) => held.eviction().await,
        None => pending().await,
    }
}

/// Takes the whole events out of a buffer up to the first one that must not be relayed.
fn take_events(
    buffer: &mut EventBuffer,
    sequence: &mut EventSequence,
    next_fault: &mut Option<SequenceFault>,
) -> Option<SourceRead> {
    let mut events = BytesMut::new();
    while let Some(event) = buffer.take_event() {
        match sequence.accept(&event) {
            Ok(()) => events.extend_from_slice(&event),
            Err(fault) if events.is_empty() => {
                return Some(SourceRead::Interrupted(fault.label()));
            }
            Err(fault) => {
                *next_fault = Some(fault);
                break;
            }
        }
    }
    (!events.is_empty()).then(|| SourceRead::Events(events.freeze()))
}
