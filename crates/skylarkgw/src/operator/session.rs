//! Carries out statements: queries, changes and the wait for their effect.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use miette::Diagnostic;
use thiserror::Error;
use tokio::time::sleep;

use crate::configuration::FleetConfiguration;
use crate::decision::keys::KeyHasher;
use crate::decision::membership::{MemberEntry, MemberPhase};
use crate::decision::shares::{LEDGER_OBJECT, ShareLedger};
use crate::ids::{KeyHash, Revision};
use crate::operator::acceptance::{AcceptanceError, ChangeRequest, accept_change, read_head};
use crate::operator::command::{OrderMode, apply_key, apply_leaving, apply_next, apply_order};
use crate::operator::facts::FactBase;
use crate::operator::keys::issue_key;
use crate::operator::language::{
    FactSource, LanguageError, PlacedText, ShowQuery, SourcedStatement, Statement,
};
use crate::operator::settings::OperatorSettings;
use crate::operator_api::{HostStatus, WithdrawOrder};
use crate::platform::{PlatformClient, PlatformError};
use crate::telemetry::Metrics;

const STATUS_TIMEOUT: Duration = Duration::from_millis(1_500);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How a statement ended.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Verdict {
    /// It is answered, or in force on every live host.
    Done,
    /// It was refused and nothing has changed.
    Refused,
    /// It is accepted but not in force everywhere.
    NotDone,
    /// It is not known whether it was accepted.
    Unknown,
}

impl Verdict {
    /// Returns the exit code of the client.
    pub fn exit_code(self) -> u8 {
        match self {
            Verdict::Done => 0,
            Verdict::Refused => 3,
            Verdict::NotDone => 4,
            Verdict::Unknown => 5,
        }
    }
}

/// What a statement brought.
#[derive(Clone, Debug)]
pub struct StatementAnswer {
    /// Text for the operator.
    pub text: String,
    /// How it ended.
    pub verdict: Verdict,
}

/// Why a statement could not be carried out.
#[derive(Debug, Diagnostic, Error)]
pub enum SessionError {
    /// A name or setting in the statement does not fit.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Language(#[from] LanguageError),
    /// The change was not accepted.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Acceptance(#[from] AcceptanceError),
    /// The platform gave no usable answer.
    #[error("the platform gave no usable answer")]
    Platform(#[from] PlatformError),
    /// No host answered.
    #[error("none of the hosts in the settings answered")]
    #[diagnostic(help("check the addresses under 'hosts'"))]
    NoHost,
    /// The system gave no randomness for a key.
    #[error("no key can be drawn")]
    Randomness(#[from] rand::rand_core::OsError),
    /// The metrics clash, which is a defect.
    #[error("the metrics cannot be registered")]
    Metrics(#[from] prometheus::Error),
    /// A client cannot be built.
    #[error("the HTTP client cannot be built")]
    Client(#[from] reqwest::Error),
}

impl SessionError {
    /// Returns how the statement ended.
    pub fn verdict(&self) -> Verdict {
        match self {
            SessionError::Acceptance(AcceptanceError::InDoubt) => Verdict::Unknown,
            _ => Verdict::Refused,
        }
    }
}

/// One operator's connection to platform and hosts.
#[derive(Debug)]
pub struct OperatorSession {
    settings: OperatorSettings,
    hasher: KeyHasher,
    token: Option<Arc<str>>,
    platform: PlatformClient,
    http: reqwest::Client,
    change: Option<Arc<str>>,
    dry_run: bool,
}

impl OperatorSession {
    /// Creates a session.
    ///
    /// `change` names the change, so that a second try of it is recognised.
    ///
    /// # Errors
    ///
    /// [`SessionError`] if a client cannot be built.
    pub fn new(
        settings: OperatorSettings,
        key_secret: &str,
        token: Option<Arc<str>>,
        change: Option<Arc<str>>,
        dry_run: bool,
    ) -> Result<OperatorSession, SessionError> {
        let metrics = Arc::new(Metrics::new()?);
        let http = reqwest::Client::builder().no_proxy().timeout(STATUS_TIMEOUT).build()?;
        Ok(OperatorSession {
            platform: PlatformClient::new(&settings.platform, metrics)?,
            hasher: KeyHasher::new(key_secret),
            settings,
            token,
            http,
            change,
            dry_run,
        })
    }

    /// Carries out one statement.
    ///
    /// # Errors
    ///
    /// [`SessionError`] if it was refused or its outcome is not known.
    pub async fn execute(
        &self,
        sourced: &SourcedStatement,
    ) -> Result<StatementAnswer, SessionError> {
        let text = &*sourced.source;
        match &sourced.statement {
            Statement::Show(query) => self.show(query).await,
            Statement::ExplainModel(name) => self.explain_model(name).await,
            Statement::ExplainEndpoint(name) => self.explain_endpoint(name).await,
            Statement::Declare(order) => {
                let apply = |next: &mut _| apply_order(next, OrderMode::Declare, order);
                self.change(text, apply).await
            }
            Statement::Change(order) => {
                let apply = |next: &mut _| apply_order(next, OrderMode::Change, order);
                self.change(text, apply).await
            }
            Statement::Remove(order) => {
                let apply = |next: &mut _| apply_order(next, OrderMode::Remove, order);
                self.change(text, apply).await
            }
            Statement::Rollout { model, version } => {
                let apply = |next: &mut _| apply_next(next, model, Some(version));
                let answer = self.change(text, apply).await?;
                if self.dry_run || answer.verdict != Verdict::Done {
                    return Ok(answer);
                }
                self.wait_rollout(model, version).await
            }
            Statement::Rollback(model) => {
                self.change(text, |next| apply_next(next, model, None)).await
            }
            Statement::Drain(name) => {
                self.change(text, |next| apply_leaving(next, name, true)).await
            }
            Statement::Restore(name) => {
                self.change(text, |next| apply_leaving(next, name, false)).await
            }
            Statement::IssueKey(workspace) => self.issue(text, workspace).await,
            Statement::WithdrawKey(key) => self.withdraw(text, key).await,
            Statement::Wait(revision) => {
                let number = revision.text.parse::<Revision>();
                let number = number
                    .map_err(|_| LanguageError::at(&revision.span, "the number of a revision"))?;
                self.wait(number, "revision").await
            }
        }
    }

    async fn show(&self, query: &ShowQuery) -> Result<StatementAnswer, SessionError> {
        let facts = self.read_facts().await?;
        let table = match query.source {
            FactSource::Accepted => facts.accepted(query.kind),
            FactSource::Now => facts.now(query.kind),
            FactSource::Difference => facts.difference(query.kind),
        };
        let table = table.select(query)?;
        Ok(done(table.render(query.format)))
    }

    async fn explain_model(&self, name: &PlacedText) -> Result<StatementAnswer, SessionError> {
        let facts = self.read_facts().await?;
        let configuration = &facts.head.configuration;
        let Some(resolved) = configuration.resolve_model(&name.text) else {
            return Err(LanguageError::at(&name.span, "a declared model or adapter").into());
        };
        let mut lines = Vec::new();
        if let Some(adapter) = &resolved.adapter {
            lines.push(format!("{adapter} is an adapter on {}", resolved.model));
        }
        let views = facts.statuses.first().map(|status| status.endpoints.as_slice());
        for view in views.unwrap_or_default() {
            let leaving =
                configuration.endpoints.get(&view.endpoint).is_some_and(|spec| spec.leaving);
            let serves = view.models.iter().any(|(model, _)| *model == resolved.model);
            let reason = match (serves, leaving, view.reachable) {
                (false, _, _) => "does not report the model",
                (true, true, _) => "serves it but is drained: no new work",
                (true, false, false) => "serves it but is not reachable: last choice",
                (true, false, true) => "serves it and takes new work",
            };
            lines.push(format!("{}: {reason}", view.endpoint));
        }
        Ok(done(lines.join("\n")))
    }

    async fn explain_endpoint(&self, name: &PlacedText) -> Result<StatementAnswer, SessionError> {
        let facts = self.read_facts().await?;
        let Some(spec) = facts.head.configuration.endpoints.get(&name.text) else {
            return Err(LanguageError::at(&name.span, "the name of a declared endpoint").into());
        };
        let leaving = if spec.leaving { "drained: no new work" } else { "takes new work" };
        let mut lines = vec![format!("{} at {}: {leaving}", name.text, spec.address)];
        for status in &facts.statuses {
            let view = status.endpoints.iter().find(|view| view.endpoint == name.text);
            if let Some(view) = view {
                let reachable = if view.reachable { "reachable" } else { "not reachable" };
                let (host, requests, own) = (&status.host, view.requests, view.in_flight);
                lines.push(format!(
                    "seen from {host}: {reachable}, {requests} requests reported, {own} of its own"
                ));
            }
        }
        Ok(done(lines.join("\n")))
    }

    async fn issue(
        &self,
        text: &str,
        workspace: &PlacedText,
    ) -> Result<StatementAnswer, SessionError> {
        let issued = issue_key(&self.hasher)?;
        let hash = issued.hash.clone();
        let mut answer = self.change(text, |next| apply_key(next, workspace, hash.clone())).await?;
        if !self.dry_run {
            answer.text = format!("key {}\nhash {}\n{}", issued.key, issued.hash, answer.text);
        }
        Ok(answer)
    }

    /// Withdraws a key at the hosts first, which needs no platform, and then
    /// in the configuration.
    async fn withdraw(
        &self,
        text: &str,
        key: &PlacedText,
    ) -> Result<StatementAnswer, SessionError> {
        let hash: KeyHash = if key.text.starts_with("sk-") {
            self.hasher.hash(&key.text)
        } else {
            key.text.clone()
        };
        // The history keeps the hash: a key given in clear stays out of it.
        let summary = text.replace(&*key.text, &hash);
        if self.dry_run {
            return Ok(done(format!("key {hash} would be withdrawn")));
        }
        let reached = self.withdraw_at_hosts(&hash).await;
        let change = self.change(&summary, |next| {
            next.keys.remove(&hash);
            Ok(())
        });
        match change.await {
            Ok(answer) => Ok(answer),
            Err(error) if reached > 0 => {
                let text = format!(
                    "{reached} hosts refuse the key and pass that on, but the platform has not \
                     stored it: if they all end first, the key is accepted again. Run it again \
                     when the platform is back ({error})"
                );
                Ok(StatementAnswer { text, verdict: Verdict::NotDone })
            }
            Err(error) => Err(error),
        }
    }

    async fn withdraw_at_hosts(&self, hash: &KeyHash) -> usize {
        let order = WithdrawOrder { hashes: vec![hash.clone()] };
        let calls = self.settings.hosts.iter().map(|host| {
            let mut request = self.http.post(format!("http://{host}/v1/withdraw")).json(&order);
            if let Some(token) = &self.token {
                request = request.bearer_auth(token);
            }
            async move { request.send().await.is_ok_and(|answer| answer.status().is_success()) }
        });
        join_all(calls).await.into_iter().filter(|reached| *reached).count()
    }

    async fn change(
        &self,
        text: &str,
        apply: impl Fn(&mut FleetConfiguration) -> Result<(), LanguageError>,
    ) -> Result<StatementAnswer, SessionError> {
        let (_, head) = read_head(&self.platform).await?;
        if let Some(id) = &self.change
            && let Some(record) = head.history.iter().find(|record| record.id == *id)
        {
            return self.wait(record.revision, "the change was accepted before").await;
        }
        let mut next = FleetConfiguration::clone(&head.configuration);
        apply(&mut next)?;
        next.check().map_err(AcceptanceError::Refused)?;
        if self.dry_run {
            return Ok(done(describe_difference(&head.configuration, &next)));
        }
        let request = ChangeRequest {
            id: self.change.clone().unwrap_or_else(random_change),
            author: self.settings.author.clone(),
            summary: text.trim().into(),
        };
        let based_on = head.configuration.revision;
        let accepted = accept_change(&self.platform, &request, based_on, |configuration| {
            let revision = configuration.revision;
            configuration.clone_from(&next);
            configuration.revision = revision;
        });
        let accepted = accepted.await?;
        let what =
            if accepted.already_accepted { "the change was accepted before" } else { "accepted" };
        self.wait(accepted.revision, what).await
    }

    /// Waits until every live host has a revision in force.
    async fn wait(&self, revision: Revision, what: &str) -> Result<StatementAnswer, SessionError> {
        let started = Instant::now();
        loop {
            let members = self.read_members().await;
            let behind: Vec<&MemberEntry> =
                members.iter().filter(|entry| entry.revision < revision).collect();
            if !members.is_empty() && behind.is_empty() {
                let hosts = members.len();
                let text = format!("{what}: revision {revision} is in force on all {hosts} hosts");
                return Ok(done(text));
            }
            if started.elapsed() > self.settings.wait() {
                return Ok(not_done(revision, &members, &behind));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a rolled out version is switched to on every live host.
    async fn wait_rollout(
        &self,
        model: &PlacedText,
        version: &PlacedText,
    ) -> Result<StatementAnswer, SessionError> {
        let started = Instant::now();
        loop {
            let (_, head) = read_head(&self.platform).await?;
            let spec = head.configuration.models.get(&model.text);
            let switched = spec.is_some_and(|spec| spec.version == version.text);
            if switched {
                let what = format!("model {} serves version {}", model.text, version.text);
                return self.wait(head.configuration.revision, &what).await;
            }
            if started.elapsed() > self.settings.wait() {
                let text = format!(
                    "not done: version {} of model {} is being loaded beside the one in force; \
                     'show difference models' tells where it stands",
                    version.text, model.text
                );
                return Ok(StatementAnswer { text, verdict: Verdict::NotDone });
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the members that take or may take requests, by all hosts that
    /// answer; the newest word on each host counts.
    async fn read_members(&self) -> Vec<MemberEntry> {
        let mut members: Vec<MemberEntry> = Vec::new();
        for entry in self.read_statuses().await.into_iter().flat_map(|status| status.members) {
            match members.iter_mut().find(|known| known.host == entry.host) {
                Some(known) => {
                    let newer = (entry.incarnation, entry.counter, entry.revision)
                        > (known.incarnation, known.counter, known.revision);
                    if newer {
                        *known = entry;
                    }
                }
                None => members.push(entry),
            }
        }
        members.retain(|entry| entry.phase != MemberPhase::Left);
        members
    }

    async fn read_statuses(&self) -> Vec<HostStatus> {
        let calls = self.settings.hosts.iter().map(|host| async move {
            let answer = self.http.get(format!("http://{host}/v1/status")).send().await.ok()?;
            answer.json::<HostStatus>().await.ok()
        });
        join_all(calls).await.into_iter().flatten().collect()
    }

    async fn read_facts(&self) -> Result<FactBase, SessionError> {
        let (_, head) = read_head(&self.platform).await?;
        let ledger = match self.platform.read(LEDGER_OBJECT).await? {
            Some(object) => serde_json::from_str(&object.value).map_err(PlatformError::Garbage)?,
            None => ShareLedger::default(),
        };
        Ok(FactBase { head, statuses: self.read_statuses().await, ledger })
    }
}

fn done(text: String) -> StatementAnswer {
    StatementAnswer { text, verdict: Verdict::Done }
}

fn not_done(
    revision: Revision,
    members: &[MemberEntry],
    behind: &[&MemberEntry],
) -> StatementAnswer {
    let text = if members.is_empty() {
        format!("not done: revision {revision} is accepted, but no host answered")
    } else {
        let names: Vec<String> = behind
            .iter()
            .map(|entry| format!("{} ({}, at {})", entry.host, entry.data_centre, entry.revision))
            .collect();
        format!(
            "not done: revision {revision} is accepted, but not confirmed by {}",
            names.join(", ")
        )
    };
    StatementAnswer { text, verdict: Verdict::NotDone }
}

fn random_change() -> Arc<str> {
    format!("change-{:016x}", rand::random::<u64>()).into()
}

/// Says in a line an object what a change would do.
fn describe_difference(before: &FleetConfiguration, after: &FleetConfiguration) -> String {
    let mut lines = Vec::new();
    describe_section(&mut lines, "model", &before.models, &after.models);
    describe_section(&mut lines, "adapter", &before.adapters, &after.adapters);
    describe_section(&mut lines, "workspace", &before.workspaces, &after.workspaces);
    describe_section(&mut lines, "key", &before.keys, &after.keys);
    describe_section(&mut lines, "endpoint", &before.endpoints, &after.endpoints);
    describe_section(&mut lines, "route", &before.routes, &after.routes);
    if lines.is_empty() {
        return "nothing would change".to_owned();
    }
    lines.join("\n")
}

fn describe_section<T: Eq + serde::Serialize>(
    lines: &mut Vec<String>,
    kind: &str,
    before: &std::collections::BTreeMap<Arc<str>, T>,
    after: &std::collections::BTreeMap<Arc<str>, T>,
) {
    let written = |spec: &T| serde_json::to_string(spec).unwrap_or_default();
    for (name, spec) in after {
        match before.get(name) {
            None => lines.push(format!("+ {kind} {name} {}", written(spec))),
            Some(old) if old != spec => {
                lines.push(format!("~ {kind} {name} {} -> {}", written(old), written(spec)));
            }
            Some(_) => {}
        }
    }
    let gone = before.keys().filter(|name| !after.contains_key(*name));
    lines.extend(gone.map(|name| format!("- {kind} {name}")));
}
