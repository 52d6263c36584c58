//! Who is asked, who waits, and for how long what was said counts.
#![allow(missing_docs, reason = "tests are named for what they show")]

use marllink_server_state::{Command, Event, Knowledge, Settings};
use proptest::prelude::*;

type Known = Knowledge<u32, f64>;

fn on(known: &mut Known, now: f64, event: Event<u32, f64>) -> Vec<Command<u32>> {
    let mut out = Vec::new();
    known.handle(now, event, &mut out);
    out
}

fn want(known: &mut Known, now: f64, pick: u64, hosts: &[u32]) -> Vec<Command<u32>> {
    on(known, now, Event::Wanted { pick, hosts: hosts.to_vec() })
}

fn tell(known: &mut Known, now: f64, host: u32, load: f64) -> Vec<Command<u32>> {
    on(known, now, Event::Answered { host, report: Some(load) })
}

#[test]
fn a_fresh_answer_spares_a_question_a_few_times() {
    let mut known = Known::new(Settings { most_uses: 2, ..Settings::default() });
    assert_eq!(want(&mut known, 0.0, 1, &[7]), [Command::Ask(7)]);
    assert_eq!(tell(&mut known, 5.0, 7, 0.3), [Command::Go(1)]);
    for pick in 2..4 {
        assert_eq!(want(&mut known, 10.0, pick, &[7]), [Command::Go(pick)]);
        assert!(on(&mut known, 10.0, Event::Used(7)).is_empty());
    }
    assert_eq!(want(&mut known, 11.0, 4, &[7]), [Command::Ask(7)]);
    tell(&mut known, 12.0, 7, 0.4);
    assert_eq!(want(&mut known, 900.0, 5, &[7]), [Command::Ask(7)], "it is not fresh any more");
}

#[test]
fn a_pick_goes_on_when_its_patience_ends() {
    let mut known = Known::new(Settings::default());
    want(&mut known, 0.0, 1, &[1, 2]);
    tell(&mut known, 10.0, 1, 0.5);
    assert_eq!(known.due(), Some(80.0));
    assert!(on(&mut known, 40.0, Event::Due).is_empty());
    assert!(!known.mute(79.0, 2));
    assert_eq!(on(&mut known, 80.0, Event::Due), [Command::Go(1)]);
    assert!(known.mute(80.0, 2), "it is slower than a pick waits");
    assert_eq!(known.due(), None);
    // Its late answer is still knowledge.
    assert!(tell(&mut known, 90.0, 2, 0.9).is_empty());
    assert_eq!(known.known(91.0, 2), Some(&0.9));
}

#[test]
fn one_question_serves_all_picks_that_wait_for_it() {
    let mut known = Known::new(Settings::default());
    assert_eq!(want(&mut known, 0.0, 1, &[1]), [Command::Ask(1)]);
    assert!(want(&mut known, 1.0, 2, &[1]).is_empty());
    assert_eq!(tell(&mut known, 9.0, 1, 0.1), [Command::Go(1), Command::Go(2)]);
}

#[test]
fn a_host_that_does_not_answer_is_let_be_and_holds_nobody_up() {
    let mut known = Known::new(Settings::default());
    want(&mut known, 0.0, 1, &[1]);
    assert!(!known.mute(4.0, 1));
    assert_eq!(on(&mut known, 5.0, Event::Answered { host: 1, report: None }), [Command::Go(1)]);
    assert!(known.mute(10.0, 1) && !known.mute(2_100.0, 1));
    assert_eq!(want(&mut known, 10.0, 2, &[1]), [Command::Go(2)]);
    assert_eq!(want(&mut known, 2_100.0, 3, &[1]), [Command::Ask(1)]);
    // Never an answer at all: asked again once that one is given up.
    on(&mut known, 2_200.0, Event::Due);
    assert_eq!(want(&mut known, 3_700.0, 4, &[1]), [Command::Ask(1)]);
}

#[test]
fn a_host_that_is_gone_holds_nobody_up() {
    let mut known = Known::new(Settings::default());
    want(&mut known, 0.0, 1, &[1, 2]);
    assert!(on(&mut known, 1.0, Event::Gone(1)).is_empty());
    assert!(on(&mut known, 2.0, Event::Gone(2)).is_empty());
    assert_eq!(on(&mut known, 2.5, Event::Due), [Command::Go(1)], "and it is not lost with its hosts");
    assert!(tell(&mut known, 3.0, 1, 0.2).is_empty());
    assert_eq!(known.known(3.0, 1), None);
}

#[test]
fn what_is_old_says_nothing() {
    let mut known = Known::new(Settings::default());
    want(&mut known, 0.0, 1, &[1]);
    tell(&mut known, 1.0, 1, 0.2);
    assert_eq!(known.known(5_000.0, 1), Some(&0.2));
    assert_eq!(known.known(5_002.0, 1), None);
    assert_eq!(known.age(5_002.0, 1), Some(5_001.0));
}

#[test]
fn a_successor_goes_on_with_what_was_told() {
    let mut before = Known::new(Settings::default());
    want(&mut before, 0.0, 1, &[1]);
    tell(&mut before, 1.0, 1, 0.2);
    let mut after = Known::new(Settings::default());
    for (host, at, report) in before.told(100.0) {
        after.learn(at + 1_000.0, host, report);
    }
    assert_eq!(after.known(1_100.0, 1), Some(&0.2));
    assert!(before.told(9_000.0).is_empty());
}

#[test]
fn questions_out_are_bounded_and_lost_ones_make_room() {
    let mut known = Known::new(Settings { most_out: 2, ..Settings::default() });
    assert_eq!(want(&mut known, 0.0, 1, &[1, 2, 3]), [Command::Ask(1), Command::Ask(2)]);
    assert_eq!(want(&mut known, 1.0, 2, &[4]), [Command::Go(2)]);
    assert_eq!(want(&mut known, 1_600.0, 3, &[4]), [Command::Ask(4)]);
}

#[test]
fn a_review_asks_the_oldest_as_far_as_it_is_paid_and_is_not_held_up_by_one_that_is_silent() {
    let mut known = Known::new(Settings { paid: 1.0, ..Settings::default() });
    for host in 1..=4 {
        want(&mut known, 0.0, u64::from(host), &[host]);
        tell(&mut known, f64::from(host) * 10.0, host, 0.3);
    }
    let review = |known: &mut Known, now| on(known, now, Event::Review(vec![4, 3, 2, 1]));
    assert!(review(&mut known, 2_000.0).is_empty(), "nothing has paid for it");
    (0..3).for_each(|_| assert!(on(&mut known, 2_000.0, Event::Paid).is_empty()));
    assert!(review(&mut known, 900.0).is_empty(), "it is young enough");
    assert_eq!(review(&mut known, 2_000.0), [Command::Ask(1), Command::Ask(2)]);
    assert_eq!(review(&mut known, 2_200.0), [Command::Ask(3)]);
    assert!(review(&mut known, 2_400.0).is_empty(), "what was paid is spent");
}

proptest! {
    /// Whatever comes in whatever order, a pick that waits goes on exactly once and in its time.
    #[test]
    fn every_pick_goes_on_once_and_in_time(
        steps in proptest::collection::vec((0u8..6, 0u32..6, 0.0..80.0f64), 1..300)
    ) {
        let settings = Settings { most_out: 4, ..Settings::default() };
        let mut known = Known::new(settings.clone());
        let (mut now, mut next) = (0.0, 0);
        let mut waiting = std::collections::BTreeMap::new();
        for (kind, host, passed) in steps {
            now += passed;
            let mut commands = on(&mut known, now, Event::Due);
            match kind {
                0 | 1 => {
                    next += 1;
                    waiting.insert(next, now);
                    commands.extend(want(&mut known, now, next, &[host, (host + 1) % 6]));
                }
                2 => commands.extend(tell(&mut known, now, host, 0.5)),
                3 => commands.extend(on(&mut known, now, Event::Answered { host, report: None })),
                4 => commands.extend(on(&mut known, now, Event::Gone(host))),
                _ => {
                    // The newest: one that waits must not be reported after it was withdrawn.
                    if let Some((&pick, _)) = waiting.last_key_value()
                        && !commands.contains(&Command::Go(pick))
                    {
                        waiting.remove(&pick);
                        commands.extend(on(&mut known, now, Event::Withdrawn(pick)));
                    }
                }
            }
            for command in commands {
                if let Command::Go(pick) = command {
                    let since = waiting.remove(&pick);
                    prop_assert!(since.is_some(), "pick {} went on twice or unasked", pick);
                    // The step that finds it due may come late, but no later than one step.
                    prop_assert!(now - since.unwrap_or(now) <= settings.patience_ms + 80.5);
                }
            }
        }
        now += settings.patience_ms;
        for command in on(&mut known, now, Event::Due) {
            if let Command::Go(pick) = command {
                prop_assert!(waiting.remove(&pick).is_some());
            }
        }
        prop_assert!(waiting.is_empty(), "{:?} wait for ever", waiting);
    }
}
