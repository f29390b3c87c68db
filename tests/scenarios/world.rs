//! The fleet of a scenario and what is under way in it.

use crate::caller::{client, send_confirm, show};
use gentianridge_core::TargetCondition;
use gentianridge_testkit::{
    CallOutcome, CallPlan, CallResult, Deployment, FleetOptions, LocalFleet, TargetStandIn,
    run_calls,
};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Time within which a condition has to come about.
const PATIENCE: Duration = Duration::from_secs(8);
const POLL: Duration = Duration::from_millis(20);

/// The state of one scenario.
#[derive(Default)]
pub(crate) struct World {
    fleet: Option<LocalFleet>,
    started: Vec<JoinHandle<String>>,
    load: Option<JoinHandle<Vec<CallResult>>>,
    stops: Vec<JoinHandle<anyhow::Result<()>>>,
    /// Requests a target had when new work was last asked for.
    seen: Vec<(String, u64)>,
}

/// Start and faults.
impl World {
    pub(crate) async fn start(&mut self, vms: usize) -> String {
        let options = FleetOptions::new(Deployment::SorteggioNero).vms(vms);
        self.fleet = Some(
            LocalFleet::start_ready(options)
                .await
                .expect("the fleet starts"),
        );
        "ready".to_owned()
    }

    pub(crate) async fn pass(&self, millis: usize) -> String {
        tokio::time::sleep(Duration::from_millis(millis as u64)).await;
        "ok".to_owned()
    }

    pub(crate) fn fault_store(&self, fault: &str, millis: usize, writes: usize) -> String {
        let faults = self.fleet().platform.get_faults();
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

    pub(crate) fn fault_target(&self, at: &str, fault: &str, word: &str) -> String {
        apply_fault(self.target(at), fault, word);
        "ok".to_owned()
    }

    pub(crate) fn fault_service(&self, service: usize, fault: &str, word: &str) -> String {
        for target in &self.fleet().targets[service] {
            apply_fault(target, fault, word);
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

/// Calls.
impl World {
    pub(crate) async fn get(&self, vm: usize, path: &str, count: usize) -> String {
        let mut shown = Vec::new();
        for _ in 0..count {
            let url = format!("http://{}{path}", self.fleet().vms[vm - 1].get_callers());
            let response = client().get(url).send().await;
            shown.push(show(response).await);
        }
        shown.dedup();
        shown.join("\n")
    }

    pub(crate) async fn confirm(&self, vm: usize, key: &str, body: &str) -> String {
        send_confirm(
            self.fleet().vms[vm - 1].get_callers(),
            key.to_owned(),
            body.to_owned(),
        )
        .await
    }

    /// Sends a confirmation and waits until it runs.
    pub(crate) async fn start_confirm(&mut self, vm: usize, key: &str) -> String {
        let addr = self.fleet().vms[vm - 1].get_callers();
        let task = tokio::spawn(send_confirm(addr, key.to_owned(), String::new()));
        self.started.push(task);
        let runs = self.fleet().runs.clone();
        wait_for("the start of the run", || runs.count(key) > 0).await;
        "running".to_owned()
    }

    pub(crate) fn start_pull(&mut self, vm: usize) -> String {
        let url = format!(
            "http://{}/past/history",
            self.fleet().vms[vm - 1].get_callers()
        );
        let task = tokio::spawn(async move { show(client().get(url).send().await).await });
        self.started.push(task);
        "sent".to_owned()
    }

    pub(crate) async fn end_started(&mut self) -> String {
        let mut shown = Vec::new();
        for task in self.started.drain(..) {
            shown.push(task.await.expect("the task ends"));
        }
        shown.join("\n")
    }

    pub(crate) fn count_runs(&self, key: &str) -> String {
        self.fleet().runs.count(key).to_string()
    }

    pub(crate) fn start_load(&mut self, per_second: usize, millis: usize) -> String {
        let count = per_second * millis / 1_000;
        let plan =
            CallPlan::at_constant_rate("open", "/recipient/open", count as u64, per_second as u64);
        let addrs = self.fleet().get_callers();
        self.load = Some(tokio::spawn(run_calls(plan, addrs)));
        "started".to_owned()
    }

    /// Waits for the load and counts calls that failed after a time.
    pub(crate) async fn end_load(&mut self, after_ms: u64) -> String {
        let load = self.load.take().expect("a load was started");
        let results = load.await.expect("the load ends");
        let after = Duration::from_millis(after_ms);
        let failed = results
            .iter()
            .filter(|result| result.run != CallOutcome::Answered && result.at >= after)
            .count();
        let wrong = results
            .iter()
            .filter(|result| result.run == CallOutcome::Wrong)
            .count();
        format!("failed {failed}, wrong {wrong}")
    }
}

/// Files.
impl World {
    pub(crate) async fn submit(&self, vm: usize, base: u64, drain: &str) -> String {
        let text = drained(&self.fleet().write_file(), drain);
        let base = (base > 0).then_some(base);
        let answer = self.fleet().submit_through(vm - 1, &text, base).await;
        match answer {
            Ok(answer) => format!("{:?} {}", answer.verdict, answer.revision),
            Err(_) => "no answer".to_owned(),
        }
    }

    /// Two operators submit at once through the first and the last VM.
    pub(crate) async fn race(&self) -> String {
        let fleet = self.fleet();
        let base = Some(fleet.vms[0].get_revision().await);
        let text = fleet.write_file();
        let last = fleet.vms.len() - 1;
        let (a, b) = tokio::join!(
            fleet.submit_through(0, &text, base),
            fleet.submit_through(last, &text, base)
        );
        let mut shown: Vec<String> = [a, b]
            .into_iter()
            .map(|answer| format!("{:?}", answer.expect("an answer").verdict))
            .collect();
        shown.sort();
        shown.join("\n")
    }

    /// Waits until a revision is in force on every VM.
    pub(crate) async fn wait_revision(&self, revision: u64) -> String {
        self.fleet()
            .wait_revision(revision)
            .await
            .expect("in force in time");
        let mut shown = Vec::new();
        for vm in &self.fleet().vms {
            shown.push(vm.get_revision().await.to_string());
        }
        shown.dedup();
        shown.join(" ")
    }
}

/// What the fleet shows.
impl World {
    /// Counts the requests of a target since it was last asked for.
    pub(crate) fn count_new_work(&mut self, at: &str) -> String {
        let now = self.target(at).count_requests();
        let known = self.seen.iter().position(|(name, _)| name == at);
        let before = match known {
            Some(index) => std::mem::replace(&mut self.seen[index].1, now),
            None => {
                self.seen.push((at.to_owned(), now));
                0
            }
        };
        (now - before).to_string()
    }

    /// Waits until a VM sees a target in a condition.
    pub(crate) async fn condition(&self, vm: usize, at: &str, wanted: &str) -> String {
        let (service, target) = split(at);
        let started = Instant::now();
        loop {
            let client = self.fleet().client(vm - 1).expect("a client");
            let status = client.status().await.expect("a status");
            let found = word_of(status.services[service].targets[target].condition);
            if found == wanted || started.elapsed() > PATIENCE {
                return found.to_owned();
            }
            tokio::time::sleep(POLL).await;
        }
    }

    pub(crate) fn count_lost(&self, service: usize) -> String {
        let lost = self.fleet().targets[service]
            .iter()
            .filter(|target| target.get_faults().is_crashed());
        lost.count().to_string()
    }

    /// Says whether any VM has recorded an event of the kind.
    pub(crate) async fn count_events(&self, kind: &str) -> String {
        let mut found = 0;
        for vm in &self.fleet().vms {
            let url = format!("http://{}/v1/timeline", vm.get_operators());
            let sent = client()
                .get(url)
                .bearer_auth(self.fleet().get_token())
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

    fn fleet(&self) -> &LocalFleet {
        self.fleet
            .as_ref()
            .expect("the scenario starts with a fleet")
    }

    fn target(&self, at: &str) -> &TargetStandIn {
        let (service, target) = split(at);
        &self.fleet().targets[service][target]
    }
}

fn apply_fault(target: &TargetStandIn, fault: &str, word: &str) {
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
        "crash-on" => faults.crash_on(Some(word)),
        "silence" => target.silence_connections(),
        other => panic!("unknown fault of a target {other}"),
    }
}

/// Drains the target with the given name.
fn drained(text: &str, target: &str) -> String {
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
        assert!(started.elapsed() < PATIENCE, "{what} did not come");
        tokio::time::sleep(POLL).await;
    }
}

fn split(at: &str) -> (usize, usize) {
    let (service, target) = at.split_once('.').expect("a target as SERVICE.TARGET");
    let service = service.parse().expect("the number of a service");
    let target: usize = target.parse().expect("the number of a target");
    (service, target - 1)
}

fn word_of(condition: TargetCondition) -> &'static str {
    match condition {
        TargetCondition::Active => "active",
        TargetCondition::Ejected => "ejected",
        TargetCondition::Leaving => "leaving",
        TargetCondition::Drained => "drained",
    }
}
