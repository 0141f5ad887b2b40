//! Regions in which a request may be processed.
//!
//! A route and a workspace may each name regions. Both lists bind where both are
//! declared. A data centre whose region is unknown is in none of them.

use std::collections::HashMap;
use std::sync::Arc;

use crate::gateway::declaration::{RouteRule, WorkspaceRule};
use crate::ids::{DataCentre, RegionName};

/// Returns the data centres in which a request may be processed, sorted, or `None` if it
/// may be processed in all.
///
/// `regions` holds the region of each data centre that is known.
pub fn find_allowed_centres(
    route: &RouteRule,
    workspace: Option<&WorkspaceRule>,
    regions: &HashMap<DataCentre, RegionName>,
) -> Option<Arc<[DataCentre]>> {
    let of_workspace = workspace.map(|workspace| &workspace.allowed_regions[..]);
    let lists = [&route.allowed_regions[..], of_workspace.unwrap_or_default()];
    if lists.iter().all(|allowed| allowed.is_empty()) {
        return None;
    }
    let allows = |region: &RegionName| {
        lists.iter().all(|allowed| allowed.is_empty() || allowed.contains(region))
    };
    let centres = regions.iter().filter(|(_, region)| allows(region));
    let mut centres: Vec<DataCentre> = centres.map(|(centre, _)| centre.clone()).collect();
    centres.sort();
    Some(centres.into())
}

/// Returns whether a request may be processed in a data centre. `allowed` is the result of
/// [`find_allowed_centres`].
pub fn is_allowed(allowed: Option<&[DataCentre]>, data_centre: &DataCentre) -> bool {
    allowed.is_none_or(|allowed| allowed.contains(data_centre))
}
