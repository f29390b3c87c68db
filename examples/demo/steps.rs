//! Drains and kills targets during the load, and prints totals after it.

use gentianridge_testkit::LocalFleet;
use std::time::Duration;

/// Drains one target and kills another at fixed times, and prints progress.
pub(crate) async fn run_steps(fleet: &LocalFleet, load: Duration) -> anyhow::Result<()> {
    for step in 0..6 {
        tokio::time::sleep(load / 6).await;
        let event = run_step(fleet, step).await?;
        let requests: u64 = fleet
            .targets
            .iter()
            .flatten()
            .map(|target| target.count_requests())
            .sum();
        println!(
            "  {:>3}%  {requests:>7} requests at the targets  {event}",
            (step + 1) * 100 / 6
        );
    }
    Ok(())
}

async fn run_step(fleet: &LocalFleet, step: usize) -> anyhow::Result<&'static str> {
    match step {
        1 => Ok("the load peak begins"),
        2 => {
            let drained = drain_first_target(&fleet.write_file());
            let answer = fleet.submit(&drained, None).await?;
            anyhow::ensure!(
                answer.revision == 2,
                "the drain was not accepted: {answer:?}"
            );
            Ok("a submitted file drains the first target")
        }
        3 => {
            fleet.targets[0][1].kill();
            Ok("the load peak ends; the second target is killed")
        }
        _ => Ok(""),
    }
}

/// Adds `drain = yes` to the first target of the file.
fn drain_first_target(text: &str) -> String {
    let keys = "drain = yes\nreason = the disk is replaced\nauthor = demo";
    match text.find("slots = ") {
        Some(at) => format!("{}{keys}\n{}", &text[..at], &text[at..]),
        None => text.to_owned(),
    }
}

/// Prints the counters that the VMs report, and those of the stand-ins.
pub(crate) async fn print_totals(fleet: &LocalFleet, load: Duration) -> anyhow::Result<()> {
    let mut probes = 0;
    let mut counts: Vec<(String, u64, u64, u64)> = Vec::new();
    for vm in 0..fleet.vms.len() {
        let status = fleet.client(vm)?.status().await?;
        for service in &status.services {
            probes += service.counters.probes;
            let name = service.name.to_string();
            let index = match counts.iter().position(|(known, ..)| *known == name) {
                Some(index) => index,
                None => {
                    counts.push((name, 0, 0, 0));
                    counts.len() - 1
                }
            };
            counts[index].1 += service.counters.retries;
            counts[index].2 += service.counters.hedges;
            counts[index].3 += service.counters.sheds;
        }
    }
    for (name, retries, hedges, sheds) in &counts {
        println!("{name:<12} retries {retries:>5}  hedges {hedges:>5}  sheds {sheds:>5}");
    }
    let budget = 4 * counts.len() as u64 * load.as_secs();
    println!("probes {probes} of at most {budget} allowed by the file");
    println!("doubled confirmations: {}", fleet.runs.count_duplicates());
    println!(
        "store: {} writes and {} reads for {} confirmations",
        fleet.platform.count_writes(),
        fleet.platform.count_reads(),
        fleet.runs.len()
    );
    println!("next: README.md on files of your own, docs/OPERATORS-GUIDE.md on operation");
    Ok(())
}

/// Prints the addresses of the VMs and commands to try.
pub(crate) fn print_addresses(fleet: &LocalFleet) {
    println!("\nthe fleet is still running; press Ctrl-C to stop it");
    for vm in &fleet.vms {
        println!(
            "  {:<5} callers http://{}  operators {}",
            vm.get_name(),
            vm.get_callers(),
            vm.get_operators()
        );
    }
    let first = &fleet.vms[0];
    let path = fleet.get_services()[0].classes[1].path;
    println!("  curl -i http://{}{path}", first.get_callers());
    println!(
        "  cargo run --release -p gentianridge-cli -- status --to {} --token {}",
        first.get_operators(),
        fleet.get_token()
    );
}
