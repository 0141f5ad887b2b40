//! Execution of statements: queries, changes, and waiting until a change is in
//! force.

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
use crate::operator::command::{
    CommandMode, add_key, apply_command, set_leaving, set_next_version,
};
use crate::operator::keys::issue_key;
use crate::operator::language::{
    LanguageError, QuerySource, ShowQuery, SourcedStatement, SpannedText, Statement,
};
use crate::operator::query::QueryData;
use crate::operator::settings::OperatorSettings;
use crate::operator_api::{HostStatus, WithdrawalRequest};
use crate::platform::{PlatformClient, PlatformError};
use crate::telemetry::Metrics;

/// Timeout of a request to a host.
const HOST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval between two checks of whether a change or rollout is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The outcome of a statement.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum StatementOutcome {
    /// The query was answered, or the change is in force on every live host.
    Completed,
    /// The statement was refused and nothing has changed.
    Refused,
    /// The change is not complete: it is not yet in force, or not yet stored.
    Incomplete,
    /// It is unknown whether the change was accepted.
    Unknown,
}

impl StatementOutcome {
    /// Returns the exit code of the client for this outcome.
    pub fn exit_code(self) -> u8 {
        match self {
            StatementOutcome::Completed => 0,
            StatementOutcome::Refused => 3,
            StatementOutcome::Incomplete => 4,
            StatementOutcome::Unknown => 5,
        }
    }
}

/// The output of an executed statement.
#[derive(Clone, Debug)]
pub struct StatementOutput {
    /// Text for the operator.
    pub text: String,
    /// Outcome of the statement.
    pub outcome: StatementOutcome,
}

/// An error in executing a statement.
#[derive(Debug, Diagnostic, Error)]
pub enum SessionError {
    /// A name or setting in the statement is invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Language(#[from] LanguageError),
    /// The change was not accepted.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Acceptance(#[from] AcceptanceError),
    /// The platform did not return a usable response.
    #[error("the platform returned no usable answer")]
    Platform(#[from] PlatformError),
    /// None of the configured hosts responded.
    #[error("none of the hosts in the settings answered")]
    #[diagnostic(help("check the addresses under 'hosts'"))]
    NoHost,
    /// The operating system provided no random bytes for a key.
    #[error("cannot generate the key")]
    Randomness(#[from] rand::rand_core::OsError),
    /// Two metrics have the same name, which is a defect.
    #[error("cannot register the metrics")]
    Metrics(#[from] prometheus::Error),
    /// The HTTP client cannot be built.
    #[error("cannot build the HTTP client")]
    Client(#[from] reqwest::Error),
}

impl SessionError {
    /// Returns the outcome of the statement that failed with this error.
    pub fn outcome(&self) -> StatementOutcome {
        match self {
            SessionError::Acceptance(AcceptanceError::OutcomeUnknown) => StatementOutcome::Unknown,
            _ => StatementOutcome::Refused,
        }
    }
}

/// A session of an operator with the platform and the hosts.
#[derive(Debug)]
pub struct OperatorSession {
    settings: OperatorSettings,
    hasher: KeyHasher,
    token: Option<Arc<str>>,
    platform: PlatformClient,
    http: reqwest::Client,
    change_id: Option<Arc<str>>,
    dry_run: bool,
}

impl OperatorSession {
    /// Creates a session.
    ///
    /// `change_id` identifies the change, so that a retry with the same identifier is
    /// not applied twice. With `dry_run`, changes are described but not made.
    ///
    /// # Errors
    ///
    /// Returns [`SessionError`] if a client cannot be built.
    pub fn new(
        settings: OperatorSettings,
        key_secret: &str,
        token: Option<Arc<str>>,
        change_id: Option<Arc<str>>,
        dry_run: bool,
    ) -> Result<OperatorSession, SessionError> {
        let metrics = Arc::new(Metrics::new()?);
        let http = reqwest::Client::builder().no_proxy().timeout(HOST_TIMEOUT).build()?;
        Ok(OperatorSession {
            platform: PlatformClient::new(&settings.platform, metrics)?,
            hasher: KeyHasher::new(key_secret),
            settings,
            token,
            http,
            change_id,
            dry_run,
        })
    }

    /// Executes a statement.
    ///
    /// # Errors
    ///
    /// Returns [`SessionError`] if the statement was refused or its outcome is
    /// unknown. [`SessionError::outcome`] distinguishes the two.
    pub async fn execute(
        &self,
        sourced: &SourcedStatement,
    ) -> Result<StatementOutput, SessionError> {
        let text = &*sourced.source;
        match &sourced.statement {
            Statement::Show(query) => self.show(query).await,
            Statement::ExplainModel(name) => self.explain_model(name).await,
            Statement::ExplainEndpoint(name) => self.explain_endpoint(name).await,
            Statement::Declare(command) => {
                let apply = |next: &mut _| apply_command(next, CommandMode::Declare, command);
                self.submit_change(text, apply).await
            }
            Statement::Change(command) => {
                let apply = |next: &mut _| apply_command(next, CommandMode::Change, command);
                self.submit_change(text, apply).await
            }
            Statement::Remove(command) => {
                let apply = |next: &mut _| apply_command(next, CommandMode::Remove, command);
                self.submit_change(text, apply).await
            }
            Statement::Rollout { model, version } => {
                let apply = |next: &mut _| set_next_version(next, model, Some(version));
                let output = self.submit_change(text, apply).await?;
                if self.dry_run || output.outcome != StatementOutcome::Completed {
                    return Ok(output);
                }
                self.wait_for_rollout(model, version).await
            }
            Statement::Rollback(model) => {
                self.submit_change(text, |next| set_next_version(next, model, None)).await
            }
            Statement::Drain(name) => {
                self.submit_change(text, |next| set_leaving(next, name, true)).await
            }
            Statement::Restore(name) => {
                self.submit_change(text, |next| set_leaving(next, name, false)).await
            }
            Statement::IssueKey(workspace) => self.issue_workspace_key(text, workspace).await,
            Statement::WithdrawKey(key) => self.withdraw_key(text, key).await,
            Statement::Wait(revision) => {
                let number = revision.text.parse::<Revision>();
                let number = number
                    .map_err(|_| LanguageError::at(&revision.span, "the number of a revision"))?;
                self.wait_for_revision(number, "revision").await
            }
        }
    }

    async fn show(&self, query: &ShowQuery) -> Result<StatementOutput, SessionError> {
        let data = self.read_query_data().await?;
        let table = match query.source {
            QuerySource::Accepted => data.build_accepted_table(query.kind),
            QuerySource::Now => data.build_current_table(query.kind),
            QuerySource::Difference => data.build_difference_table(query.kind),
        };
        let table = table.select(query)?;
        Ok(build_completed_output(table.render(query.format)))
    }

    async fn explain_model(&self, name: &SpannedText) -> Result<StatementOutput, SessionError> {
        let data = self.read_query_data().await?;
        let configuration = &data.head.configuration;
        let Some(resolved) = configuration.resolve_model(&name.text) else {
            return Err(LanguageError::at(&name.span, "a declared model or adapter").into());
        };
        let mut lines = Vec::new();
        if let Some(adapter) = &resolved.adapter {
            lines.push(format!("{adapter} is an adapter on {}", resolved.model));
        }
        let views = data.statuses.first().map(|status| status.endpoints.as_slice());
        for view in views.unwrap_or_default() {
            let leaving =
                configuration.endpoints.get(&view.endpoint).is_some_and(|spec| spec.leaving);
            let serves = view.models.iter().any(|(model, _)| *model == resolved.model);
            let reason = match (serves, leaving, view.reachable) {
                (false, _, _) => "does not report the model",
                (true, true, _) => "serves it but is drained and takes no new work",
                (true, false, false) => {
                    "serves it but is not reachable: used only if no other one is available"
                }
                (true, false, true) => "serves it and takes new work",
            };
            lines.push(format!("{}: {reason}", view.endpoint));
        }
        Ok(build_completed_output(lines.join("\n")))
    }

    async fn explain_endpoint(&self, name: &SpannedText) -> Result<StatementOutput, SessionError> {
        let data = self.read_query_data().await?;
        let Some(spec) = data.head.configuration.endpoints.get(&name.text) else {
            return Err(LanguageError::at(&name.span, "the name of a declared endpoint").into());
        };
        let leaving = if spec.leaving { "drained, takes no new work" } else { "takes new work" };
        let mut lines = vec![format!("{} at {}: {leaving}", name.text, spec.address)];
        for status in &data.statuses {
            let view = status.endpoints.iter().find(|view| view.endpoint == name.text);
            if let Some(view) = view {
                let reachable = if view.reachable { "reachable" } else { "not reachable" };
                let (host, requests, own) = (&status.host, view.requests, view.in_flight);
                lines.push(format!(
                    "seen from {host}: {reachable}, {requests} requests reported, {own} in flight \
                     from this host"
                ));
            }
        }
        Ok(build_completed_output(lines.join("\n")))
    }

    async fn issue_workspace_key(
        &self,
        text: &str,
        workspace: &SpannedText,
    ) -> Result<StatementOutput, SessionError> {
        let issued = issue_key(&self.hasher)?;
        let hash = issued.hash.clone();
        let mut output =
            self.submit_change(text, |next| add_key(next, workspace, hash.clone())).await?;
        if !self.dry_run {
            output.text = format!("key {}\nhash {}\n{}", issued.key, issued.hash, output.text);
        }
        Ok(output)
    }

    /// Withdraws a key at the hosts first, which works without the platform, and
    /// then in the configuration.
    async fn withdraw_key(
        &self,
        text: &str,
        key: &SpannedText,
    ) -> Result<StatementOutput, SessionError> {
        let hash: KeyHash = if key.text.starts_with("sk-") {
            self.hasher.hash(&key.text)
        } else {
            key.text.clone()
        };
        // The history records the hash, so that a key given in plain text is not stored.
        let summary = text.replace(&*key.text, &hash);
        if self.dry_run {
            return Ok(build_completed_output(format!("key {hash} would be withdrawn")));
        }
        let reached = self.withdraw_at_hosts(&hash).await;
        let change = self.submit_change(&summary, |next| {
            next.keys.remove(&hash);
            Ok(())
        });
        match change.await {
            Ok(output) => Ok(output),
            Err(error) if reached > 0 => {
                let text = format!(
                    "{reached} hosts refuse the key and propagate the withdrawal, but the platform \
                     has not stored it: if they all end first, the key is accepted again. \
                     Retry when the platform is available ({error})"
                );
                Ok(StatementOutput { text, outcome: StatementOutcome::Incomplete })
            }
            Err(error) => Err(error),
        }
    }

    /// Sends a withdrawal to every configured host and returns the number of hosts
    /// that accepted it.
    async fn withdraw_at_hosts(&self, hash: &KeyHash) -> usize {
        let withdrawal = WithdrawalRequest { hashes: vec![hash.clone()] };
        let calls = self.settings.hosts.iter().map(|host| {
            let mut request =
                self.http.post(format!("http://{host}/v1/withdraw")).json(&withdrawal);
            if let Some(token) = &self.token {
                request = request.bearer_auth(token);
            }
            async move { request.send().await.is_ok_and(|response| response.status().is_success()) }
        });
        join_all(calls).await.into_iter().filter(|reached| *reached).count()
    }

    /// Applies a change, submits it and waits until it is in force.
    async fn submit_change(
        &self,
        text: &str,
        apply: impl Fn(&mut FleetConfiguration) -> Result<(), LanguageError>,
    ) -> Result<StatementOutput, SessionError> {
        let (_, head) = read_head(&self.platform).await?;
        if let Some(id) = &self.change_id
            && let Some(record) = head.history.iter().find(|record| record.id == *id)
        {
            return self.wait_for_revision(record.revision, "the change was accepted before").await;
        }
        let mut next = FleetConfiguration::clone(&head.configuration);
        apply(&mut next)?;
        next.check().map_err(AcceptanceError::Refused)?;
        if self.dry_run {
            return Ok(build_completed_output(describe_difference(&head.configuration, &next)));
        }
        let request = ChangeRequest {
            id: self.change_id.clone().unwrap_or_else(generate_change_id),
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
        let description =
            if accepted.already_accepted { "the change was accepted before" } else { "accepted" };
        self.wait_for_revision(accepted.revision, description).await
    }

    /// Waits until a revision is in force on every live host.
    ///
    /// `description` starts the text of a completed statement.
    async fn wait_for_revision(
        &self,
        revision: Revision,
        description: &str,
    ) -> Result<StatementOutput, SessionError> {
        let started = Instant::now();
        loop {
            let members = self.read_members().await;
            let lagging: Vec<&MemberEntry> =
                members.iter().filter(|entry| entry.revision < revision).collect();
            if !members.is_empty() && lagging.is_empty() {
                let hosts = members.len();
                let text =
                    format!("{description}: revision {revision} is in force on all {hosts} hosts");
                return Ok(build_completed_output(text));
            }
            if started.elapsed() > self.settings.wait_timeout() {
                return Ok(build_incomplete_output(revision, &members, &lagging));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a version that is being rolled out is in force on every live host.
    async fn wait_for_rollout(
        &self,
        model: &SpannedText,
        version: &SpannedText,
    ) -> Result<StatementOutput, SessionError> {
        let started = Instant::now();
        loop {
            let (_, head) = read_head(&self.platform).await?;
            let spec = head.configuration.models.get(&model.text);
            let is_switched = spec.is_some_and(|spec| spec.version == version.text);
            if is_switched {
                let description = format!("model {} serves version {}", model.text, version.text);
                return self.wait_for_revision(head.configuration.revision, &description).await;
            }
            if started.elapsed() > self.settings.wait_timeout() {
                let text = format!(
                    "not done: version {} of model {} is being loaded beside the one in force; \
                     'show difference models' shows the progress",
                    version.text, model.text
                );
                return Ok(StatementOutput { text, outcome: StatementOutcome::Incomplete });
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the live members, including joining and leaving ones, as reported by all
    /// hosts that respond.
    ///
    /// Reports can differ in age, so the newest entry of each host is used.
    async fn read_members(&self) -> Vec<MemberEntry> {
        let mut members: Vec<MemberEntry> = Vec::new();
        for entry in self.read_statuses().await.into_iter().flat_map(|status| status.members) {
            match members.iter_mut().find(|known| known.host == entry.host) {
                Some(known) => {
                    let is_newer = (entry.incarnation, entry.counter, entry.revision)
                        > (known.incarnation, known.counter, known.revision);
                    if is_newer {
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
            let response = self.http.get(format!("http://{host}/v1/status")).send().await.ok()?;
            response.json::<HostStatus>().await.ok()
        });
        join_all(calls).await.into_iter().flatten().collect()
    }

    async fn read_query_data(&self) -> Result<QueryData, SessionError> {
        let (_, head) = read_head(&self.platform).await?;
        let ledger = match self.platform.read(LEDGER_OBJECT).await? {
            Some(object) => {
                serde_json::from_str(&object.value).map_err(PlatformError::InvalidJson)?
            }
            None => ShareLedger::default(),
        };
        Ok(QueryData { head, statuses: self.read_statuses().await, ledger })
    }
}

fn build_completed_output(text: String) -> StatementOutput {
    StatementOutput { text, outcome: StatementOutcome::Completed }
}

fn build_incomplete_output(
    revision: Revision,
    members: &[MemberEntry],
    lagging: &[&MemberEntry],
) -> StatementOutput {
    let text = if members.is_empty() {
        format!("not done: revision {revision} is accepted, but no host answered")
    } else {
        let names: Vec<String> = lagging
            .iter()
            .map(|entry| format!("{} ({}, at {})", entry.host, entry.data_centre, entry.revision))
            .collect();
        format!(
            "not done: revision {revision} is accepted, but not confirmed by {}",
            names.join(", ")
        )
    };
    StatementOutput { text, outcome: StatementOutcome::Incomplete }
}

fn generate_change_id() -> Arc<str> {
    format!("change-{:016x}", rand::random::<u64>()).into()
}

/// Describes the effect of a change, with one line per object.
fn describe_difference(before: &FleetConfiguration, after: &FleetConfiguration) -> String {
    let mut lines = Vec::new();
    describe_objects(&mut lines, "model", &before.models, &after.models);
    describe_objects(&mut lines, "adapter", &before.adapters, &after.adapters);
    describe_objects(&mut lines, "workspace", &before.workspaces, &after.workspaces);
    describe_objects(&mut lines, "key", &before.keys, &after.keys);
    describe_objects(&mut lines, "endpoint", &before.endpoints, &after.endpoints);
    describe_objects(&mut lines, "route", &before.routes, &after.routes);
    if lines.is_empty() {
        return "nothing would change".to_owned();
    }
    lines.join("\n")
}

fn describe_objects<T: Eq + serde::Serialize>(
    lines: &mut Vec<String>,
    kind: &str,
    before: &std::collections::BTreeMap<Arc<str>, T>,
    after: &std::collections::BTreeMap<Arc<str>, T>,
) {
    let encode = |spec: &T| serde_json::to_string(spec).unwrap_or_default();
    for (name, spec) in after {
        match before.get(name) {
            None => lines.push(format!("+ {kind} {name} {}", encode(spec))),
            Some(old) if old != spec => {
                lines.push(format!("~ {kind} {name} {} -> {}", encode(old), encode(spec)));
            }
            Some(_) => {}
        }
    }
    let removed = before.keys().filter(|name| !after.contains_key(*name));
    lines.extend(removed.map(|name| format!("- {kind} {name}")));
}
