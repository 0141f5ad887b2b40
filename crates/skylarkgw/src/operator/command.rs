//! Applies commands to a fleet configuration.

use std::sync::Arc;

use crate::configuration::{
    AdapterSpec, CallPattern, EndpointKind, EndpointSpec, FleetConfiguration, KeySpec, ModelSpec,
    RouteSpec, WorkspaceSpec,
};
use crate::ids::KeyHash;
use crate::operator::language::{
    LanguageError, ObjectCommand, ObjectKind, ObjectSetting, SpannedText,
};

/// Concurrent requests of an endpoint that is declared without `slots`.
const DEFAULT_SLOTS: u32 = 32;

/// How a command changes an object.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommandMode {
    /// Creates an object, which must not exist yet.
    Declare,
    /// Changes an existing object. Settings that are not given keep their values.
    Change,
    /// Removes an existing object.
    Remove,
}

/// Creates, changes or removes an object of a configuration.
///
/// # Errors
///
/// Returns [`LanguageError`] with the position of an invalid name or setting.
pub fn apply_command(
    configuration: &mut FleetConfiguration,
    mode: CommandMode,
    command: &ObjectCommand,
) -> Result<(), LanguageError> {
    let name = command.name.text.clone();
    let exists = match command.kind {
        ObjectKind::Adapter => configuration.adapters.contains_key(&name),
        ObjectKind::Endpoint => configuration.endpoints.contains_key(&name),
        ObjectKind::Model => configuration.models.contains_key(&name),
        ObjectKind::Route => configuration.routes.contains_key(&name),
        ObjectKind::Workspace => configuration.workspaces.contains_key(&name),
    };
    match (mode, exists) {
        (CommandMode::Declare, true) => {
            return Err(LanguageError::at(
                &command.name.span,
                "a new name: this one is already declared",
            ));
        }
        (CommandMode::Change | CommandMode::Remove, false) => {
            return Err(LanguageError::at(&command.name.span, "the name of an existing object"));
        }
        _ => {}
    }
    if mode == CommandMode::Remove {
        remove_object(configuration, command.kind, &name);
        return Ok(());
    }
    match command.kind {
        ObjectKind::Adapter => {
            let existing = configuration.adapters.remove(&name);
            let spec = read_adapter(command, existing)?;
            configuration.adapters.insert(name, spec);
        }
        ObjectKind::Endpoint => {
            let existing = configuration.endpoints.remove(&name);
            let spec = read_endpoint(command, existing)?;
            configuration.endpoints.insert(name, spec);
        }
        ObjectKind::Model => {
            let existing = configuration.models.remove(&name);
            let spec = read_model(command, existing)?;
            configuration.models.insert(name, spec);
        }
        ObjectKind::Route => {
            let existing = configuration.routes.remove(&name);
            let spec = read_route(command, existing)?;
            configuration.routes.insert(name, spec);
        }
        ObjectKind::Workspace => {
            let existing = configuration.workspaces.remove(&name);
            let spec = read_workspace(command, existing)?;
            configuration.workspaces.insert(name, spec);
        }
    }
    Ok(())
}

/// Sets whether an endpoint is leaving. A leaving endpoint takes no new work.
///
/// # Errors
///
/// Returns [`LanguageError`] if the endpoint is not declared.
pub fn set_leaving(
    configuration: &mut FleetConfiguration,
    name: &SpannedText,
    leaving: bool,
) -> Result<(), LanguageError> {
    let spec = configuration.endpoints.get_mut(&name.text);
    let missing = || LanguageError::at(&name.span, "the name of a declared endpoint");
    spec.ok_or_else(missing)?.leaving = leaving;
    Ok(())
}

/// Sets the version of a model that is rolled out next, or cancels the rollout.
///
/// # Errors
///
/// Returns [`LanguageError`] if the model is not declared or the given version is
/// already in force.
pub fn set_next_version(
    configuration: &mut FleetConfiguration,
    name: &SpannedText,
    next: Option<&SpannedText>,
) -> Result<(), LanguageError> {
    let spec = configuration.models.get_mut(&name.text);
    let spec = spec.ok_or_else(|| LanguageError::at(&name.span, "the name of a declared model"))?;
    if let Some(version) = next.filter(|version| version.text == spec.version) {
        return Err(LanguageError::at(&version.span, "a version other than the one in force"));
    }
    spec.next = next.map(|version| version.text.clone());
    Ok(())
}

/// Adds an API key to a workspace.
///
/// # Errors
///
/// Returns [`LanguageError`] if the workspace is not declared.
pub fn add_key(
    configuration: &mut FleetConfiguration,
    workspace: &SpannedText,
    hash: KeyHash,
) -> Result<(), LanguageError> {
    if !configuration.workspaces.contains_key(&workspace.text) {
        return Err(LanguageError::at(&workspace.span, "the name of a declared workspace"));
    }
    configuration.keys.insert(hash, KeySpec { workspace: workspace.text.clone() });
    Ok(())
}

fn remove_object(configuration: &mut FleetConfiguration, kind: ObjectKind, name: &Arc<str>) {
    match kind {
        ObjectKind::Adapter => drop(configuration.adapters.remove(name)),
        ObjectKind::Endpoint => drop(configuration.endpoints.remove(name)),
        ObjectKind::Model => drop(configuration.models.remove(name)),
        ObjectKind::Route => drop(configuration.routes.remove(name)),
        ObjectKind::Workspace => drop(configuration.workspaces.remove(name)),
    }
}

fn read_adapter(
    command: &ObjectCommand,
    existing: Option<AdapterSpec>,
) -> Result<AdapterSpec, LanguageError> {
    let settings = SettingReader::new(command, &["base"])?;
    let base = settings.text("base")?.or(existing.map(|spec| spec.base));
    Ok(AdapterSpec { base: settings.require("base", base)? })
}

fn read_model(
    command: &ObjectCommand,
    existing: Option<ModelSpec>,
) -> Result<ModelSpec, LanguageError> {
    let settings = SettingReader::new(command, &["version", "memory_mb", "replicas"])?;
    if let (Some(existing), Some([version, ..])) = (&existing, settings.values("version"))
        && existing.version != version.text
    {
        let expected = "another setting: 'rollout model NAME to VERSION' changes the version";
        return Err(LanguageError::at(&version.span, expected));
    }
    let version = settings.text("version")?.or(existing.as_ref().map(|spec| spec.version.clone()));
    let memory_mb = settings.number("memory_mb")?.or(existing.as_ref().map(|spec| spec.memory_mb));
    let replicas = settings.number("replicas")?.map(|count| count.min(1_000) as u32);
    Ok(ModelSpec {
        version: settings.require("version", version)?,
        next: existing.as_ref().and_then(|spec| spec.next.clone()),
        memory_mb: settings.require("memory_mb", memory_mb)?,
        replicas: replicas.or(existing.as_ref().map(|spec| spec.replicas)).unwrap_or(1).max(1),
    })
}

fn read_workspace(
    command: &ObjectCommand,
    existing: Option<WorkspaceSpec>,
) -> Result<WorkspaceSpec, LanguageError> {
    let settings = SettingReader::new(command, &["rate", "burst", "cut_streams"])?;
    let rate = settings.number("rate")?.or(existing.as_ref().map(|spec| spec.rate));
    let burst = settings.number("burst")?.or(existing.as_ref().map(|spec| spec.burst));
    let cut_streams =
        settings.boolean("cut_streams")?.or(existing.as_ref().map(|spec| spec.cut_streams));
    Ok(WorkspaceSpec {
        rate: settings.require("rate", rate)?,
        burst: settings.require("burst", burst)?,
        cut_streams: cut_streams.unwrap_or(false),
    })
}

fn read_endpoint(
    command: &ObjectCommand,
    existing: Option<EndpointSpec>,
) -> Result<EndpointSpec, LanguageError> {
    let settings =
        SettingReader::new(command, &["address", "data_centre", "kind", "slots", "checks_fence"])?;
    let existing = existing.as_ref();
    let address = settings.text("address")?.or(existing.map(|spec| spec.address.clone()));
    let data_centre =
        settings.text("data_centre")?.or(existing.map(|spec| spec.data_centre.clone()));
    let kind = settings.kind("kind")?.or(existing.map(|spec| spec.kind));
    let slots = settings.number("slots")?.map(|slots| slots.min(u64::from(u32::MAX)) as u32);
    let checks_fence = settings.boolean("checks_fence")?.or(existing.map(|spec| spec.checks_fence));
    Ok(EndpointSpec {
        address: settings.require("address", address)?,
        data_centre: settings.require("data_centre", data_centre)?,
        kind: settings.require("kind", kind)?,
        leaving: existing.is_some_and(|spec| spec.leaving),
        checks_fence: checks_fence.unwrap_or(false),
        slots: slots.or(existing.map(|spec| spec.slots)).unwrap_or(DEFAULT_SLOTS),
    })
}

fn read_route(
    command: &ObjectCommand,
    existing: Option<RouteSpec>,
) -> Result<RouteSpec, LanguageError> {
    let settings = SettingReader::new(command, &["endpoints", "open", "idempotent"])?;
    let existing = existing.as_ref();
    let endpoints = settings.list("endpoints").or(existing.map(|spec| spec.endpoints.clone()));
    let open = settings.boolean("open")?.or(existing.map(|spec| spec.open));
    let idempotent = settings.patterns("idempotent")?;
    Ok(RouteSpec {
        endpoints: settings.require("endpoints", endpoints)?,
        open: open.unwrap_or(false),
        idempotent: idempotent.or(existing.map(|spec| spec.idempotent.clone())).unwrap_or_default(),
    })
}

/// Reads and converts the settings of a command.
struct SettingReader<'a> {
    command: &'a ObjectCommand,
}

impl<'a> SettingReader<'a> {
    /// Creates a reader, or returns an error if the command has a setting that is
    /// not in `allowed`.
    fn new(
        command: &'a ObjectCommand,
        allowed: &[&str],
    ) -> Result<SettingReader<'a>, LanguageError> {
        let is_unknown = |setting: &&ObjectSetting| !allowed.contains(&&*setting.name.text);
        match command.settings.iter().find(is_unknown) {
            Some(setting) => {
                let expected = format!("one of the settings {}", allowed.join(", "));
                Err(LanguageError::at(&setting.name.span, expected))
            }
            None => Ok(SettingReader { command }),
        }
    }

    /// Returns the values of a setting. The last occurrence of a setting counts.
    fn values(&self, name: &str) -> Option<&'a [SpannedText]> {
        let found = self.command.settings.iter().rfind(|setting| &*setting.name.text == name);
        found.map(|setting| setting.values.as_slice())
    }

    fn single_value(&self, name: &str) -> Result<Option<&'a SpannedText>, LanguageError> {
        match self.values(name) {
            None => Ok(None),
            Some([value]) => Ok(Some(value)),
            Some(values) => {
                let span = values.first().map_or(0..0, |value| value.span.clone());
                Err(LanguageError::at(&span, "one value"))
            }
        }
    }

    fn text(&self, name: &str) -> Result<Option<Arc<str>>, LanguageError> {
        Ok(self.single_value(name)?.map(|value| value.text.clone()))
    }

    fn number(&self, name: &str) -> Result<Option<u64>, LanguageError> {
        self.parse(name, "a whole number without a unit", |text| text.parse().ok())
    }

    fn boolean(&self, name: &str) -> Result<Option<bool>, LanguageError> {
        self.parse(name, "yes or no", |text| match text {
            "yes" | "true" => Some(true),
            "no" | "false" => Some(false),
            _ => None,
        })
    }

    fn kind(&self, name: &str) -> Result<Option<EndpointKind>, LanguageError> {
        self.parse(name, "engine or service", |text| match text {
            "engine" => Some(EndpointKind::Engine),
            "service" => Some(EndpointKind::Service),
            _ => None,
        })
    }

    fn list(&self, name: &str) -> Option<Vec<Arc<str>>> {
        self.values(name).map(|values| values.iter().map(|value| value.text.clone()).collect())
    }

    fn patterns(&self, name: &str) -> Result<Option<Vec<CallPattern>>, LanguageError> {
        let Some(values) = self.values(name) else { return Ok(None) };
        let parse_pattern = |value: &SpannedText| {
            let (method, path) = value.text.split_once('/').ok_or_else(|| {
                LanguageError::at(&value.span, "a method and a path such as GET/orders")
            })?;
            let method = method.trim().to_ascii_uppercase().into();
            Ok(CallPattern { method, path: format!("/{path}").into() })
        };
        values.iter().map(parse_pattern).collect::<Result<_, _>>().map(Some)
    }

    fn parse<T>(
        &self,
        name: &str,
        expected: &str,
        convert: impl Fn(&str) -> Option<T>,
    ) -> Result<Option<T>, LanguageError> {
        let Some(value) = self.single_value(name)? else { return Ok(None) };
        convert(&value.text).map(Some).ok_or_else(|| LanguageError::at(&value.span, expected))
    }

    fn require<T>(&self, name: &str, value: Option<T>) -> Result<T, LanguageError> {
        let span = &self.command.name.span;
        value.ok_or_else(|| LanguageError::at(span, format!("the setting {name} after the name")))
    }
}
