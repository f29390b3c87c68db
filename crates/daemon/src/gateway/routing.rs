//! Routes in force, and the choice of a service for a request.

use super::state::Gateway;
use crate::service::ServiceHandle;
use crate::telemetry::STATE_LOG_TARGET;
use gentianridge_core::{
    CallerLimits, ClassKey, ClassKind, EventKind, ResultCode, RouteTable, WorkspaceSpec,
    WorkspaceTable,
};
use http::{Request, header};
use rand::RngExt;
use smol_str::SmolStr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Service and class chosen for a request, with the settings of its route.
#[derive(Debug)]
pub(crate) struct RouteDecision {
    pub(crate) route: SmolStr,
    /// Version of the configuration by which the request was routed.
    pub(crate) version: u64,
    pub(crate) service: Arc<ServiceHandle>,
    pub(crate) class: ClassKey,
    pub(crate) kind: ClassKind,
    pub(crate) timeout: Duration,
    pub(crate) objective: Duration,
    /// Workspace of the caller, if the configuration has workspaces.
    pub(crate) workspace: Option<Arc<WorkspaceSpec>>,
    /// True if the configuration has workspaces: targets then learn the caller's from this
    /// VM alone.
    pub(crate) needs_identity: bool,
}

/// Routes in force.
impl Gateway {
    /// Number of positions in the rotation of a split at which a VM may start.
    const ROTATION_STEPS: u32 = 97;

    /// Returns the version in force, 0 if there is none.
    pub(crate) fn get_version(&self) -> u64 {
        self.routes
            .borrow()
            .as_ref()
            .map_or(0, RouteTable::get_version)
    }

    /// Returns true if the configuration in force has workspaces.
    pub(super) fn has_workspaces(&self) -> bool {
        let routes = self.routes.borrow();
        let workspaces = routes.as_ref().and_then(RouteTable::get_workspaces);
        workspaces.is_some()
    }

    pub(crate) fn get_limits(&self) -> CallerLimits {
        self.routes
            .borrow()
            .as_ref()
            .map(RouteTable::get_limits)
            .unwrap_or_default()
    }

    /// Chooses the service and class of a request.
    pub(crate) fn route<B>(&self, request: &Request<B>) -> Result<RouteDecision, ResultCode> {
        let mut routes = self.routes.borrow_mut();
        let table = routes.as_mut().ok_or(ResultCode::NoConfiguration)?;
        let host = request
            .headers()
            .get(header::HOST)
            .and_then(|value| value.to_str().ok())
            .or_else(|| request.uri().host())
            .ok_or(ResultCode::BadRequest)?;
        let key = table
            .find(host, request.uri().path())
            .ok_or(ResultCode::NoService)?;
        let workspace = self.identify(table, key, request.headers())?;
        let name = table.next_service(key).ok_or(ResultCode::NoTarget)?;
        let route = table.get(key);
        let service = self.find_service(&name).ok_or(ResultCode::NoTarget)?;
        let class_name = table
            .get_class_name(key, workspace.as_deref())
            .ok_or(ResultCode::NoTarget)?;
        let class = service
            .read(|machine, _| machine.find_class_by_name(class_name))
            .ok_or(ResultCode::NoTarget)?;
        Ok(RouteDecision {
            route: route.name.clone(),
            version: table.get_version(),
            service,
            class,
            kind: route.kind,
            timeout: route.timeout,
            objective: route.objective,
            needs_identity: table.get_workspaces().is_some(),
            workspace,
        })
    }

    /// Puts a configuration in force; returns false if it is not newer than the
    /// one in force.
    pub(crate) fn apply_routes(self: &Rc<Self>, mut table: RouteTable, source: &str) -> bool {
        if self.routes.borrow().is_some() && table.get_version() <= self.get_version() {
            return false;
        }
        let now = self.clock.now();
        table.rotate_splits(rand::rng().random_range(0..Self::ROTATION_STEPS));
        self.journal.record(EventKind::RevisionInForce {
            revision: table.get_version(),
            author: "operator".into(),
            source: source.into(),
        });
        let workspaces = table.get_workspaces();
        for fault in workspaces.map_or(&[][..], WorkspaceTable::get_faults) {
            log::error!(target: STATE_LOG_TARGET, version = table.get_version(); "{fault}");
        }
        let services = table.get_services();
        self.set_cold_rates(services.iter().any(|service| service.cold.is_some()));
        for declared in services {
            let classes = table.collect_classes(&declared.name);
            self.declare(now, declared.clone(), classes);
        }
        self.proofs.borrow_mut().set_revision(table.get_version());
        self.declare_limits(&table);
        *self.routes.borrow_mut() = Some(table);
        self.list_limit_members();
        self.apply_all();
        self.notify_loaded();
        self.peers.request_round();
        true
    }
}
