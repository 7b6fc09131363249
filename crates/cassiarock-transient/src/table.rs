//! The routes of one configuration.

use crate::JobClass;
use cassiarock_id::Name;
use std::sync::Arc;
use std::time::Duration;

/// A route: which requests it takes and how their jobs are treated.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The host that callers name.
    pub host: Name,
    /// How the paths of its requests begin.
    pub prefix: Name,
    /// How its jobs are treated.
    pub class: Arc<JobClass>,
}

/// RequestLimits on what callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// All headers together, in bytes.
    pub max_header_bytes: usize,
    /// A body, in bytes.
    pub max_body_bytes: usize,
    /// How long the headers may take.
    pub header_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

/// All routes of one version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTable {
    /// The version.
    pub version: u64,
    /// The limits.
    pub limits: RequestLimits,
    routes: Vec<Route>,
}

impl RouteTable {
    /// A table of `routes`, sorted so that the longest prefix is met first.
    #[must_use]
    pub fn new(version: u64, limits: RequestLimits, mut routes: Vec<Route>) -> Self {
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

    /// The route with the longest prefix of `path` at `host`. A port in `host` is ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or_default();
        let first = self.routes.partition_point(|route| &*route.host < host);
        let same = self.routes[first..].iter();
        same.take_while(|route| route.host.eq_ignore_ascii_case(host))
            .find(|route| path.starts_with(&*route.prefix))
    }

    /// How many routes there are.
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
