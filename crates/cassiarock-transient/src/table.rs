//! The routing table of a configuration.

use crate::JobClass;
use cassiarock_id::Name;
use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

/// A route: which requests it matches and how their jobs are scheduled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The host of matching requests.
    pub host: Name,
    /// The path prefix of matching requests.
    pub prefix: Name,
    /// How its jobs are scheduled.
    pub class: Arc<JobClass>,
}

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// The most that all headers together may take, in bytes.
    pub max_header_bytes: usize,
    /// The most that a body may take, in bytes.
    pub max_body_bytes: usize,
    /// How long a caller may take to send the headers.
    pub header_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

/// The routes and limits of one version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTable {
    /// The version of the configuration.
    pub version: u64,
    /// The limits on requests to all routes.
    pub limits: RequestLimits,
    routes: Vec<Route>,
}

impl RouteTable {
    /// Creates a table of `routes`. Longer prefixes match before shorter ones, and hosts in any case.
    #[must_use]
    pub fn new(version: u64, limits: RequestLimits, mut routes: Vec<Route>) -> Self {
        for route in &mut routes {
            if let Cow::Owned(host) = lower_case(&route.host) {
                route.host = host.into();
            }
        }
        routes.sort_by(|a, b| {
            let longest = b.prefix.len().cmp(&a.prefix.len());
            a.host.cmp(&b.host).then(longest)
        });
        Self {
            version,
            limits,
            routes,
        }
    }

    /// Finds the route of `host` with the longest prefix of `path`. A port in `host` is ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or_default();
        let host = lower_case(host);
        let first = self.routes.partition_point(|route| *route.host < *host);
        let same = self.routes[first..].iter();
        same.take_while(|route| *route.host == *host)
            .find(|route| path.starts_with(&*route.prefix))
    }

    /// The number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether there is no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

/// The host in lower case, as host names are compared. Copies only those that have capitals.
fn lower_case(host: &str) -> Cow<'_, str> {
    if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(host.to_ascii_lowercase())
    } else {
        Cow::Borrowed(host)
    }
}
