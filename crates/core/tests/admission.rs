//! The order of admission at a full service, replayed against loads that callers bring.

mod common;

use common::crowd::{Crowd, Load};
use common::{Harness, ONCE, SHORT, Sent, make_spec};
use gentianridge_core::{ResultCode, ServiceSpec, WorkspaceKey};
use std::time::Duration;

/// Time within which answers meet the objective in these tests.
const OBJECTIVE_MS: u64 = 600;
/// Time for which callers wait.
const PATIENCE_MS: u64 = 3_000;
/// Time that the work of a request takes.
const WORK_MS: u64 = 100;

/// One service with an objective on few slots.
fn make_full_spec(slots: u16) -> ServiceSpec {
    let mut spec = make_spec(slots.into(), 1);
    for class in &mut spec.classes {
        class.objective = Some(Duration::from_millis(OBJECTIVE_MS));
        class.deadline = Duration::from_millis(PATIENCE_MS);
    }
    spec
}

fn make_load(per_second: u64) -> Load {
    Load {
        per_second,
        work_ms: WORK_MS,
        patience_ms: PATIENCE_MS,
        objective_ms: OBJECTIVE_MS,
        ..Load::of_class(SHORT)
    }
}

/// Sends a request of a caller that states its time left, and which is dispatched at once.
fn send_stating(harness: &mut Harness, left_ms: u64) -> Sent {
    let call = harness.arrive_stating(SHORT, left_ms);
    harness.get_last_attempt(call)
}

/// Sends requests of both kinds, so that the service knows how long their work takes.
fn learn_work(harness: &mut Harness) {
    for _ in 0..60 {
        for class in [SHORT, ONCE] {
            let sent = harness.send(class);
            harness.advance(WORK_MS);
            harness.answer(sent);
        }
    }
}

/// Twice as many requests come as the slots can serve: nearly every slot's work is in time,
/// and who is turned away learns it early.
#[test]
fn crest_in_time() {
    let mut crowd = Crowd::new(make_full_spec(4));
    crowd.run(&[make_load(10)], 3_000);
    let before = crowd.count();
    crowd.run(&[make_load(80)], 10_000);
    let after = crowd.count();
    let served = after.in_time + after.late - before.in_time - before.late;
    let in_time = after.in_time - before.in_time;
    assert!(served >= 380, "{served} of 400 slots' worth served");
    assert!(
        in_time * 100 >= served * 85,
        "{in_time} of {served} in time"
    );
    let longest = crowd.get_longest_refused_wait();
    assert!(
        longest <= Duration::from_millis(OBJECTIVE_MS * 3 / 4),
        "a caller was turned away after {longest:?}"
    );
}

/// A caller that comes back late does not take the slot of one that can still be in time.
#[test]
fn returned_behind_first() {
    let mut harness = Harness::with_spec(make_full_spec(1));
    for _ in 0..20 {
        let sent = send_stating(&mut harness, PATIENCE_MS);
        harness.advance(WORK_MS);
        harness.answer(sent);
    }
    let running = send_stating(&mut harness, PATIENCE_MS);
    let returned = harness.arrive_stating(SHORT, PATIENCE_MS - 1_000);
    let first = harness.arrive_stating(SHORT, PATIENCE_MS);
    harness.advance(WORK_MS);
    harness.answer(running);
    assert!(harness.is_sent(first));
    assert!(!harness.is_sent(returned));
}

/// While the service turns calls away that could have been in time, a late one does not
/// even wait for the next slot.
#[test]
fn late_gives_way() {
    let mut harness = Harness::with_spec(make_full_spec(1));
    for _ in 0..20 {
        let sent = send_stating(&mut harness, PATIENCE_MS);
        harness.advance(WORK_MS);
        harness.answer(sent);
    }
    let running = send_stating(&mut harness, PATIENCE_MS);
    let calls = [(); 8].map(|()| harness.arrive_stating(SHORT, PATIENCE_MS));
    assert!(calls.iter().any(|call| harness.get_code(*call).is_some()));
    for call in calls {
        harness.cancel(call);
    }
    let late = harness.arrive_stating(SHORT, PATIENCE_MS - 1_000);
    assert_eq!(harness.get_code(late), Some(ResultCode::GaveWay));
    harness.advance(WORK_MS);
    harness.answer(running);
    let late = harness.arrive_stating(SHORT, PATIENCE_MS - 1_000);
    assert!(harness.is_sent(late), "a free slot is used");
}

/// Callers that differ in how long they wait are not taken for ones that come back.
#[test]
fn unlike_patience() {
    let mut harness = Harness::with_spec(make_full_spec(1));
    for round in 0..40 {
        let sent = send_stating(&mut harness, PATIENCE_MS - 40 * (round % 20));
        harness.advance(WORK_MS);
        harness.answer(sent);
    }
    let running = send_stating(&mut harness, PATIENCE_MS);
    let short = harness.arrive_stating(SHORT, PATIENCE_MS - 700);
    let long = harness.arrive_stating(SHORT, PATIENCE_MS);
    harness.advance(WORK_MS);
    harness.answer(running);
    assert!(harness.is_sent(short), "the first that came goes first");
    assert!(!harness.is_sent(long));
}

/// A call that more urgent ones leave without a chance is refused then, and told why.
#[test]
fn gives_way() {
    let mut spec = make_full_spec(1);
    spec.classes[0].priority = 1;
    let mut harness = Harness::with_spec(spec);
    learn_work(&mut harness);
    let running = harness.send(SHORT);
    let low = harness.arrive_within(SHORT, PATIENCE_MS);
    assert_eq!(harness.get_code(low), None);
    let urgent: Vec<_> = (0..3)
        .map(|_| harness.arrive_within(ONCE, PATIENCE_MS))
        .collect();
    assert_eq!(harness.get_code(low), Some(ResultCode::GaveWay));
    harness.advance(WORK_MS);
    harness.answer(running);
    assert!(harness.is_sent(urgent[0]));
}

/// Waiting calls that are less urgent don't keep an urgent one out.
#[test]
fn urgent_not_kept_out() {
    let mut spec = make_full_spec(1);
    spec.classes[0].priority = 1;
    let mut harness = Harness::with_spec(spec);
    learn_work(&mut harness);
    harness.send(SHORT);
    for _ in 0..4 {
        harness.arrive_within(SHORT, PATIENCE_MS);
    }
    let urgent = harness.arrive_within(ONCE, PATIENCE_MS);
    assert_eq!(harness.get_code(urgent), None);
}

/// A less urgent kind is never served better than a more urgent one of the same service.
#[test]
fn urgent_served_better() {
    let mut spec = make_full_spec(4);
    spec.classes[0].priority = 1;
    let mut crowd = Crowd::new(spec);
    let urgent = Load {
        class: ONCE,
        ..make_load(30)
    };
    crowd.run(&[make_load(30), urgent], 10_000);
    let (low, high) = (crowd.get_served_share(SHORT), crowd.get_served_share(ONCE));
    assert!(high >= low, "urgent {high:.2}, less urgent {low:.2}");
    assert!(high >= 0.95, "urgent {high:.2}");
}

/// A part of the callers comes back at once and often; the others are served as well as
/// without them.
#[test]
fn abuse_of_retries() {
    let share_of = |abuse: u64| {
        let mut crowd = Crowd::new(make_full_spec(4));
        crowd.run(&[make_load(10)], 3_000);
        let abusers = Load {
            retries: 8,
            is_impatient: true,
            ..make_load(abuse)
        };
        let before = crowd.count_patient().in_time;
        crowd.run(&[make_load(40), abusers], 10_000);
        crowd.count_patient().in_time - before
    };
    let (calm, abused) = (share_of(1), share_of(20));
    assert!(
        abused * 10 >= calm * 6,
        "{abused} in time at the first attempt, {calm} without abuse"
    );
}

/// One workspace sends many times its usual; the others are served as before.
#[test]
fn hot_workspace() {
    let mut crowd = Crowd::new(make_full_spec(4));
    let quiet: Vec<WorkspaceKey> = (0..4)
        .map(|index| WorkspaceKey::from_name(&format!("quiet-{index}")))
        .collect();
    let mut loads: Vec<Load> = quiet
        .iter()
        .map(|workspace| Load {
            workspace: Some(*workspace),
            ..make_load(5)
        })
        .collect();
    loads.push(Load {
        workspace: Some(WorkspaceKey::from_name("hot")),
        ..make_load(100)
    });
    crowd.run(&loads, 10_000);
    for workspace in quiet {
        let share = crowd.get_share_of(workspace);
        assert!(share >= 0.9, "{share:.2} of a quiet workspace in time");
    }
    let hot = crowd.get_share_of(WorkspaceKey::from_name("hot"));
    assert!(hot >= 0.1, "the hot workspace gets what is left: {hot:.2}");
}

/// Callers that give up take no slot, and their turns go to others.
#[test]
fn callers_give_up() {
    let mut crowd = Crowd::new(make_full_spec(4));
    let leaving = Load {
        gives_up_ms: Some(150),
        ..make_load(40)
    };
    crowd.run(&[make_load(30), leaving], 10_000);
    let share = crowd.get_served_share(SHORT);
    assert!(share >= 0.5, "{share:.2} of those that stay");
    assert_eq!(crowd.count_sent_after_leaving(), 0);
}

/// Long work of a kind with the same rank is served beside much short work.
#[test]
fn long_not_starved() {
    let mut crowd = Crowd::new(make_full_spec(4));
    let long = Load {
        class: ONCE,
        work_ms: 3 * WORK_MS,
        ..make_load(3)
    };
    crowd.run(&[make_load(60), long], 10_000);
    let (short, long) = (crowd.get_served_share(SHORT), crowd.get_served_share(ONCE));
    assert!(long >= short / 2.0, "long {long:.2}, short {short:.2}");
}

/// After a crest nothing is left that would delay the next callers.
#[test]
fn calm_after_crest() {
    let mut crowd = Crowd::new(make_full_spec(4));
    crowd.run(&[make_load(120)], 4_000);
    crowd.run(&[], PATIENCE_MS);
    let before = crowd.count();
    crowd.run(&[make_load(20)], 4_000);
    let after = crowd.count();
    assert_eq!(after.refused, before.refused);
    assert_eq!(after.late, before.late);
    assert!(!crowd.has_lost());
}
