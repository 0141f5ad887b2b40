//! Chat and text completions, plain and streamed.

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
use crate::edge::answer::{EdgeRefusal, RefusalReason};
use crate::edge::request::{
    CheckedCaller, PresentedKey, RequestRecord, admit, check_caller, read_body, with_request_id,
};
use crate::endpoint::{GenerateCall, GenerationEvent, GenerationFailure, GenerationTask};
use crate::ids::{ModelName, Tokens};
use crate::telemetry::RequestClass;

/// Tokens generated at most when the caller names no limit.
pub const DEFAULT_MAX_TOKENS: Tokens = 256;
/// Largest limit that a caller may name, in tokens.
pub const LARGEST_MAX_TOKENS: Tokens = 32_768;

const BYTES_PER_TOKEN: u64 = 4;
const PREFIX_BYTES: usize = 512;
const EVENT_QUEUE: usize = 64;
const SSE_KEEP_ALIVE: Duration = Duration::from_secs(10);

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

/// A completion that is checked and ready to be admitted.
#[derive(Debug)]
struct CompletionPlan {
    kind: CompletionKind,
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

/// Lists the names that callers may use.
pub async fn models(context: Arc<EdgeContext>, mut request: Request) -> poem::Result<Response> {
    let record = RequestRecord::new(&context, RequestClass::Model);
    let key = PresentedKey::take(&mut request);
    match check_caller(&context, &key, |_| false).await {
        Ok((caller, snapshot)) => Ok(list_models(record, &caller, &snapshot)),
        Err(refusal) => Ok(record.refuse(refusal)),
    }
}

fn list_models(
    mut record: RequestRecord,
    caller: &CheckedCaller,
    snapshot: &HostSnapshot,
) -> Response {
    record.set_workspace(caller.workspace.as_ref());
    let data = snapshot
        .configuration
        .addressable()
        .map(|name| ModelEntry {
            id: name.clone(),
            object: "model",
            created: 0,
            owned_by: "skylarkgw",
        })
        .collect();
    record.answered();
    let list = poem::web::Json(ModelList { object: "list", data });
    with_request_id(list.into_response(), &record.id)
}

/// Serves `POST /v1/chat/completions`.
pub async fn chat_completion(
    context: Arc<EdgeContext>,
    request: Request,
) -> poem::Result<Response> {
    Ok(complete(context, request, CompletionKind::Chat).await)
}

/// Serves `POST /v1/completions`.
pub async fn text_completion(
    context: Arc<EdgeContext>,
    request: Request,
) -> poem::Result<Response> {
    Ok(complete(context, request, CompletionKind::Text).await)
}

async fn complete(
    context: Arc<EdgeContext>,
    mut request: Request,
    kind: CompletionKind,
) -> Response {
    let mut record = RequestRecord::new(&context, RequestClass::Model);
    match start(&context, &mut request, kind, &mut record).await {
        Ok(started) => {
            let StartedCompletion { plan, watch, events } = started;
            if plan.stream {
                stream_answer(record, plan, watch, events).await
            } else {
                whole_answer(record, plan, watch, events).await
            }
        }
        Err(refusal) => record.refuse(refusal),
    }
}

struct StartedCompletion {
    plan: CompletionPlan,
    watch: KeyWatch,
    events: mpsc::Receiver<GenerationEvent>,
}

async fn start(
    context: &Arc<EdgeContext>,
    request: &mut Request,
    kind: CompletionKind,
    record: &mut RequestRecord,
) -> Result<StartedCompletion, EdgeRefusal> {
    let key = PresentedKey::take(request);
    let (caller, _) = check_caller(context, &key, |_| false).await?;
    record.set_workspace(caller.workspace.as_ref());
    record.take_permit(context)?;
    let body = read_body(context, request, &key).await?;
    // The key may have been withdrawn while the body was on its way.
    let (caller, snapshot) = check_caller(context, &key, |_| false).await?;
    drop(key);
    let plan = CompletionPlan::parse(&body, kind, &snapshot, record)?;
    let admission = AdmissionRequest {
        workspace: caller.workspace.clone(),
        target: plan.target.clone(),
        tokens: plan.prompt_tokens + plan.call.max_tokens,
    };
    let admission = admit(context, admission).await?;
    let (sender, events) = mpsc::channel(EVENT_QUEUE);
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
    let watch = KeyWatch { control: context.control.clone(), caller };
    Ok(StartedCompletion { plan, watch, events })
}

/// Tells whether a running stream's key was withdrawn.
struct KeyWatch {
    control: ControlHandle,
    caller: CheckedCaller,
}

impl KeyWatch {
    fn cut(&self) -> bool {
        let snapshot = self.control.snapshot();
        let hash = self.caller.hash.as_deref();
        let cuts = self
            .caller
            .workspace
            .as_ref()
            .and_then(|name| snapshot.configuration.workspaces.get(name))
            .is_some_and(|workspace| workspace.cut_streams);
        cuts && hash.is_some_and(|hash| snapshot.withdrawn.contains(hash))
    }
}

impl CompletionPlan {
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
        let prompt = body.prompt(kind)?;
        let model = snapshot
            .configuration
            .resolve(&body.model)
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

    fn completion<'a>(&'a self, choices: Vec<Choice<'a>>, usage: Option<Usage>) -> Completion<'a> {
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

    fn chunk(&self, text: Option<&str>, first: bool, finish_reason: Option<&str>) -> String {
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
        to_json(&self.completion(vec![choice], None))
    }

    fn whole(&self, text: &str, finish_reason: &str, usage: Usage) -> String {
        let finish_reason = Some(finish_reason);
        let choice = match self.kind {
            CompletionKind::Chat => Choice {
                message: Some(Message { role: Some("assistant"), content: Some(text) }),
                finish_reason,
                ..Choice::default()
            },
            CompletionKind::Text => Choice { text: Some(text), finish_reason, ..Choice::default() },
        };
        to_json(&self.completion(vec![choice], Some(usage)))
    }
}

impl CompletionBody {
    fn prompt(&self, kind: CompletionKind) -> Result<String, EdgeRefusal> {
        let missing = |field: &str| RefusalReason::BadBody(format!("{field} must not be empty"));
        match kind {
            CompletionKind::Chat => {
                let messages = self.messages.as_deref().unwrap_or_default();
                if messages.is_empty() {
                    return Err(missing("messages").into());
                }
                Ok(messages.iter().map(ChatMessage::flatten).collect())
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
    fn flatten(&self) -> String {
        let content = match &self.content {
            MessageContent::Text(text) => text.clone(),
            MessageContent::Parts(parts) => parts.iter().map(|part| part.text.as_str()).collect(),
            MessageContent::Nothing => String::new(),
        };
        format!("<|{}|>{content}\n", self.role)
    }
}

/// Collects a whole answer before anything is sent to the caller.
async fn whole_answer(
    mut record: RequestRecord,
    plan: CompletionPlan,
    watch: KeyWatch,
    mut events: mpsc::Receiver<GenerationEvent>,
) -> Response {
    let mut text = String::new();
    loop {
        match events.recv().await {
            Some(GenerationEvent::Token(token)) => {
                if text.is_empty() {
                    record.first_token();
                }
                text.push_str(&token);
                if watch.cut() {
                    return record.refuse(KEY_CUT.into());
                }
            }
            Some(GenerationEvent::Finish { reason, prompt_tokens, generated_tokens }) => {
                record.answered();
                let usage = Usage::new(prompt_tokens, generated_tokens);
                let response = Response::builder()
                    .content_type("application/json")
                    .body(plan.whole(&text, &reason, usage));
                return with_request_id(response, &record.id);
            }
            Some(GenerationEvent::Failed(failure)) => {
                return record.refuse(RefusalReason::Generation(failure).into());
            }
            None => {
                let failure = GenerationFailure::Interrupted;
                return record.refuse(RefusalReason::Generation(failure).into());
            }
        }
    }
}

const KEY_CUT: RefusalReason = RefusalReason::Key(crate::decision::keys::KeyRefusal::Invalid);

/// Streams an answer; the status waits for the first event, so that a request
/// that no engine takes is refused with the right one.
async fn stream_answer(
    record: RequestRecord,
    plan: CompletionPlan,
    watch: KeyWatch,
    mut events: mpsc::Receiver<GenerationEvent>,
) -> Response {
    let first = events.recv().await;
    if let Some(GenerationEvent::Failed(failure)) = first {
        return record.refuse(RefusalReason::Generation(failure).into());
    }
    let id = record.id.clone();
    let state = StreamState { record, plan, watch, events, next: first, step: StreamStep::First };
    let response = SSE::new(event_stream(state)).keep_alive(SSE_KEEP_ALIVE).into_response();
    with_request_id(response, &id)
}

enum StreamStep {
    First,
    Tokens { last: Instant },
    Usage(Usage),
    Done,
    Ended,
}

struct StreamState {
    record: RequestRecord,
    plan: CompletionPlan,
    watch: KeyWatch,
    events: mpsc::Receiver<GenerationEvent>,
    next: Option<GenerationEvent>,
    step: StreamStep,
}

fn event_stream(state: StreamState) -> impl Stream<Item = Event> {
    futures::stream::unfold(state, |mut state| async move {
        let message = state.next_message().await?;
        Some((Event::message(message), state))
    })
}

impl StreamState {
    async fn next_message(&mut self) -> Option<String> {
        match self.step {
            StreamStep::First | StreamStep::Tokens { .. } => Some(self.token_message().await),
            StreamStep::Usage(usage) => {
                self.step = StreamStep::Done;
                Some(to_json(&self.plan.completion(Vec::new(), Some(usage))))
            }
            StreamStep::Done => {
                self.record.answered();
                self.step = StreamStep::Ended;
                Some("[DONE]".to_owned())
            }
            StreamStep::Ended => None,
        }
    }

    async fn token_message(&mut self) -> String {
        let event = match self.next.take() {
            Some(event) => Some(event),
            None => self.events.recv().await,
        };
        if self.watch.cut() {
            return self.fail(KEY_CUT.into());
        }
        match event {
            Some(GenerationEvent::Token(text)) => {
                let first = matches!(self.step, StreamStep::First);
                match self.step {
                    StreamStep::Tokens { last } => self.record.token_gap(last.elapsed()),
                    _ => self.record.first_token(),
                }
                self.step = StreamStep::Tokens { last: Instant::now() };
                self.plan.chunk(Some(&text), first, None)
            }
            Some(GenerationEvent::Finish { reason, prompt_tokens, generated_tokens }) => {
                self.step = if self.plan.include_usage {
                    StreamStep::Usage(Usage::new(prompt_tokens, generated_tokens))
                } else {
                    StreamStep::Done
                };
                self.plan.chunk(None, false, Some(&reason))
            }
            Some(GenerationEvent::Failed(failure)) => {
                self.fail(RefusalReason::Generation(failure).into())
            }
            None => self.fail(RefusalReason::Generation(GenerationFailure::Interrupted).into()),
        }
    }

    /// Ends the stream with an error in place of `[DONE]`.
    fn fail(&mut self, refusal: EdgeRefusal) -> String {
        self.record.refused(&refusal);
        self.step = StreamStep::Ended;
        self.events.close();
        refusal.body()
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
