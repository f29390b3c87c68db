//! The directives of a scenario.

use crate::world::World;
use datadriven::TestCase;

/// Runs one directive and returns what it shows.
pub(crate) async fn run_case(world: &mut World, case: &TestCase) -> String {
    let args = Args { case };
    let shown = match case.directive.as_str() {
        "fleet" => world.start(args.number("vms", 3)).await,
        "pass" => world.pass(args.number("ms", 0)).await,
        "store" => world.fault_store(
            &args.first(),
            args.number("ms", 0),
            args.number("writes", 1),
        ),
        "target" => world.fault_target(&args.text("at"), &args.first(), &args.text("word")),
        "service" => world.fault_service(args.number("at", 0), &args.first(), &args.text("word")),
        "vm" => world.change_vm(&args.first(), args.number("at", 1)).await,
        "get" => {
            let path = path_of(&args.text("call"), &args.text("word"));
            world
                .get(args.number("vm", 1), &path, args.number("count", 1))
                .await
        }
        "confirm" => {
            let (vm, key, body) = (args.number("vm", 1), args.text("key"), args.text("body"));
            world.confirm(vm, &key, &body).await
        }
        "start-confirm" => {
            world
                .start_confirm(args.number("vm", 1), &args.text("key"))
                .await
        }
        "start-pull" => world.start_pull(args.number("vm", 1)),
        "end" => world.end_started().await,
        "runs" => world.count_runs(&args.text("key")),
        "load" => world.start_load(args.number("per-second", 100), args.number("ms", 1_000)),
        "load-end" => world.end_load(args.number("after-ms", 0) as u64).await,
        "submit" => {
            world
                .submit(
                    args.number("vm", 1),
                    args.number("base", 0) as u64,
                    &args.text("drain"),
                )
                .await
        }
        "race" => world.race().await,
        "revision" => world.wait_revision(args.number("is", 1) as u64).await,
        "mark-work" => {
            world.count_new_work(&args.text("at"));
            "ok".to_owned()
        }
        "new-work" => world.count_new_work(&args.text("at")),
        "condition" => {
            world
                .condition(args.number("vm", 1), &args.text("at"), &args.text("is"))
                .await
        }
        "lost-targets" => world.count_lost(args.number("service", 0)),
        "events" => world.count_events(&args.text("kind")).await,
        other => panic!("unknown directive {other}; see docs/SCENARIOS.md"),
    };
    format!("{shown}\n")
}

/// Arguments of a directive.
struct Args<'a> {
    case: &'a TestCase,
}

impl Args<'_> {
    /// The word right after the directive.
    fn first(&self) -> String {
        let mut words: Vec<&String> = self
            .case
            .args
            .iter()
            .filter(|(_, values)| values.is_empty())
            .map(|(name, _)| name)
            .collect();
        assert!(words.len() <= 1, "more than one word without a value");
        words.pop().cloned().unwrap_or_default()
    }

    fn text(&self, name: &str) -> String {
        self.case
            .args
            .get(name)
            .and_then(|values| values.first())
            .cloned()
            .unwrap_or_default()
    }

    fn number(&self, name: &str, default: usize) -> usize {
        let text = self.text(name);
        if text.is_empty() {
            return default;
        }
        text.parse()
            .unwrap_or_else(|_| panic!("{name}={text} is no number"))
    }
}

/// Path of a call by the name of its class, since values hold no slashes.
fn path_of(call: &str, word: &str) -> String {
    let path = match call {
        "open" => "/recipient/open",
        "list" => "/past/list",
        "pull" => "/past/history",
        other => panic!("unknown call {other}"),
    };
    if word.is_empty() {
        path.to_owned()
    } else {
        format!("{path}?{word}")
    }
}
