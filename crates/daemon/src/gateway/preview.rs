//! Previews: where a request would go now, without sending it.

use super::auxiliary::AuxiliaryResponse;
use super::state::Gateway;
use crate::service::ServiceHandle;
use gentianridge_api::{PreviewAnswer, PreviewCandidate, PreviewOutcome, PreviewRequest};
use gentianridge_core::{
    Arrival, Candidate, ClassKey, ClassKind, Preview, PreviewStep, ResultCode, WorkspaceKey,
};
use http::StatusCode;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Duration;

/// Largest request for a preview in bytes; hosts and paths are shorter than a head.
const MAX_REQUEST_BYTES: usize = 64 * 1024;

/// Answers a request for a preview.
pub(super) async fn answer_preview(
    gateway: &Gateway,
    request: http::Request<Incoming>,
) -> AuxiliaryResponse {
    let body = Limited::new(request.into_body(), MAX_REQUEST_BYTES);
    let request = match body.collect().await {
        Ok(body) => serde_json::from_slice(&body.to_bytes()).map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    let answer = request.and_then(|request| {
        serde_json::to_vec(&gateway.preview(&request)).map_err(|error| error.to_string())
    });
    match answer {
        Ok(answer) => http::Response::new(Full::from(answer)),
        Err(error) => {
            let mut response = http::Response::new(Full::from(format!("{error}\n")));
            *response.status_mut() = StatusCode::BAD_REQUEST;
            response
        }
    }
}

/// Service and class of a previewed request, with the settings of its route.
struct PreviewRoute {
    route: SmolStr,
    service: Arc<ServiceHandle>,
    class_name: SmolStr,
    class: ClassKey,
    kind: ClassKind,
    timeout: Duration,
    workspace: Option<WorkspaceKey>,
}

impl Gateway {
    /// Decides what would happen to a request, without taking its place in a split, in a
    /// queue or in a budget.
    fn preview(&self, request: &PreviewRequest) -> PreviewAnswer {
        let now = self.clock.now();
        let list_age = self.list.borrow().get_age(now);
        let mut answer = PreviewAnswer {
            vm: self.get_settings().vm.clone(),
            version: self.get_version(),
            list_age_ms: list_age.map(|age| age.as_millis() as u64),
            route: None,
            service: None,
            class: None,
            outcome: PreviewOutcome::Waits,
            ahead: 0,
            wait_ms: 0,
            usual_ms: 0,
            candidates: Vec::new(),
        };
        let route = match self.find_preview_route(request) {
            Ok(route) => route,
            Err(code) => {
                answer.outcome = make_refusal(code);
                return answer;
            }
        };
        let time_left = request.deadline_ms.map(Duration::from_millis);
        let arrival = Arrival {
            class: route.class,
            kind: route.kind,
            deadline: now + time_left.map_or(route.timeout, |left| left.min(route.timeout)),
            time_left,
            is_replayable: true,
            workspace: route.workspace,
        };
        let preview = route
            .service
            .read(|machine, now| machine.preview(now, arrival));
        answer.route = Some(route.route);
        answer.service = Some(route.service.name.clone());
        answer.class = Some(route.class_name);
        fill_answer(&mut answer, preview);
        if let Some(code) = self.find_early_refusal(request) {
            answer.outcome = make_refusal(code);
        }
        answer
    }

    /// Returns the code of a refusal before the request reaches its service, if there is one.
    fn find_early_refusal(&self, request: &PreviewRequest) -> Option<ResultCode> {
        if self.is_stopping() {
            return Some(ResultCode::Stopping);
        }
        let is_too_large = request.body_bytes > self.get_limits().max_body_bytes as u64;
        is_too_large.then_some(ResultCode::TooLarge)
    }

    fn find_preview_route(&self, request: &PreviewRequest) -> Result<PreviewRoute, ResultCode> {
        let routes = self.routes.borrow();
        let table = routes.as_ref().ok_or(ResultCode::NoConfiguration)?;
        let key = table
            .find(&request.host, &request.path)
            .ok_or(ResultCode::NoService)?;
        let named = request.workspace.as_deref();
        let workspace = table.get_workspaces().and_then(|workspaces| {
            let all = workspaces.get_all().iter();
            all.clone()
                .find(|workspace| Some(&*workspace.name) == named)
        });
        let route = table.get(key);
        if table.get_workspaces().is_some() && workspace.is_none() && !route.is_public {
            return Err(ResultCode::UnknownKey);
        }
        if workspace.is_some() && !self.is_serving_keys() {
            return Err(ResultCode::KeyUnproven);
        }
        let name = table.peek_service(key).ok_or(ResultCode::NoTarget)?;
        let service = self.find_service(&name).ok_or(ResultCode::NoTarget)?;
        let class_name = table
            .get_class_name(key, workspace.map(|workspace| &**workspace))
            .ok_or(ResultCode::NoTarget)?;
        let class = service
            .read(|machine, _| machine.find_class_by_name(class_name))
            .ok_or(ResultCode::NoTarget)?;
        Ok(PreviewRoute {
            route: route.name.clone(),
            service,
            class_name: class_name.clone(),
            class,
            kind: route.kind,
            timeout: route.timeout,
            workspace: workspace.map(|workspace| WorkspaceKey::from_name(&workspace.name)),
        })
    }
}

fn fill_answer(answer: &mut PreviewAnswer, preview: Preview) {
    answer.outcome = match preview.step {
        PreviewStep::Sent(target) => PreviewOutcome::Sent { target },
        PreviewStep::Sampled => PreviewOutcome::Sampled,
        PreviewStep::Waits => PreviewOutcome::Waits,
        PreviewStep::Refused(code) => make_refusal(code),
    };
    answer.ahead = preview.ahead;
    answer.wait_ms = preview.wait.as_millis() as u64;
    answer.usual_ms = preview.usual.as_millis() as u64;
    answer.candidates = preview.candidates.into_iter().map(make_candidate).collect();
}

fn make_refusal(code: ResultCode) -> PreviewOutcome {
    PreviewOutcome::Refused {
        code: code.number(),
    }
}

fn make_candidate(candidate: Candidate) -> PreviewCandidate {
    PreviewCandidate {
        target: candidate.target,
        domain: candidate.domain,
        obstacle: candidate.obstacle.map(|obstacle| obstacle.as_str().into()),
        score: candidate.score,
        own: candidate.own,
        occupancy: candidate.occupancy,
        slots: candidate.slots,
        slowness: candidate.slowness,
        work_percent: candidate.work_percent,
        report_age_ms: candidate.report_age.map(|age| age.as_millis() as u64),
        is_near: candidate.is_near,
    }
}
