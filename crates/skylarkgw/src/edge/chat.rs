//! OpenAI-compatible chat and text completions, with whole or streamed responses.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use futures::Stream;
use poem::web::sse::{Event, SSE};
use poem::{IntoResponse, Request, Response};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::control::ControlHandle;
use crate::decision::host::{AdmissionRequest, HostSnapshot};
use crate::decision::routing::RouteTarget;
use crate::edge::EdgeContext;
use crate::edge::refusal::{EdgeRefusal, RefusalReason};
use crate::edge::request::{
    AuthenticatedClient, PresentedKey, RequestRecord, authenticate, read_body, request_admission,
    with_request_id,
};
use crate::endpoint::{GenerateCall, GenerationEvent, GenerationFailure, GenerationTask};
use crate::ids::{ModelName, Tokens};
use crate::telemetry::RequestClass;

/// Token limit of a completion for which the client sets no limit.
pub const DEFAULT_MAX_TOKENS: Tokens = 256;
/// Largest token limit that a client may set.
pub const LARGEST_MAX_TOKENS: Tokens = 32_768;

/// Prompt bytes per token, used to estimate the length of a prompt in tokens.
const BYTES_PER_TOKEN: u64 = 4;
/// Length of the prompt prefix whose hash is used for prefix-aware routing.
const PREFIX_BYTES: usize = 512;
/// Capacity of the channel between a generation and its request handler.
const EVENT_QUEUE_CAPACITY: usize = 64;
/// Interval between the keep-alive comments of an event stream.
const SSE_KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);

#[derive(Debug, Deserialize)]
struct ChatMessage {
    role: String,
    #[serde(default)]
    content: MessageContent,
}

#[derive(Debug, Default, Deserialize)]
#[serde(untagged)]
enum MessageContent {
    Text(String),
    Parts(Vec<ContentPart>),
    #[default]
    Nothing,
}

#[derive(Debug, Deserialize)]
struct ContentPart {
    #[serde(default)]
    text: String,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum TextPrompt {
    One(String),
    Several(Vec<String>),
}

#[derive(Debug, Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: String,
    #[serde(default)]
    messages: Option<Vec<ChatMessage>>,
    #[serde(default)]
    prompt: Option<TextPrompt>,
    #[serde(default)]
    max_tokens: Option<Tokens>,
    #[serde(default)]
    max_completion_tokens: Option<Tokens>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
    #[serde(default)]
    n: Option<u32>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CompletionKind {
    Chat,
    Text,
}

/// Validated completion request that is ready for admission.
#[derive(Debug)]
struct CompletionPlan {
    kind: CompletionKind,
    /// Model name as the client sent it, which the response repeats.
    name: ModelName,
    target: RouteTarget,
    call: GenerateCall,
    prompt_tokens: Tokens,
    stream: bool,
    include_usage: bool,
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Serialize)]
struct ModelEntry {
    id: ModelName,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

#[derive(Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: Vec<Choice<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Default, Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    finish_reason: Option<&'a str>,
    logprobs: Option<()>,
}

#[derive(Default, Serialize)]
struct Message<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Clone, Copy, Serialize)]
struct Usage {
    prompt_tokens: Tokens,
    completion_tokens: Tokens,
    total_tokens: Tokens,
}

/// Serves `GET /v1/models`, the list of model names that clients may request.
pub async fn serve_models(
    context: Arc<EdgeContext>,
    mut request: Request,
) -> poem::Result<Response> {
    let record = RequestRecord::new(&context, RequestClass::Model);
    let key = PresentedKey::take_from(&mut request);
    match authenticate(&context, &key, |_| false).await {
        Ok((client, snapshot)) => Ok(list_models(record, &client, &snapshot)),
        Err(refusal) => Ok(record.into_refusal_response(refusal)),
    }
}

fn list_models(
    mut record: RequestRecord,
    client: &AuthenticatedClient,
    snapshot: &HostSnapshot,
) -> Response {
    record.set_workspace(client.workspace.as_ref());
    let data = snapshot
        .configuration
        .addressable_names()
        .map(|name| ModelEntry {
            id: name.clone(),
            object: "model",
            created: 0,
            owned_by: "skylarkgw",
        })
        .collect();
    record.record_answered();
    let list = poem::web::Json(ModelList { object: "list", data });
    with_request_id(list.into_response(), &record.id)
}

/// Serves `POST /v1/chat/completions`.
pub async fn serve_chat_completion(
    context: Arc<EdgeContext>,
    request: Request,
) -> poem::Result<Response> {
    Ok(serve_completion(context, request, CompletionKind::Chat).await)
}

/// Serves `POST /v1/completions`.
pub async fn serve_text_completion(
    context: Arc<EdgeContext>,
    request: Request,
) -> poem::Result<Response> {
    Ok(serve_completion(context, request, CompletionKind::Text).await)
}

async fn serve_completion(
    context: Arc<EdgeContext>,
    mut request: Request,
    kind: CompletionKind,
) -> Response {
    let mut record = RequestRecord::new(&context, RequestClass::Model);
    match start_completion(&context, &mut request, kind, &mut record).await {
        Ok(started) => {
            let StartedCompletion { plan, key_monitor, events } = started;
            if plan.stream {
                respond_stream(record, plan, key_monitor, events).await
            } else {
                respond_whole(record, plan, key_monitor, events).await
            }
        }
        Err(refusal) => record.into_refusal_response(refusal),
    }
}

/// Completion whose generation task is running.
struct StartedCompletion {
    plan: CompletionPlan,
    key_monitor: KeyMonitor,
    events: mpsc::Receiver<GenerationEvent>,
}

/// Authenticates, validates and admits a completion, and spawns its generation.
async fn start_completion(
    context: &Arc<EdgeContext>,
    request: &mut Request,
    kind: CompletionKind,
    record: &mut RequestRecord,
) -> Result<StartedCompletion, EdgeRefusal> {
    let key = PresentedKey::take_from(request);
    let (client, _) = authenticate(context, &key, |_| false).await?;
    record.set_workspace(client.workspace.as_ref());
    record.acquire_permit(context)?;
    let body = read_body(context, request, &key).await?;
    // The key may have been withdrawn while the body was being received.
    let (client, snapshot) = authenticate(context, &key, |_| false).await?;
    drop(key);
    let plan = CompletionPlan::parse(&body, kind, &snapshot, record)?;
    let admission = AdmissionRequest {
        workspace: client.workspace.clone(),
        target: plan.target.clone(),
        tokens: plan.prompt_tokens + plan.call.max_tokens,
    };
    let admission = request_admission(context, admission).await?;
    let (sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let task = GenerationTask {
        control: context.control.clone(),
        engines: context.engines.clone(),
        metrics: context.metrics.clone(),
        call: plan.call.clone(),
        target: plan.target.clone(),
        admission,
        prompt_tokens: plan.prompt_tokens,
        generated: String::new(),
    };
    tokio::spawn(task.run(sender));
    let key_monitor = KeyMonitor { control: context.control.clone(), client };
    Ok(StartedCompletion { plan, key_monitor, events })
}

/// Detects the withdrawal of the key of a running generation.
struct KeyMonitor {
    control: ControlHandle,
    client: AuthenticatedClient,
}

impl KeyMonitor {
    /// Returns whether the response must be aborted: the key was withdrawn, and the
    /// workspace is configured to end running responses when that happens.
    fn must_end_response(&self) -> bool {
        let snapshot = self.control.snapshot();
        let hash = self.client.hash.as_deref();
        let cuts_streams = self
            .client
            .workspace
            .as_ref()
            .and_then(|name| snapshot.configuration.workspaces.get(name))
            .is_some_and(|workspace| workspace.cut_streams);
        cuts_streams && hash.is_some_and(|hash| snapshot.withdrawn.contains(hash))
    }
}

impl CompletionPlan {
    /// Parses and validates the JSON body of a completion request.
    fn parse(
        body: &[u8],
        kind: CompletionKind,
        snapshot: &HostSnapshot,
        record: &RequestRecord,
    ) -> Result<CompletionPlan, EdgeRefusal> {
        let body: CompletionBody = serde_json::from_slice(body)
            .map_err(|error| RefusalReason::BadBody(error.to_string()))?;
        if body.n.is_some_and(|n| n != 1) {
            return Err(RefusalReason::BadBody("n must be 1".to_owned()).into());
        }
        let prompt = body.build_prompt(kind)?;
        let model = snapshot
            .configuration
            .resolve_model(&body.model)
            .ok_or_else(|| RefusalReason::UnknownModel(body.model.chars().take(200).collect()))?;
        let max_tokens = body.max_completion_tokens.or(body.max_tokens);
        let max_tokens = max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if !(1..=LARGEST_MAX_TOKENS).contains(&max_tokens) {
            let problem = format!("max_tokens must be 1 to {LARGEST_MAX_TOKENS}");
            return Err(RefusalReason::BadBody(problem).into());
        }
        let prefix_length = prompt.len().min(PREFIX_BYTES);
        let prefix = blake3::hash(&prompt.as_bytes()[..prefix_length]);
        let prefix = prefix.as_bytes()[..8].try_into().map(u64::from_le_bytes).unwrap_or_default();
        Ok(CompletionPlan {
            kind,
            name: body.model.as_str().into(),
            target: RouteTarget::Model { model: model.clone(), prefix },
            prompt_tokens: prompt.len() as u64 / BYTES_PER_TOKEN + 1,
            call: GenerateCall {
                request: record.id.clone(),
                model: model.model,
                adapter: model.adapter,
                prompt: prompt.into(),
                max_tokens,
                offset: 0,
                generated: "".into(),
            },
            stream: body.stream.unwrap_or(false),
            include_usage: body.stream_options.is_some_and(|options| options.include_usage),
        })
    }

    /// Builds the response object that is common to whole responses and chunks.
    fn build_completion<'a>(
        &'a self,
        choices: Vec<Choice<'a>>,
        usage: Option<Usage>,
    ) -> Completion<'a> {
        let object = match (self.kind, self.stream) {
            (CompletionKind::Chat, true) => "chat.completion.chunk",
            (CompletionKind::Chat, false) => "chat.completion",
            (CompletionKind::Text, _) => "text_completion",
        };
        Completion {
            id: &self.call.request,
            object,
            created: unix_seconds(),
            model: &self.name,
            choices,
            usage,
        }
    }

    /// Builds one chunk of a streamed response, as JSON.
    fn build_chunk(&self, text: Option<&str>, first: bool, finish_reason: Option<&str>) -> String {
        let choice = match self.kind {
            CompletionKind::Chat => Choice {
                delta: Some(Message { role: first.then_some("assistant"), content: text }),
                finish_reason,
                ..Choice::default()
            },
            CompletionKind::Text => {
                Choice { text: Some(text.unwrap_or("")), finish_reason, ..Choice::default() }
            }
        };
        to_json(&self.build_completion(vec![choice], None))
    }

    /// Builds a whole response, as JSON.
    fn build_whole_body(&self, text: &str, finish_reason: &str, usage: Usage) -> String {
        let finish_reason = Some(finish_reason);
        let choice = match self.kind {
            CompletionKind::Chat => Choice {
                message: Some(Message { role: Some("assistant"), content: Some(text) }),
                finish_reason,
                ..Choice::default()
            },
            CompletionKind::Text => Choice { text: Some(text), finish_reason, ..Choice::default() },
        };
        to_json(&self.build_completion(vec![choice], Some(usage)))
    }
}

impl CompletionBody {
    /// Joins the chat messages, or takes the only prompt, into one text.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::BadBody`] if there is no message, or not exactly one prompt.
    fn build_prompt(&self, kind: CompletionKind) -> Result<String, EdgeRefusal> {
        let missing = |field: &str| RefusalReason::BadBody(format!("{field} must not be empty"));
        match kind {
            CompletionKind::Chat => {
                let messages = self.messages.as_deref().unwrap_or_default();
                if messages.is_empty() {
                    return Err(missing("messages").into());
                }
                Ok(messages.iter().map(ChatMessage::to_prompt).collect())
            }
            CompletionKind::Text => match &self.prompt {
                Some(TextPrompt::One(prompt)) => Ok(prompt.clone()),
                Some(TextPrompt::Several(prompts)) if prompts.len() == 1 => Ok(prompts[0].clone()),
                _ => Err(missing("prompt").into()),
            },
        }
    }
}

impl ChatMessage {
    /// Returns the message in the prompt format of the engines.
    fn to_prompt(&self) -> String {
        let content = match &self.content {
            MessageContent::Text(text) => text.clone(),
            MessageContent::Parts(parts) => parts.iter().map(|part| part.text.as_str()).collect(),
            MessageContent::Nothing => String::new(),
        };
        format!("<|{}|>{content}\n", self.role)
    }
}

/// Collects the whole generation before the response is sent to the client.
async fn respond_whole(
    mut record: RequestRecord,
    plan: CompletionPlan,
    key_monitor: KeyMonitor,
    mut events: mpsc::Receiver<GenerationEvent>,
) -> Response {
    let mut text = String::new();
    loop {
        match events.recv().await {
            Some(GenerationEvent::Token(token)) => {
                if text.is_empty() {
                    record.record_first_token();
                }
                text.push_str(&token);
                if key_monitor.must_end_response() {
                    return record.into_refusal_response(WITHDRAWN_KEY.into());
                }
            }
            Some(GenerationEvent::Finish { reason, prompt_tokens, generated_tokens }) => {
                record.record_answered();
                let usage = Usage::new(prompt_tokens, generated_tokens);
                let response = Response::builder()
                    .content_type("application/json")
                    .body(plan.build_whole_body(&text, &reason, usage));
                return with_request_id(response, &record.id);
            }
            Some(GenerationEvent::Failed(failure)) => {
                return record.into_refusal_response(RefusalReason::Generation(failure).into());
            }
            None => {
                let failure = GenerationFailure::Interrupted;
                return record.into_refusal_response(RefusalReason::Generation(failure).into());
            }
        }
    }
}

/// Refusal of a request whose key was withdrawn during the generation.
const WITHDRAWN_KEY: RefusalReason = RefusalReason::Key(crate::decision::keys::KeyRefusal::Invalid);

/// Streams the generation to the client as server-sent events.
///
/// The status is sent only after the first event, so that a request that no
/// engine accepts is refused with the status of its failure.
async fn respond_stream(
    record: RequestRecord,
    plan: CompletionPlan,
    key_monitor: KeyMonitor,
    mut events: mpsc::Receiver<GenerationEvent>,
) -> Response {
    let first = events.recv().await;
    if let Some(GenerationEvent::Failed(failure)) = first {
        return record.into_refusal_response(RefusalReason::Generation(failure).into());
    }
    let id = record.id.clone();
    let state =
        StreamState { record, plan, key_monitor, events, received: first, step: StreamStep::First };
    let response =
        SSE::new(build_event_stream(state)).keep_alive(SSE_KEEP_ALIVE_INTERVAL).into_response();
    with_request_id(response, &id)
}

/// Next step of a streamed response.
enum StreamStep {
    /// Send the first token.
    First,
    /// Send another token; holds the time of the previous one.
    Tokens { last_at: Instant },
    /// Send the token usage that the client has requested.
    Usage(Usage),
    /// Send the `[DONE]` marker.
    Done,
    /// End the response.
    Ended,
}

struct StreamState {
    record: RequestRecord,
    plan: CompletionPlan,
    key_monitor: KeyMonitor,
    events: mpsc::Receiver<GenerationEvent>,
    /// Event that was received before the response began and is still to be sent.
    received: Option<GenerationEvent>,
    step: StreamStep,
}

fn build_event_stream(state: StreamState) -> impl Stream<Item = Event> {
    futures::stream::unfold(state, |mut state| async move {
        let message = state.next_message().await?;
        Some((Event::message(message), state))
    })
}

impl StreamState {
    /// Returns the data of the next server-sent event, or `None` at the end.
    async fn next_message(&mut self) -> Option<String> {
        match self.step {
            StreamStep::First | StreamStep::Tokens { .. } => Some(self.next_token_message().await),
            StreamStep::Usage(usage) => {
                self.step = StreamStep::Done;
                Some(to_json(&self.plan.build_completion(Vec::new(), Some(usage))))
            }
            StreamStep::Done => {
                self.record.record_answered();
                self.step = StreamStep::Ended;
                Some("[DONE]".to_owned())
            }
            StreamStep::Ended => None,
        }
    }

    /// Waits for the next event of the generation and returns its message.
    async fn next_token_message(&mut self) -> String {
        let event = match self.received.take() {
            Some(event) => Some(event),
            None => self.events.recv().await,
        };
        if self.key_monitor.must_end_response() {
            return self.fail(WITHDRAWN_KEY.into());
        }
        match event {
            Some(GenerationEvent::Token(text)) => {
                let first = matches!(self.step, StreamStep::First);
                match self.step {
                    StreamStep::Tokens { last_at } => {
                        self.record.record_token_gap(last_at.elapsed())
                    }
                    _ => self.record.record_first_token(),
                }
                self.step = StreamStep::Tokens { last_at: Instant::now() };
                self.plan.build_chunk(Some(&text), first, None)
            }
            Some(GenerationEvent::Finish { reason, prompt_tokens, generated_tokens }) => {
                self.step = if self.plan.include_usage {
                    StreamStep::Usage(Usage::new(prompt_tokens, generated_tokens))
                } else {
                    StreamStep::Done
                };
                self.plan.build_chunk(None, false, Some(&reason))
            }
            Some(GenerationEvent::Failed(failure)) => {
                self.fail(RefusalReason::Generation(failure).into())
            }
            None => self.fail(RefusalReason::Generation(GenerationFailure::Interrupted).into()),
        }
    }

    /// Ends the stream and returns the error message that replaces `[DONE]`.
    fn fail(&mut self, refusal: EdgeRefusal) -> String {
        self.record.record_refusal(&refusal);
        self.step = StreamStep::Ended;
        self.events.close();
        refusal.to_json()
    }
}

impl Usage {
    fn new(prompt_tokens: Tokens, completion_tokens: Tokens) -> Usage {
        Usage { prompt_tokens, completion_tokens, total_tokens: prompt_tokens + completion_tokens }
    }
}

fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_secs())
}
