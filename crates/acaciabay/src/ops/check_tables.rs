//! Checks an edit of the tables for what is allowed but probably not meant.

use crate::core::entry_config::EntryConfig;
use crate::core::table::{PoolRow, RouteRow};

/// Something about an accepted table that the operator should know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableWarning {
    /// Where in the table, as a JSON path.
    pub place: String,
    /// What was found.
    pub message: String,
}

/// Returns a warning for each route that names a pool which does not exist (yet).
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

/// Returns a warning for each route whose pool would be missing from `pools`.
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
