//! Checks for table edits that are valid but probably unintended.

use crate::core::entry_config::EntryConfig;
use crate::core::table::{PoolRow, RouteRow};

/// A warning for the operator about a table that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableWarning {
    /// The location in the table, as a JSON pointer.
    pub place: String,
    /// The text of the warning.
    pub message: String,
}

/// Returns a warning for each route in `routes` that names a pool that does not exist.
pub fn check_routes(config: &EntryConfig, routes: &[RouteRow]) -> Vec<TableWarning> {
    let missing = routes
        .iter()
        .enumerate()
        .filter(|(_, route)| config.pools.get(&route.pool).is_none());
    missing
        .map(|(index, route)| TableWarning {
            place: format!("/{index}/pool"),
            message: format!(
                "no pool is named `{}`; requests are refused until there is one",
                route.pool
            ),
        })
        .collect()
}

/// Returns a warning for each existing route whose pool is missing from `pools`.
pub fn check_pools(config: &EntryConfig, pools: &[PoolRow]) -> Vec<TableWarning> {
    let orphans = config
        .routes
        .rows()
        .filter(|route| pools.iter().all(|pool| pool.name != route.pool));
    orphans
        .map(|route| TableWarning {
            place: "/".to_owned(),
            message: format!(
                "the route of `{}` names `{}`, which the table leaves out",
                route.customer, route.pool
            ),
        })
        .collect()
}
