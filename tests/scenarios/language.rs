//! The directives of a scenario.

use crate::scenario::Scenario;
use datadriven::TestCase;

/// Runs one directive and returns its output.
pub(crate) async fn run_case(scenario: &mut Scenario, case: &TestCase) -> String {
    let args = Args { case };
    let output = match case.directive.as_str() {
        "fleet" => scenario.start(args.get_number("vms", 3)).await,
        "pass" => scenario.sleep(args.get_number("ms", 0)).await,
        "store" => scenario.inject_store_fault(
            &args.get_word(),
            args.get_number("ms", 0),
            args.get_number("writes", 1),
        ),
        "target" => scenario.inject_target_fault(
            &args.get_text("at"),
            &args.get_word(),
            &args.get_text("word"),
        ),
        "service" => scenario.inject_service_fault(
            args.get_number("at", 0),
            &args.get_word(),
            &args.get_text("word"),
        ),
        "vm" => {
            scenario
                .change_vm(&args.get_word(), args.get_number("at", 1))
                .await
        }
        "get" => {
            let path = get_call_path(&args.get_text("call"), &args.get_text("word"));
            scenario
                .get(args.get_number("vm", 1), &path, args.get_number("count", 1))
                .await
        }
        "confirm" => {
            let (vm, key, body) = (
                args.get_number("vm", 1),
                args.get_text("key"),
                args.get_text("body"),
            );
            scenario.confirm(vm, &key, &body).await
        }
        "start-confirm" => {
            scenario
                .start_confirm(args.get_number("vm", 1), &args.get_text("key"))
                .await
        }
        "start-pull" => scenario.start_pull(args.get_number("vm", 1)),
        "end" => scenario.end_started().await,
        "runs" => scenario.count_runs(&args.get_text("key")),
        "load" => scenario.start_load(
            args.get_number("per-second", 100),
            args.get_number("ms", 1_000),
        ),
        "load-end" => {
            scenario
                .end_load(args.get_number("after-ms", 0) as u64)
                .await
        }
        "submit" => {
            scenario
                .submit(
                    args.get_number("vm", 1),
                    args.get_number("base", 0) as u64,
                    &args.get_text("drain"),
                )
                .await
        }
        "race" => scenario.race().await,
        "revision" => {
            scenario
                .wait_revision(args.get_number("is", 1) as u64)
                .await
        }
        "mark-work" => {
            scenario.count_new_requests(&args.get_text("at"));
            "ok".to_owned()
        }
        "new-work" => scenario.count_new_requests(&args.get_text("at")),
        "condition" => {
            scenario
                .wait_condition(
                    args.get_number("vm", 1),
                    &args.get_text("at"),
                    &args.get_text("is"),
                )
                .await
        }
        "lost-targets" => scenario.count_crashed(args.get_number("service", 0)),
        "events" => scenario.check_event(&args.get_text("kind")).await,
        other => panic!("unknown directive {other}; see docs/SCENARIOS.md"),
    };
    format!("{output}\n")
}

/// Arguments of a directive.
struct Args<'a> {
    case: &'a TestCase,
}

impl Args<'_> {
    /// Returns the argument without a value, empty if there is none.
    fn get_word(&self) -> String {
        let mut names: Vec<&String> = self
            .case
            .args
            .iter()
            .filter(|(_, values)| values.is_empty())
            .map(|(name, _)| name)
            .collect();
        assert!(names.len() <= 1, "more than one argument without a value");
        names.pop().cloned().unwrap_or_default()
    }

    fn get_text(&self, name: &str) -> String {
        self.case
            .args
            .get(name)
            .and_then(|values| values.first())
            .cloned()
            .unwrap_or_default()
    }

    fn get_number(&self, name: &str, default: usize) -> usize {
        let text = self.get_text(name);
        if text.is_empty() {
            return default;
        }
        text.parse()
            .unwrap_or_else(|_| panic!("{name}={text} is not a number"))
    }
}

/// Returns the path for the name of a call, since values of arguments cannot
/// contain slashes.
fn get_call_path(call: &str, query: &str) -> String {
    let path = match call {
        "open" => "/recipient/open",
        "list" => "/past/list",
        "pull" => "/past/history",
        other => panic!("unknown call {other}"),
    };
    if query.is_empty() {
        path.to_owned()
    } else {
        format!("{path}?{query}")
    }
}
