//! Tests of usage: counts are merged, restored and decided whatever their order of arrival.

use {
    proptest::prelude::{Just, Strategy, prop, prop_assert, prop_assert_eq, proptest},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tealshore_duties::{
        lease::ProcessId,
        usage::{
            Counts, HallCounts, UsageLedger, UsageRecord, UsageReport, UsageStep, UsageTiming,
            WindowCounts, WindowIndex, settle_delay,
        },
    },
};

const TIMING: UsageTiming = UsageTiming {
    window: Duration::from_secs(5),
    due: Duration::from_secs(10),
};
const SETTLE: Duration = Duration::from_secs(3);
/// Maximum number of windows in a ledger.
const MAX_WINDOWS: usize = 12;
const FIRST_WINDOW: WindowIndex = 350_000_000;

/// The source of counts: a hall, a process in it, and a window.
type Source = (u8, u8, WindowIndex);

#[derive(Clone, Debug)]
struct Message {
    source: Source,
    counts: Counts,
}

fn hall(number: u8) -> String {
    format!("hall-{number}")
}

fn process(hall: u8, number: u8) -> ProcessId {
    ProcessId {
        host: format!("host-{hall}-{number}"),
        incarnation: u64::from(number),
    }
}

fn customer(number: u8) -> String {
    format!("customer-{number}")
}

fn deliver(ledger: &mut UsageLedger, message: &Message) {
    let (of, number, window) = message.source;
    let counts = message.counts.clone();
    ledger.merge(
        &hall(of),
        &process(of, number),
        &WindowCounts { window, counts },
    );
}

/// Generates requests, each with its source and its customer.
fn requests() -> impl Strategy<Value = Vec<(Source, u8)>> {
    let source = (0_u8..3, 0_u8..3, FIRST_WINDOW..FIRST_WINDOW + 4);
    prop::collection::vec((source, 0_u8..4), 0..120)
}

/// Returns the correct sums of all requests by window.
fn expected_sums(requests: &[(Source, u8)]) -> BTreeMap<WindowIndex, Counts> {
    let mut sums: BTreeMap<WindowIndex, Counts> = BTreeMap::new();
    for ((_, _, window), number) in requests {
        let counts = sums.entry(*window).or_default();
        *counts.entry(customer(*number)).or_default() += 1;
    }
    sums
}

/// Returns the messages of all processes, one after each request.
fn messages(requests: &[(Source, u8)]) -> Vec<Message> {
    let mut counted: BTreeMap<Source, Counts> = BTreeMap::new();
    let messages = requests.iter().map(|(source, number)| {
        let counts = counted.entry(*source).or_default();
        *counts.entry(customer(*number)).or_default() += 1;
        Message {
            source: *source,
            counts: counts.clone(),
        }
    });
    messages.collect()
}

/// Returns the last message of each source.
fn last_messages(messages: &[Message]) -> Vec<Message> {
    let last: BTreeMap<Source, Message> = messages
        .iter()
        .map(|message| (message.source, message.clone()))
        .collect();
    last.into_values().collect()
}

/// Generates deliveries of messages: the last message of each source arrives at least once, others may be
/// lost or repeated, and all may be reordered.
fn deliveries() -> impl Strategy<Value = (Vec<(Source, u8)>, Vec<Message>)> {
    requests().prop_flat_map(|requests| {
        let all = messages(&requests);
        let last = last_messages(&all);
        let some = if all.is_empty() {
            Just(Vec::new()).boxed()
        } else {
            let length = all.len();
            prop::collection::vec(prop::sample::select(all), 0..2 * length).boxed()
        };
        let delivered = some.prop_flat_map(move |some| {
            let mut delivered = some;
            delivered.extend(last.iter().cloned());
            Just(delivered).prop_shuffle()
        });
        (Just(requests), delivered)
    })
}

fn windows() -> impl Iterator<Item = WindowIndex> {
    FIRST_WINDOW..FIRST_WINDOW + 4
}

/// Returns the contents of a ledger in a canonical order.
fn contents(ledger: &UsageLedger) -> BTreeMap<(String, String, WindowIndex), Counts> {
    let mut contents = BTreeMap::new();
    for hall in ledger.counts_from(0) {
        for counts in &hall.told {
            let key = (hall.hall.clone(), String::new(), counts.window);
            contents.insert(key, counts.counts.clone());
        }
        for process in &hall.processes {
            for counted in &process.windows {
                let key = (
                    hall.hall.clone(),
                    process.process.host.clone(),
                    counted.window,
                );
                contents.insert(key, counted.counts.clone());
            }
        }
    }
    contents
}

proptest! {
    #[test]
    fn counts_may_be_reordered_repeated_or_lost((requests, delivered) in deliveries()) {
        let mut ledger = UsageLedger::default();
        for message in &delivered {
            deliver(&mut ledger, message);
        }
        let expected = expected_sums(&requests);
        for window in windows() {
            prop_assert_eq!(ledger.sum(window), expected.get(&window).cloned().unwrap_or_default());
        }
    }

    #[test]
    fn own_counts_equal_the_counts_sent(requests in requests()) {
        let mut ledgers: BTreeMap<(u8, u8), UsageLedger> = BTreeMap::new();
        for ((of, number, window), customer_number) in &requests {
            let ledger = ledgers.entry((*of, *number)).or_default();
            ledger.count(&hall(*of), &process(*of, *number), *window, &customer(*customer_number));
        }
        let mut holder = UsageLedger::default();
        for ((of, number), ledger) in &ledgers {
            let process = process(*of, *number);
            for counts in ledger.process_counts(&hall(*of), &process, FIRST_WINDOW) {
                holder.merge(&hall(*of), &process, &counts);
            }
        }
        let expected = expected_sums(&requests);
        for window in windows() {
            prop_assert_eq!(holder.sum(window), expected.get(&window).cloned().unwrap_or_default());
        }
    }

    #[test]
    fn sums_of_a_hall_replace_the_counts_of_its_processes(
        requests in requests(),
        known in prop::collection::vec(prop::bool::ANY, 40),
    ) {
        let last = last_messages(&messages(&requests));
        // The relay of a hall knows all processes of the hall.
        let mut relay = UsageLedger::default();
        let mut holder = UsageLedger::default();
        for (index, message) in last.iter().enumerate() {
            deliver(&mut relay, message);
            if known[index % known.len()] {
                deliver(&mut holder, message);
            }
        }
        for of in 0..3 {
            for counts in relay.hall_counts(&hall(of), FIRST_WINDOW) {
                holder.merge_hall(&hall(of), &counts);
            }
        }
        let expected = expected_sums(&requests);
        for window in windows() {
            prop_assert_eq!(holder.sum(window), expected.get(&window).cloned().unwrap_or_default());
        }
    }

    #[test]
    fn known_processes_count_if_the_sums_of_their_hall_are_older(
        requests in requests(),
        delivered in 0_usize..120,
    ) {
        let all = messages(&requests);
        let mut relay = UsageLedger::default();
        for message in all.iter().take(delivered) {
            deliver(&mut relay, message);
        }
        let mut holder = UsageLedger::default();
        for message in &all {
            deliver(&mut holder, message);
        }
        for of in 0..3 {
            for counts in relay.hall_counts(&hall(of), FIRST_WINDOW) {
                holder.merge_hall(&hall(of), &counts);
            }
        }
        let expected = expected_sums(&requests);
        for window in windows() {
            prop_assert_eq!(holder.sum(window), expected.get(&window).cloned().unwrap_or_default());
        }
    }

    #[test]
    fn a_restored_ledger_is_complete(
        (_, before) in deliveries(),
        (_, after) in deliveries(),
    ) {
        let mut lost = UsageLedger::default();
        for message in &before {
            deliver(&mut lost, message);
        }
        for of in 0..3 {
            let sums = lost.hall_counts(&hall(of), FIRST_WINDOW);
            for counts in &sums {
                lost.merge_hall(&hall(of), counts);
            }
        }
        let mut fresh = UsageLedger::default();
        fresh.restore(&lost.counts_from(0));
        prop_assert_eq!(contents(&fresh), contents(&lost));
        // Counts received before or after the restore are kept as well.
        let (mut one, mut other) = (UsageLedger::default(), UsageLedger::default());
        for message in &after {
            deliver(&mut one, message);
        }
        one.restore(&lost.counts_from(0));
        other.restore(&lost.counts_from(0));
        for message in &after {
            deliver(&mut other, message);
        }
        prop_assert_eq!(contents(&one), contents(&other));
    }

    #[test]
    fn windows_are_contiguous(
        window in 1_u64..400_000_000,
        window_ms in 1_u64..60_000,
    ) {
        let timing = UsageTiming { window: Duration::from_millis(window_ms), ..TIMING };
        let end = timing.window_end(window);
        prop_assert_eq!(timing.window_at(end), window + 1);
        prop_assert_eq!(timing.window_at(end - Duration::from_nanos(1)), window);
        prop_assert_eq!(end - timing.window_end(window - 1), timing.window);
    }

    #[test]
    fn only_the_newest_windows_are_kept(
        counted in prop::collection::vec(0_u64..40, 1..200),
    ) {
        let mut ledger = UsageLedger::default();
        for window in &counted {
            ledger.count(&hall(0), &process(0, 0), *window, &customer(0));
        }
        let kept = ledger.process_counts(&hall(0), &process(0, 0), 0);
        prop_assert!(kept.len() <= MAX_WINDOWS);
        let all: BTreeSet<u64> = counted.into_iter().collect();
        let newest: BTreeSet<u64> = all.into_iter().rev().take(MAX_WINDOWS).collect();
        let kept: BTreeSet<u64> = kept.into_iter().map(|counts| counts.window).collect();
        prop_assert_eq!(kept, newest);
    }
}

/// An event in the life of the duty's holders.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A request of a customer starts.
    Count(u8),
    /// This number of milliseconds passes.
    Pass(u64),
    /// The holder executes its next step. A decision is stored only if the write succeeds.
    Act { write_succeeds: bool },
    /// The receiver accepts the last report sent.
    Accept,
    /// Another host, which has no counts of its own, takes over with the stored row.
    TakeOver,
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop::sample::select(vec![
        Event::Count(0),
        Event::Count(1),
        Event::Pass(400),
        Event::Pass(3_000),
        Event::Act {
            write_succeeds: true,
        },
        Event::Act {
            write_succeeds: true,
        },
        Event::Act {
            write_succeeds: false,
        },
        Event::Accept,
        Event::TakeOver,
    ]);
    prop::collection::vec(event, 0..300)
}

/// Successive holders, the stored row, and the reports that the platform received.
struct DutyModel {
    now_ms: u64,
    ledger: UsageLedger,
    row: UsageRecord,
    sent: BTreeMap<WindowIndex, Counts>,
    order: Vec<WindowIndex>,
}

impl DutyModel {
    fn now(&self) -> Duration {
        TIMING.window_end(FIRST_WINDOW - 1) + Duration::from_millis(self.now_ms)
    }

    fn step(&self) -> UsageStep {
        self.row.step(&self.ledger, TIMING, SETTLE, self.now())
    }

    /// Executes the next step. Returns the window if its report differs from an earlier one.
    fn act(&mut self, write_succeeds: bool) -> Option<WindowIndex> {
        match self.step() {
            UsageStep::Nothing => None,
            UsageStep::Decide(reports) => {
                if write_succeeds {
                    self.row.decide(reports);
                }
                None
            }
            UsageStep::Send(UsageReport { window, counts }) => {
                if self.order.last() != Some(&window) {
                    self.order.push(window);
                }
                let first = self.sent.entry(window).or_insert_with(|| counts.clone());
                (*first != counts).then_some(window)
            }
        }
    }

    fn take_over(&mut self) {
        self.ledger = UsageLedger::default();
        self.ledger.restore(&self.row.counted);
    }
}

proptest! {
    #[test]
    fn windows_are_decided_once_and_sent_in_order(events in events()) {
        let mut duty = DutyModel {
            now_ms: 0,
            ledger: UsageLedger::default(),
            row: UsageRecord::default(),
            sent: BTreeMap::new(),
            order: Vec::new(),
        };
        duty.row.start_at(FIRST_WINDOW);
        for event in events {
            match event {
                Event::Count(customer_number) => {
                    let window = TIMING.window_at(duty.now());
                    duty.ledger.count(&hall(0), &process(0, 0), window, &customer(customer_number));
                }
                Event::Pass(ms) => duty.now_ms += ms,
                Event::Act { write_succeeds } => {
                    prop_assert_eq!(duty.act(write_succeeds), None);
                }
                Event::Accept => {
                    if let Some(window) = duty.order.last() {
                        duty.row.mark_settled(*window);
                    }
                }
                Event::TakeOver => duty.take_over(),
            }
        }
        prop_assert!(duty.order.is_sorted(), "{:?}", duty.order);
        for window in duty.sent.keys() {
            prop_assert!(TIMING.window_end(*window) + SETTLE <= duty.now());
        }
    }
}

fn ledger_with(windows: impl IntoIterator<Item = WindowIndex>) -> UsageLedger {
    let mut ledger = UsageLedger::default();
    for window in windows {
        ledger.count(&hall(0), &process(0, 0), window, &customer(0));
    }
    ledger
}

fn decided_windows(step: &UsageStep) -> Vec<WindowIndex> {
    match step {
        UsageStep::Decide(reports) => reports.iter().map(|report| report.window).collect(),
        UsageStep::Nothing | UsageStep::Send(_) => Vec::new(),
    }
}

#[test]
fn a_window_is_decided_once_it_has_settled() {
    let ledger = ledger_with([FIRST_WINDOW]);
    let mut record = UsageRecord::default();
    let settled = TIMING.window_end(FIRST_WINDOW) + SETTLE;
    assert_eq!(
        record.step(&ledger, TIMING, SETTLE, settled),
        UsageStep::Nothing
    );
    record.start_at(FIRST_WINDOW);
    // A later call does not change the first window.
    record.start_at(FIRST_WINDOW + 1);
    let before = settled - Duration::from_millis(1);
    assert_eq!(
        record.step(&ledger, TIMING, SETTLE, before),
        UsageStep::Nothing
    );
    let step = record.step(&ledger, TIMING, SETTLE, settled);
    assert_eq!(decided_windows(&step), [FIRST_WINDOW]);
}

/// The counts of undecided windows take many times the space of their sums, so they must not accumulate in
/// the row while the receiver is unavailable.
#[test]
fn windows_are_decided_while_an_earlier_one_is_not_accepted() {
    let ledger = ledger_with([FIRST_WINDOW, FIRST_WINDOW + 1]);
    let mut record = UsageRecord::default();
    record.start_at(FIRST_WINDOW);
    record.decide(vec![UsageReport {
        window: FIRST_WINDOW,
        counts: ledger.sum(FIRST_WINDOW),
    }]);
    let settled = TIMING.window_end(FIRST_WINDOW + 1) + SETTLE;
    let step = record.step(&ledger, TIMING, SETTLE, settled);
    assert_eq!(decided_windows(&step), [FIRST_WINDOW + 1]);
    let UsageStep::Decide(reports) = step else {
        panic!("{step:?}");
    };
    record.decide(reports);
    let sent = record.step(&ledger, TIMING, SETTLE, settled);
    assert!(matches!(sent, UsageStep::Send(report) if report.window == FIRST_WINDOW));
}

/// If the receiver is unavailable or never accepts one report, the row would grow until the store rejects
/// it, and no later window would be sent.
#[test]
fn reports_not_accepted_for_a_minute_are_dropped() {
    let mut record = UsageRecord::default();
    record.start_at(FIRST_WINDOW);
    let reports = (FIRST_WINDOW..FIRST_WINDOW + 20).map(|window| UsageReport {
        window,
        counts: Counts::new(),
    });
    record.decide(reports.collect());
    let now = TIMING.window_end(FIRST_WINDOW + 19);
    let given_up = record.drop_expired(TIMING, now);
    let all: Vec<WindowIndex> = (FIRST_WINDOW..FIRST_WINDOW + 9).collect();
    assert_eq!(given_up, all);
    let step = record.step(&UsageLedger::default(), TIMING, SETTLE, now);
    assert!(matches!(step, UsageStep::Send(report) if report.window == FIRST_WINDOW + 9));
    assert!(record.drop_expired(TIMING, now).is_empty());
}

/// A window whose counts may have been dropped would be reported without them.
#[test]
fn a_window_without_kept_counts_is_not_decided() {
    let now = FIRST_WINDOW + 40;
    let ledger = ledger_with(FIRST_WINDOW..=now);
    let mut record = UsageRecord::default();
    record.start_at(FIRST_WINDOW);
    let step = record.step(&ledger, TIMING, SETTLE, TIMING.window_end(now - 1) + SETTLE);
    let UsageStep::Decide(reports) = step else {
        panic!("{step:?}");
    };
    assert!(reports.iter().all(|report| !report.counts.is_empty()));
    assert_eq!(reports.last().map(|report| report.window), Some(now - 1));
    assert_eq!(reports.len(), MAX_WINDOWS - 1);
}

#[test]
fn a_window_without_requests_is_reported() {
    let mut record = UsageRecord::default();
    record.start_at(FIRST_WINDOW);
    let settled = TIMING.window_end(FIRST_WINDOW) + SETTLE;
    let step = record.step(&UsageLedger::default(), TIMING, SETTLE, settled);
    let report = UsageReport {
        window: FIRST_WINDOW,
        counts: Counts::new(),
    };
    assert_eq!(step, UsageStep::Decide(vec![report]));
}

#[test]
fn dropped_windows_are_not_stored() {
    let mut ledger = ledger_with(FIRST_WINDOW..FIRST_WINDOW + 4);
    ledger.drop_before(FIRST_WINDOW + 2);
    let halls: Vec<HallCounts> = ledger.counts_from(0);
    let windows: Vec<WindowIndex> = halls[0].processes[0]
        .windows
        .iter()
        .map(|counted| counted.window)
        .collect();
    assert_eq!(windows, [FIRST_WINDOW + 2, FIRST_WINDOW + 3]);
    assert_eq!(ledger.processes(FIRST_WINDOW), 0);
    assert_eq!(ledger.processes(FIRST_WINDOW + 2), 1);
}

/// A new holder knows only the stored counts and those that it has received so far.
#[test]
fn a_new_holder_waits_for_counts_unless_the_report_would_be_late() {
    let seconds = Duration::from_secs;
    assert_eq!(settle_delay(SETTLE, TIMING, seconds(0)), seconds(9));
    assert_eq!(settle_delay(SETTLE, TIMING, seconds(2)), SETTLE);
    let short = UsageTiming {
        due: seconds(2),
        ..TIMING
    };
    assert_eq!(settle_delay(SETTLE, short, seconds(0)), SETTLE);
}

fn report(window: WindowIndex, requests: u64) -> UsageReport {
    UsageReport {
        window,
        counts: [("atlas".to_owned(), requests)].into(),
    }
}

/// The store was restored from a copy made before the last windows were decided.
#[test]
fn a_decision_that_the_store_lost_is_not_made_again() {
    let mut holder = UsageRecord::default();
    holder.start_at(FIRST_WINDOW);
    let copied = holder.clone();
    holder.decide(vec![report(FIRST_WINDOW, 5), report(FIRST_WINDOW + 1, 6)]);
    holder.mark_settled(FIRST_WINDOW);
    let known = holder.decided_usage().unwrap_or_default();
    let mut next_holder = copied;
    assert!(next_holder.add_missing(&known));
    assert_eq!(next_holder.next, Some(FIRST_WINDOW + 2));
    // An accepted report is not sent again; one that may not have been accepted is sent as decided.
    assert_eq!(next_holder.decided, [report(FIRST_WINDOW + 1, 6)]);
    assert!(!next_holder.add_missing(&known));
    assert_eq!(next_holder.decided.len(), 1);
}

/// A store that came back from an older copy lost whether these were reported.
#[test]
fn windows_that_may_have_been_decided_by_lost_hosts_are_left_out() {
    let mut usage = UsageRecord::default();
    usage.start_at(FIRST_WINDOW);
    let decided_first = TIMING.window_end(FIRST_WINDOW) + SETTLE;
    let before = decided_first - Duration::from_millis(1);
    assert_eq!(usage.leave_out_decidable(TIMING, SETTLE, before), None);
    let left_out = usage.leave_out_decidable(TIMING, SETTLE, decided_first + TIMING.window);
    assert_eq!(left_out, Some(FIRST_WINDOW..FIRST_WINDOW + 2));
    assert_eq!(usage.next, Some(FIRST_WINDOW + 2));
    assert_eq!(
        usage.leave_out_decidable(TIMING, SETTLE, decided_first),
        None
    );
}

#[test]
fn missing_decisions_are_added_only_once() {
    let mut row = UsageRecord::default();
    row.start_at(FIRST_WINDOW);
    row.decide(vec![report(FIRST_WINDOW, 5)]);
    let known = row.decided_usage().unwrap_or_default();
    row.decide(vec![report(FIRST_WINDOW + 1, 6)]);
    let later = row.decided_usage().unwrap_or_default();
    let mut copied = UsageRecord::default();
    copied.start_at(FIRST_WINDOW);
    assert!(copied.add_missing(&known));
    assert!(copied.add_missing(&later));
    assert_eq!(copied.decided, row.decided);
}
