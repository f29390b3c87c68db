//! The fleet of a scenario, and the calls, loads and stops in progress.

use crate::caller::{build_client, format_outcome, send_confirm};
use gentianridge_core::TargetCondition;
use gentianridge_testkit::{
    CallOutcome, CallPlan, CallResult, Deployment, FleetOptions, LocalFleet, TargetStandIn,
    run_calls,
};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Timeout of waits for a condition.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(8);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The state of one scenario.
#[derive(Default)]
pub(crate) struct Scenario {
    fleet: Option<LocalFleet>,
    started: Vec<JoinHandle<String>>,
    load: Option<JoinHandle<Vec<CallResult>>>,
    stops: Vec<JoinHandle<anyhow::Result<()>>>,
    /// Requests that each target had received at the last `mark-work` or `new-work`.
    request_counts: Vec<(String, u64)>,
}

/// Starts the fleet and injects faults.
impl Scenario {
    pub(crate) async fn start(&mut self, vms: usize) -> String {
        let options = FleetOptions::new(Deployment::SorteggioNero).vms(vms);
        self.fleet = Some(
            LocalFleet::start_ready(options)
                .await
                .expect("the fleet starts"),
        );
        "ready".to_owned()
    }

    pub(crate) async fn sleep(&self, millis: usize) -> String {
        tokio::time::sleep(Duration::from_millis(millis as u64)).await;
        "ok".to_owned()
    }

    pub(crate) fn inject_store_fault(&self, fault: &str, millis: usize, writes: usize) -> String {
        let faults = self.get_fleet().platform.get_faults();
        match fault {
            "down" => faults.set_down(true),
            "up" => {
                faults.set_down(false);
                faults.set_silent(false);
                faults.set_latency(Duration::from_millis(2));
            }
            "slow" => faults.set_latency(Duration::from_millis(millis as u64)),
            "lose-reply" => faults.lose_write_answers(writes as u32),
            "silent" => faults.set_silent(true),
            other => panic!("unknown fault of the store {other}"),
        }
        "ok".to_owned()
    }

    pub(crate) fn inject_target_fault(&self, at: &str, fault: &str, crash_text: &str) -> String {
        apply_fault(self.get_target(at), fault, crash_text);
        "ok".to_owned()
    }

    pub(crate) fn inject_service_fault(
        &self,
        service: usize,
        fault: &str,
        crash_text: &str,
    ) -> String {
        for target in &self.get_fleet().targets[service] {
            apply_fault(target, fault, crash_text);
        }
        "ok".to_owned()
    }

    pub(crate) async fn change_vm(&mut self, change: &str, at: usize) -> String {
        let fleet = self
            .fleet
            .as_mut()
            .expect("the scenario starts with a fleet");
        match change {
            "kill" => fleet.vms.remove(at - 1).kill(),
            "stop" => {
                let vm = fleet.vms.remove(at - 1);
                self.stops.push(tokio::spawn(vm.stop()));
            }
            "add" => fleet.add_vm().await.expect("a new VM"),
            "wait-stop" => {
                for stop in self.stops.drain(..) {
                    stop.await.expect("the task ends").expect("the stop ends");
                }
            }
            other => panic!("unknown change of a VM {other}"),
        }
        "ok".to_owned()
    }
}

/// Sends calls and loads.
impl Scenario {
    pub(crate) async fn get(&self, vm: usize, path: &str, count: usize) -> String {
        let mut output = Vec::new();
        for _ in 0..count {
            let url = format!(
                "http://{}{path}",
                self.get_fleet().vms[vm - 1].get_callers()
            );
            let response = build_client().get(url).send().await;
            output.push(format_outcome(response).await);
        }
        output.dedup();
        output.join("\n")
    }

    pub(crate) async fn confirm(&self, vm: usize, key: &str, body: &str) -> String {
        send_confirm(
            self.get_fleet().vms[vm - 1].get_callers(),
            key.to_owned(),
            body.to_owned(),
        )
        .await
    }

    /// Sends a confirmation and waits until it runs.
    pub(crate) async fn start_confirm(&mut self, vm: usize, key: &str) -> String {
        let addr = self.get_fleet().vms[vm - 1].get_callers();
        let task = tokio::spawn(send_confirm(addr, key.to_owned(), String::new()));
        self.started.push(task);
        let runs = self.get_fleet().runs.clone();
        wait_for("the start of the run", || runs.count(key) > 0).await;
        "running".to_owned()
    }

    pub(crate) fn start_pull(&mut self, vm: usize) -> String {
        let url = format!(
            "http://{}/past/history",
            self.get_fleet().vms[vm - 1].get_callers()
        );
        let task =
            tokio::spawn(async move { format_outcome(build_client().get(url).send().await).await });
        self.started.push(task);
        "sent".to_owned()
    }

    pub(crate) async fn end_started(&mut self) -> String {
        let mut output = Vec::new();
        for task in self.started.drain(..) {
            output.push(task.await.expect("the task ends"));
        }
        output.join("\n")
    }

    pub(crate) fn count_runs(&self, key: &str) -> String {
        self.get_fleet().runs.count(key).to_string()
    }

    pub(crate) fn start_load(&mut self, per_second: usize, millis: usize) -> String {
        let count = per_second * millis / 1_000;
        let plan =
            CallPlan::at_constant_rate("open", "/recipient/open", count as u64, per_second as u64);
        let addrs = self.get_fleet().get_callers();
        self.load = Some(tokio::spawn(run_calls(plan, addrs)));
        "started".to_owned()
    }

    /// Waits for the end of the load and counts the calls that failed at `after_ms`
    /// or later.
    pub(crate) async fn end_load(&mut self, after_ms: u64) -> String {
        let load = self.load.take().expect("a load was started");
        let results = load.await.expect("the load ends");
        let after = Duration::from_millis(after_ms);
        let failed = results
            .iter()
            .filter(|result| result.outcome != CallOutcome::Answered && result.at >= after)
            .count();
        let wrong = results
            .iter()
            .filter(|result| result.outcome == CallOutcome::Wrong)
            .count();
        format!("failed {failed}, wrong {wrong}")
    }
}

/// Submits configuration files.
impl Scenario {
    pub(crate) async fn submit(&self, vm: usize, base: u64, drain: &str) -> String {
        let text = drain_target(&self.get_fleet().write_file(), drain);
        let base = (base > 0).then_some(base);
        let answer = self.get_fleet().submit_through(vm - 1, &text, base).await;
        match answer {
            Ok(answer) => format!("{:?} {}", answer.verdict, answer.revision),
            Err(_) => "no answer".to_owned(),
        }
    }

    /// Submits the file for two operators concurrently, through the first and the
    /// last VM.
    pub(crate) async fn race(&self) -> String {
        let fleet = self.get_fleet();
        let base = Some(fleet.vms[0].get_revision().await);
        let text = fleet.write_file();
        let last = fleet.vms.len() - 1;
        let (a, b) = tokio::join!(
            fleet.submit_through(0, &text, base),
            fleet.submit_through(last, &text, base)
        );
        let mut output: Vec<String> = [a, b]
            .into_iter()
            .map(|answer| format!("{:?}", answer.expect("an answer").verdict))
            .collect();
        output.sort();
        output.join("\n")
    }

    /// Waits until a revision is in force on every VM.
    pub(crate) async fn wait_revision(&self, revision: u64) -> String {
        self.get_fleet()
            .wait_revision(revision)
            .await
            .expect("the revision is in force");
        let mut output = Vec::new();
        for vm in &self.get_fleet().vms {
            output.push(vm.get_revision().await.to_string());
        }
        output.dedup();
        output.join(" ")
    }
}

/// Reads the state of the fleet.
impl Scenario {
    /// Counts the requests of a target since the last call for this target.
    pub(crate) fn count_new_requests(&mut self, at: &str) -> String {
        let now = self.get_target(at).count_requests();
        let index = self.request_counts.iter().position(|(name, _)| name == at);
        let before = match index {
            Some(index) => std::mem::replace(&mut self.request_counts[index].1, now),
            None => {
                self.request_counts.push((at.to_owned(), now));
                0
            }
        };
        (now - before).to_string()
    }

    /// Waits up to [`CONDITION_TIMEOUT`] until a VM has a target in a condition, and
    /// returns the condition that the VM has last reported.
    pub(crate) async fn wait_condition(&self, vm: usize, at: &str, wanted: &str) -> String {
        let (service, target) = parse_target(at);
        let started = Instant::now();
        loop {
            let client = self.get_fleet().client(vm - 1).expect("a client");
            let status = client.status().await.expect("a status");
            let found = get_condition_name(status.services[service].targets[target].condition);
            if found == wanted || started.elapsed() > CONDITION_TIMEOUT {
                return found.to_owned();
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    pub(crate) fn count_crashed(&self, service: usize) -> String {
        let crashed = self.get_fleet().targets[service]
            .iter()
            .filter(|target| target.get_faults().is_crashed());
        crashed.count().to_string()
    }

    /// Returns `seen` if any VM has recorded an event of the kind, else `none`.
    pub(crate) async fn check_event(&self, kind: &str) -> String {
        let mut found = 0;
        for vm in &self.get_fleet().vms {
            let url = format!("http://{}/v1/timeline", vm.get_operators());
            let sent = build_client()
                .get(url)
                .bearer_auth(self.get_fleet().get_token())
                .send()
                .await;
            let text = sent.expect("an answer").text().await.expect("a text");
            found += text.matches(&format!("\"kind\":\"{kind}\"")).count();
        }
        if found > 0 {
            "seen".to_owned()
        } else {
            "none".to_owned()
        }
    }

    fn get_fleet(&self) -> &LocalFleet {
        self.fleet
            .as_ref()
            .expect("the scenario starts with a fleet")
    }

    fn get_target(&self, at: &str) -> &TargetStandIn {
        let (service, target) = parse_target(at);
        &self.get_fleet().targets[service][target]
    }
}

fn apply_fault(target: &TargetStandIn, fault: &str, crash_text: &str) {
    let faults = target.get_faults();
    match fault {
        "kill" => target.kill(),
        "slow" => faults.set_slow_factor(10),
        "fail-fast" => faults.set_fail_fast(true),
        "leave" => faults.set_leaving(true),
        "heal" => {
            faults.set_slow_factor(1);
            faults.set_fail_fast(false);
            faults.set_leaving(false);
            faults.set_truncate_answers(false);
            faults.set_reported_in_flight(None);
            faults.crash_on(None);
        }
        "misreport" => faults.set_reported_in_flight(Some(0)),
        "truncate" => faults.set_truncate_answers(true),
        "crash-on" => faults.crash_on(Some(crash_text)),
        "silence" => target.silence_connections(),
        other => panic!("unknown fault of a target {other}"),
    }
}

/// Returns the file with the named target drained.
fn drain_target(text: &str, target: &str) -> String {
    if target.is_empty() {
        return text.to_owned();
    }
    let head = format!("[target {target}]\n");
    assert!(text.contains(&head), "{target} is not in the file");
    text.replace(&head, &format!("{head}drain = yes\nreason = scenario\n"))
}

async fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(
            started.elapsed() < CONDITION_TIMEOUT,
            "{what} did not occur within {CONDITION_TIMEOUT:?}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn parse_target(at: &str) -> (usize, usize) {
    let (service, target) = at.split_once('.').expect("a target as SERVICE.TARGET");
    let service = service.parse().expect("the number of a service");
    let target: usize = target.parse().expect("the number of a target");
    (service, target - 1)
}

fn get_condition_name(condition: TargetCondition) -> &'static str {
    match condition {
        TargetCondition::Active => "active",
        TargetCondition::Ejected => "ejected",
        TargetCondition::Leaving => "leaving",
        TargetCondition::Drained => "drained",
        TargetCondition::Emptied => "emptied",
        TargetCondition::Cold => "cold",
    }
}
