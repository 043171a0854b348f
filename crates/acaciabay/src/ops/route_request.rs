//! Lookup of the route and the pool of a request.

use crate::core::entry_config::EntryConfig;
use crate::core::name::CustomerName;
use crate::core::table::{PoolRow, RouteRow, RouteTarget};

/// The route and the pool of a request.
#[derive(Clone, Copy, Debug)]
pub struct RoutedRequest<'config> {
    /// The route that the request takes.
    pub route: &'config RouteRow,
    /// The pool that the route names.
    pub pool: &'config PoolRow,
}

/// The reason why no pool serves a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteRefusal {
    /// The customer has no route to this target.
    NoRoute,
    /// The route names a pool that does not currently exist.
    NoPool,
}

/// Returns the route and the pool for a customer's request.
///
/// # Errors
///
/// Returns [`RouteRefusal::NoRoute`] if the customer may not use the target, and [`RouteRefusal::NoPool`] if the pool
/// of the route does not exist. The two are distinct because routes refer to pools by name only, so that the tables may
/// disagree for a while: a request to a missing pool is refused as not run.
pub fn route_request<'config>(
    config: &'config EntryConfig,
    customer: &CustomerName,
    target: &RouteTarget,
) -> Result<RoutedRequest<'config>, RouteRefusal> {
    let key = (customer.clone(), target.clone());
    let route = config.routes.get(&key).ok_or(RouteRefusal::NoRoute)?;
    let pool = config.pools.get(&route.pool).ok_or(RouteRefusal::NoPool)?;
    Ok(RoutedRequest { route, pool })
}
