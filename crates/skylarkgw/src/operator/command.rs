//! Turns commands into changes of the configuration.

use std::sync::Arc;

use crate::configuration::{
    AdapterSpec, CallPattern, EndpointKind, EndpointSpec, FleetConfiguration, KeySpec, ModelSpec,
    RouteSpec, WorkspaceSpec,
};
use crate::ids::KeyHash;
use crate::operator::language::{
    LanguageError, ObjectKind, ObjectOrder, ObjectSetting, PlacedText,
};

const DEFAULT_SLOTS: u32 = 32;

/// How a command treats an object.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderMode {
    /// It must not exist yet.
    Declare,
    /// It must exist; settings not named stay.
    Change,
    /// It must exist and goes.
    Remove,
}

/// Applies a command to a configuration.
///
/// # Errors
///
/// [`LanguageError`] points at the name or the setting that does not fit.
pub fn apply_order(
    configuration: &mut FleetConfiguration,
    mode: OrderMode,
    order: &ObjectOrder,
) -> Result<(), LanguageError> {
    let name = order.name.text.clone();
    let exists = match order.kind {
        ObjectKind::Adapter => configuration.adapters.contains_key(&name),
        ObjectKind::Endpoint => configuration.endpoints.contains_key(&name),
        ObjectKind::Model => configuration.models.contains_key(&name),
        ObjectKind::Route => configuration.routes.contains_key(&name),
        ObjectKind::Workspace => configuration.workspaces.contains_key(&name),
    };
    match (mode, exists) {
        (OrderMode::Declare, true) => {
            return Err(LanguageError::at(&order.name.span, "a new name: this one exists"));
        }
        (OrderMode::Change | OrderMode::Remove, false) => {
            return Err(LanguageError::at(&order.name.span, "the name of one that exists"));
        }
        _ => {}
    }
    if mode == OrderMode::Remove {
        remove(configuration, order.kind, &name);
        return Ok(());
    }
    match order.kind {
        ObjectKind::Adapter => {
            let known = configuration.adapters.remove(&name);
            let spec = adapter(order, known)?;
            configuration.adapters.insert(name, spec);
        }
        ObjectKind::Endpoint => {
            let known = configuration.endpoints.remove(&name);
            let spec = endpoint(order, known)?;
            configuration.endpoints.insert(name, spec);
        }
        ObjectKind::Model => {
            let known = configuration.models.remove(&name);
            let spec = model(order, known)?;
            configuration.models.insert(name, spec);
        }
        ObjectKind::Route => {
            let known = configuration.routes.remove(&name);
            let spec = route(order, known)?;
            configuration.routes.insert(name, spec);
        }
        ObjectKind::Workspace => {
            let known = configuration.workspaces.remove(&name);
            let spec = workspace(order, known)?;
            configuration.workspaces.insert(name, spec);
        }
    }
    Ok(())
}

/// Marks an endpoint as leaving or not.
///
/// # Errors
///
/// [`LanguageError`] if there is no such endpoint.
pub fn apply_leaving(
    configuration: &mut FleetConfiguration,
    name: &PlacedText,
    leaving: bool,
) -> Result<(), LanguageError> {
    let spec = configuration.endpoints.get_mut(&name.text);
    let missing = || LanguageError::at(&name.span, "the name of a declared endpoint");
    spec.ok_or_else(missing)?.leaving = leaving;
    Ok(())
}

/// Starts the rollout of a version, or takes it back before it is switched.
///
/// # Errors
///
/// [`LanguageError`] if there is no such model or it serves that version.
pub fn apply_next(
    configuration: &mut FleetConfiguration,
    name: &PlacedText,
    next: Option<&PlacedText>,
) -> Result<(), LanguageError> {
    let spec = configuration.models.get_mut(&name.text);
    let spec = spec.ok_or_else(|| LanguageError::at(&name.span, "the name of a declared model"))?;
    if let Some(version) = next.filter(|version| version.text == spec.version) {
        return Err(LanguageError::at(&version.span, "another version than the one in force"));
    }
    spec.next = next.map(|version| version.text.clone());
    Ok(())
}

/// Adds a key of a workspace.
///
/// # Errors
///
/// [`LanguageError`] if there is no such workspace.
pub fn apply_key(
    configuration: &mut FleetConfiguration,
    workspace: &PlacedText,
    hash: KeyHash,
) -> Result<(), LanguageError> {
    if !configuration.workspaces.contains_key(&workspace.text) {
        return Err(LanguageError::at(&workspace.span, "the name of a declared workspace"));
    }
    configuration.keys.insert(hash, KeySpec { workspace: workspace.text.clone() });
    Ok(())
}

fn remove(configuration: &mut FleetConfiguration, kind: ObjectKind, name: &Arc<str>) {
    match kind {
        ObjectKind::Adapter => drop(configuration.adapters.remove(name)),
        ObjectKind::Endpoint => drop(configuration.endpoints.remove(name)),
        ObjectKind::Model => drop(configuration.models.remove(name)),
        ObjectKind::Route => drop(configuration.routes.remove(name)),
        ObjectKind::Workspace => drop(configuration.workspaces.remove(name)),
    }
}

fn adapter(order: &ObjectOrder, known: Option<AdapterSpec>) -> Result<AdapterSpec, LanguageError> {
    let settings = SettingReader::new(order, &["base"])?;
    let base = settings.text("base")?.or(known.map(|spec| spec.base));
    Ok(AdapterSpec { base: settings.required("base", base)? })
}

fn model(order: &ObjectOrder, known: Option<ModelSpec>) -> Result<ModelSpec, LanguageError> {
    let settings = SettingReader::new(order, &["version", "memory_mb", "replicas"])?;
    if let (Some(known), Some([version, ..])) = (&known, settings.values("version"))
        && known.version != version.text
    {
        let expected = "another setting: 'rollout model NAME to VERSION' changes the version";
        return Err(LanguageError::at(&version.span, expected));
    }
    let version = settings.text("version")?.or(known.as_ref().map(|spec| spec.version.clone()));
    let memory = settings.number("memory_mb")?.or(known.as_ref().map(|spec| spec.memory_mb));
    let replicas = settings.number("replicas")?.map(|count| count.min(1_000) as u32);
    Ok(ModelSpec {
        version: settings.required("version", version)?,
        next: known.as_ref().and_then(|spec| spec.next.clone()),
        memory_mb: settings.required("memory_mb", memory)?,
        replicas: replicas.or(known.as_ref().map(|spec| spec.replicas)).unwrap_or(1).max(1),
    })
}

fn workspace(
    order: &ObjectOrder,
    known: Option<WorkspaceSpec>,
) -> Result<WorkspaceSpec, LanguageError> {
    let settings = SettingReader::new(order, &["rate", "burst", "cut_streams"])?;
    let rate = settings.number("rate")?.or(known.as_ref().map(|spec| spec.rate));
    let burst = settings.number("burst")?.or(known.as_ref().map(|spec| spec.burst));
    let cut = settings.truth("cut_streams")?.or(known.as_ref().map(|spec| spec.cut_streams));
    Ok(WorkspaceSpec {
        rate: settings.required("rate", rate)?,
        burst: settings.required("burst", burst)?,
        cut_streams: cut.unwrap_or(false),
    })
}

fn endpoint(
    order: &ObjectOrder,
    known: Option<EndpointSpec>,
) -> Result<EndpointSpec, LanguageError> {
    let settings =
        SettingReader::new(order, &["address", "data_centre", "kind", "slots", "checks_fence"])?;
    let known = known.as_ref();
    let address = settings.text("address")?.or(known.map(|spec| spec.address.clone()));
    let data_centre = settings.text("data_centre")?.or(known.map(|spec| spec.data_centre.clone()));
    let kind = settings.kind("kind")?.or(known.map(|spec| spec.kind));
    let slots = settings.number("slots")?.map(|slots| slots.min(u64::from(u32::MAX)) as u32);
    let checks_fence = settings.truth("checks_fence")?.or(known.map(|spec| spec.checks_fence));
    Ok(EndpointSpec {
        address: settings.required("address", address)?,
        data_centre: settings.required("data_centre", data_centre)?,
        kind: settings.required("kind", kind)?,
        leaving: known.is_some_and(|spec| spec.leaving),
        checks_fence: checks_fence.unwrap_or(false),
        slots: slots.or(known.map(|spec| spec.slots)).unwrap_or(DEFAULT_SLOTS),
    })
}

fn route(order: &ObjectOrder, known: Option<RouteSpec>) -> Result<RouteSpec, LanguageError> {
    let settings = SettingReader::new(order, &["endpoints", "open", "idempotent"])?;
    let known = known.as_ref();
    let endpoints = settings.list("endpoints").or(known.map(|spec| spec.endpoints.clone()));
    let open = settings.truth("open")?.or(known.map(|spec| spec.open));
    let patterns = settings.patterns("idempotent")?;
    Ok(RouteSpec {
        endpoints: settings.required("endpoints", endpoints)?,
        open: open.unwrap_or(false),
        idempotent: patterns.or(known.map(|spec| spec.idempotent.clone())).unwrap_or_default(),
    })
}

struct SettingReader<'a> {
    order: &'a ObjectOrder,
}

impl<'a> SettingReader<'a> {
    fn new(order: &'a ObjectOrder, known: &[&str]) -> Result<SettingReader<'a>, LanguageError> {
        let unknown = |setting: &&ObjectSetting| !known.contains(&&*setting.name.text);
        match order.settings.iter().find(unknown) {
            Some(setting) => {
                let expected = format!("one of the settings {}", known.join(", "));
                Err(LanguageError::at(&setting.name.span, expected))
            }
            None => Ok(SettingReader { order }),
        }
    }

    fn values(&self, name: &str) -> Option<&'a [PlacedText]> {
        let found = self.order.settings.iter().rfind(|setting| &*setting.name.text == name);
        found.map(|setting| setting.values.as_slice())
    }

    fn one(&self, name: &str) -> Result<Option<&'a PlacedText>, LanguageError> {
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
        Ok(self.one(name)?.map(|value| value.text.clone()))
    }

    fn number(&self, name: &str) -> Result<Option<u64>, LanguageError> {
        self.parse(name, "a whole number without unit", |text| text.parse().ok())
    }

    fn truth(&self, name: &str) -> Result<Option<bool>, LanguageError> {
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
        let pattern = |value: &PlacedText| {
            let (method, path) = value.text.split_once('/').ok_or_else(|| {
                LanguageError::at(&value.span, "a method and a path such as GET/orders")
            })?;
            let method = method.trim().to_ascii_uppercase().into();
            Ok(CallPattern { method, path: format!("/{path}").into() })
        };
        values.iter().map(pattern).collect::<Result<_, _>>().map(Some)
    }

    fn parse<T>(
        &self,
        name: &str,
        expected: &str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Result<Option<T>, LanguageError> {
        let Some(value) = self.one(name)? else { return Ok(None) };
        read(&value.text).map(Some).ok_or_else(|| LanguageError::at(&value.span, expected))
    }

    fn required<T>(&self, name: &str, value: Option<T>) -> Result<T, LanguageError> {
        let span = &self.order.name.span;
        value.ok_or_else(|| LanguageError::at(span, format!("the setting {name} behind the name")))
    }
}
