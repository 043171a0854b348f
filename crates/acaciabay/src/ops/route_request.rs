//! Finds the pool that serves a request, or the reason why none does.

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

/// Why a request has no pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteRefusal {
    /// The customer has no route to this target.
    NoRoute,
    /// The route names a pool that does not exist at present.
    NoPool,
}

/// Routes a customer's request.
///
/// # Errors
///
/// The two tables meet only by name, so that they pass through moments in which they disagree: a route to a missing
/// pool is refused as not run, which differs from a target that the customer may not use at all.
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
