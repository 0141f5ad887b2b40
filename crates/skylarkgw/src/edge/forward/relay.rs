//! Passes an event stream on, event by event, and continues a broken one.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Response, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::decision::model_demand::ModelUse;
use crate::edge::forward::accept::AdmittedRequest;
use crate::edge::forward::place::choose;
use crate::edge::forward::record::{RequestEnd, RequestRecord};
use crate::edge::forward::send::{
    EngineUse, OpenAnswer, TryOutcome, closes_connection, may_run_again, remove_hop_headers,
    send_once, spend_budget,
};
use crate::edge::forward::{AnswerAbort, AnswerBody};
use crate::endpoint::HttpLink;
use crate::gateway::clock::boot_time;
use crate::gateway::declaration::RepeatRule;
use crate::ids::EndpointId;

/// Longest event, in bytes.
const EVENT_LIMIT: usize = 256 * 1024;
/// Time without an event after which a running stream counts as stalled.
const STALL_LIMIT: Duration = Duration::from_millis(1_500);
/// End of an event.
const EVENT_END: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";

/// A stream on its way to the caller.
pub struct StreamRelay {
    admitted: AdmittedRequest,
    source: Option<StreamSource>,
    head: Option<http::response::Parts>,
    buffer: BytesMut,
    last_id: Option<Arc<str>>,
    tried: HashSet<EndpointId>,
    runs: u32,
    record: RequestRecord,
}

struct StreamSource {
    body: Incoming,
    link: HttpLink,
    engine: EngineUse,
    idle_limit: Option<Duration>,
    closes: bool,
}

enum SourceStep {
    Events(Bytes),
    End,
    Broken(&'static str),
}

impl StreamSource {
    fn new(open: OpenAnswer) -> (http::response::Parts, StreamSource) {
        let closes = closes_connection(&open.parts.headers);
        let source = StreamSource {
            body: open.body,
            link: open.link,
            engine: open.engine,
            idle_limit: open.mark.idle_limit,
            closes,
        };
        (open.parts, source)
    }
}

impl StreamRelay {
    /// Starts to relay an answer.
    pub fn new(
        admitted: AdmittedRequest,
        open: OpenAnswer,
        tried: HashSet<EndpointId>,
        runs: u32,
        mut record: RequestRecord,
    ) -> StreamRelay {
        record.status = open.parts.status.as_u16();
        let (head, source) = StreamSource::new(open);
        StreamRelay {
            admitted,
            source: Some(source),
            head: Some(head),
            buffer: BytesMut::new(),
            last_id: None,
            tried,
            runs,
            record,
        }
    }

    /// Returns the next whole events, `None` at the end.
    async fn next(&mut self) -> Option<Result<Bytes, AnswerAbort>> {
        loop {
            let reason = match self.read_source().await {
                SourceStep::Events(events) => {
                    self.note_events();
                    return Some(Ok(events));
                }
                SourceStep::End => {
                    self.record.finish(RequestEnd::Answered);
                    self.note_end();
                    self.return_link();
                    return None;
                }
                SourceStep::Broken(reason) => reason,
            };
            self.note_break(reason);
            if !self.resume().await {
                self.record.reason = reason;
                self.record.finish(RequestEnd::Failed);
                return Some(Err(AnswerAbort::Broken));
            }
        }
    }

    /// Learns from the first event how long the prompt was read, unless the
    /// request may have queued.
    fn note_events(&mut self) {
        self.record.note_events();
        if self.record.first.is_some() {
            return;
        }
        self.record.note_first();
        let (Some(source), Some(first)) = (&self.source, self.record.first) else { return };
        let running = self.record.tries.last().map_or(0, |last| last.running);
        if self.runs == 1 && running * 2 < source.engine.entry.slots {
            self.with_model_use(|seen| {
                seen.reads += 1;
                seen.reading += first;
            });
        }
    }

    /// Learns from the end how long the stream took to generate.
    fn note_end(&mut self) {
        let first = self.record.first.unwrap_or_default();
        let generating = self.record.started().elapsed().saturating_sub(first);
        if self.runs == 1 {
            self.with_model_use(|seen| {
                seen.streams += 1;
                seen.generating += generating;
            });
        }
    }

    fn with_model_use(&self, note: impl FnOnce(&mut ModelUse)) {
        if let Some(target) = &self.admitted.header.target {
            let mut traffic = self.admitted.state.traffic();
            note(traffic.model_use(&self.admitted.service, &target.model));
        }
    }

    async fn read_source(&mut self) -> SourceStep {
        let Some(source) = &mut self.source else { return SourceStep::Broken("no-source") };
        loop {
            let stall =
                if self.record.first.is_some() { Some(Instant::now() + STALL_LIMIT) } else { None };
            let is_resumable = self.admitted.route.repeat == RepeatRule::Resumable;
            let limit = stall.filter(|_| is_resumable).unwrap_or(self.admitted.deadline);
            let limit = limit.min(self.admitted.deadline);
            let frame = match timeout_at(limit, source.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return SourceStep::Broken("stream-broken"),
                Ok(None) if self.buffer.is_empty() => return SourceStep::End,
                Ok(None) => return SourceStep::Broken("event-cut"),
                Err(_) => return SourceStep::Broken("stream-silent"),
            };
            let Ok(data) = frame.into_data() else { continue };
            self.buffer.extend_from_slice(&data);
            if let Some(end) = last_event_end(&self.buffer) {
                let events = self.buffer.split_to(end).freeze();
                if let Some(id) = last_event_id(&events) {
                    self.last_id = Some(id);
                }
                return SourceStep::Events(events);
            }
            if self.buffer.len() > EVENT_LIMIT {
                return SourceStep::Broken("event-too-long");
            }
        }
    }

    fn note_break(&mut self, reason: &'static str) {
        if let Some(last) = self.record.tries.last_mut() {
            last.outcome = reason;
        }
        if let Some(source) = self.source.take() {
            let engine = &source.engine.entry.id;
            self.admitted.state.traffic().record_outcome(boot_time(), engine, true);
        }
        self.buffer.clear();
    }

    /// Continues at another engine after the last event; `false` if it cannot.
    async fn resume(&mut self) -> bool {
        let admitted = &self.admitted;
        let may_resume = admitted.route.repeat == RepeatRule::Resumable;
        if !may_resume || !may_run_again(admitted, self.runs) {
            return false;
        }
        loop {
            let Ok(chosen) = choose(admitted, &self.tried).await else { return false };
            if !spend_budget(admitted, self.record.tries.len()) {
                return false;
            }
            self.tried.insert(chosen.entry.id.clone());
            let last_id = self.last_id.clone();
            let outcome = send_once(admitted, &chosen, last_id.as_deref(), &mut self.record).await;
            match outcome {
                TryOutcome::NotRun(_) => continue,
                TryOutcome::Answered(open) if open.parts.status.is_success() => {
                    self.runs += 1;
                    admitted.state.metrics.resumes.inc();
                    self.source = Some(StreamSource::new(*open).1);
                    return true;
                }
                TryOutcome::MayHaveRun(_) | TryOutcome::Answered(_) => return false,
            }
        }
    }

    fn return_link(&mut self) {
        let Some(source) = self.source.take() else { return };
        if !source.closes {
            let address = source.engine.entry.address;
            self.admitted.state.pool.give_back(address, source.link, source.idle_limit);
        }
    }
}

/// Builds the answer to the caller; the body drives the relay.
pub fn relay_stream(mut relay: StreamRelay) -> Response<AnswerBody> {
    let head = relay.head.take();
    let frames = futures::stream::unfold(relay, |mut relay| async move {
        let events = relay.next().await?;
        Some((events.map(Frame::data), relay))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    if let Some(mut head) = head {
        remove_hop_headers(&mut head.headers);
        // A stream that continues elsewhere may differ from a declared length.
        head.headers.remove(header::CONTENT_LENGTH);
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
    }
    response
}

/// Returns the length of the buffer's whole events.
fn last_event_end(buffer: &[u8]) -> Option<usize> {
    let start = buffer.windows(EVENT_END.len()).rposition(|window| window == EVENT_END)?;
    Some(start + EVENT_END.len())
}

/// Returns the last event identifier in whole events.
fn last_event_id(events: &[u8]) -> Option<Arc<str>> {
    let lines = events.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
    let id = std::str::from_utf8(ids.next_back()?).ok()?;
    Some(id.trim().into())
}
