//! Property tests of the generation state machine under any order of events. The invariant: the
//! tokens that the caller has seen are always a prefix of one generation.

#![allow(
    clippy::unwrap_used,
    reason = "a panic in a test helper fails the test with its location"
)]

use {
    proptest::{
        prelude::{Just, ProptestConfig, Strategy, any, prop, prop_oneof, proptest},
        test_runner::RngSeed,
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    tealshore_core::{
        answer::ErrorKind,
        chain::TokenChain,
        ids::{AttemptNo, Position, TokenId},
        protection,
    },
    tealshore_decide::{
        generation::{Action, Event, FinishReason, Generation, GenerationSpec, Loss, ResumePoint},
        policy::{Repeat, ResumePolicy},
    },
};

const MAX_TOKENS: Position = 12;
const SEED: u64 = 20_261_202;
const CASES: u32 = 1_000;

fn spec(repeat: Repeat, policy: ResumePolicy) -> GenerationSpec {
    GenerationSpec {
        repeat,
        policy,
        max_tokens: MAX_TOKENS,
        max_attempts: 5,
        next_attempt: 1,
    }
}

/// Returns the token that an attempt samples after a prefix; it differs for each attempt.
fn sampled_token(prefix: &[TokenId], attempt: AttemptNo) -> TokenId {
    let chain = TokenChain::of(prefix).push(attempt);
    TokenId::try_from(chain.0 % 1_000_000).unwrap()
}

/// Returns the full stream of an attempt: the prefix that it started from and the tokens that it
/// samples after it.
fn stream_of(prefix: &[TokenId], attempt: AttemptNo) -> Vec<TokenId> {
    let mut stream = prefix.to_vec();
    while stream.len() < MAX_TOKENS as usize {
        stream.push(sampled_token(&stream, attempt));
    }
    stream
}

#[derive(Clone, Debug)]
enum Step {
    Token {
        attempt: AttemptNo,
        position: Position,
    },
    Next {
        attempt: AttemptNo,
    },
    End {
        attempt: AttemptNo,
    },
    Lost {
        attempt: AttemptNo,
        loss: Loss,
    },
    Wait {
        ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let attempt = 1..5u32;
    let loss = prop_oneof![
        Just(Loss::Broken),
        Just(Loss::NeverStarted),
        Just(Loss::NotSent)
    ];
    prop_oneof![
        2 => (attempt.clone(), 0..MAX_TOKENS).prop_map(|(attempt, position)| Step::Token { attempt, position }),
        6 => attempt.clone().prop_map(|attempt| Step::Next { attempt }),
        1 => attempt.clone().prop_map(|attempt| Step::End { attempt }),
        1 => (attempt, loss).prop_map(|(attempt, loss)| Step::Lost { attempt, loss }),
        2 => (0..3_000u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

/// Drives a state machine with simulated attempts and records what the caller sees.
struct Run {
    generation: Generation,
    now: Instant,
    streams: BTreeMap<AttemptNo, Vec<TokenId>>,
    next_positions: BTreeMap<AttemptNo, Position>,
    output: Vec<(Position, TokenId)>,
    placed_attempts: u32,
    possible_runs: u32,
    outcomes: Vec<Action>,
}

impl Run {
    fn start(spec: GenerationSpec) -> Self {
        protection::start();
        let mut run = Self {
            generation: Generation::new(spec),
            now: Instant::now(),
            streams: BTreeMap::new(),
            next_positions: BTreeMap::new(),
            output: Vec::new(),
            placed_attempts: 0,
            possible_runs: 0,
            outcomes: Vec::new(),
        };
        let actions = run.generation.start(run.now);
        run.execute(actions);
        run
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Place { attempt } => {
                    let received = self.generation.received().to_vec();
                    self.next_positions
                        .insert(attempt, received.len() as Position);
                    self.streams.insert(attempt, stream_of(&received, attempt));
                    self.placed_attempts += 1;
                    self.possible_runs += 1;
                    self.handle(Event::Dispatched {
                        attempt,
                        engine: format!("engine-{attempt}"),
                    });
                }
                Action::Emit { position, token } => self.output.push((position, token)),
                Action::Cancel { .. } => {}
                Action::Finish { .. } | Action::Fail { .. } => self.outcomes.push(action),
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let actions = self.generation.handle(event, self.now);
        self.execute(actions);
    }

    fn send(&mut self, attempt: AttemptNo, position: Position) {
        let token = self
            .streams
            .get(&attempt)
            .and_then(|stream| stream.get(position as usize).copied());
        if let Some(token) = token {
            self.handle(Event::Token {
                attempt,
                position,
                token,
            });
        }
    }

    fn next(&mut self, attempt: AttemptNo) {
        let Some(position) = self.next_positions.get_mut(&attempt) else {
            return;
        };
        let at = *position;
        *position += 1;
        self.send(attempt, at);
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Token { attempt, position } => self.send(attempt, position),
            Step::Next { attempt } => self.next(attempt),
            Step::End { attempt } => {
                let position = self.next_positions.get(&attempt).copied().unwrap_or(0);
                self.handle(Event::End {
                    attempt,
                    position,
                    reason: FinishReason::Length,
                });
            }
            Step::Lost { attempt, loss } => {
                let sent_nothing =
                    self.streams.contains_key(&attempt) && self.next_positions[&attempt] == 0;
                let loss = if loss == Loss::Broken || sent_nothing {
                    loss
                } else {
                    Loss::Broken
                };
                if loss != Loss::Broken
                    && !self.generation.is_over()
                    && self
                        .generation
                        .current()
                        .is_some_and(|current| current.no == attempt)
                {
                    self.possible_runs -= 1;
                }
                self.handle(Event::Lost { attempt, loss });
            }
            Step::Wait { ms } => {
                self.now += Duration::from_millis(ms);
                self.handle(Event::Tick);
            }
        }
    }

    /// Checks that the output has no gap or repeat, and that each token is one that some attempt
    /// samples after the tokens before it.
    fn check_output(&self) {
        let mut prefix = Vec::new();
        for (position, token) in &self.output {
            assert_eq!(
                *position,
                prefix.len() as Position,
                "a token is missing or repeated"
            );
            let is_possible =
                (1..=self.placed_attempts).any(|attempt| sampled_token(&prefix, attempt) == *token);
            assert!(
                is_possible,
                "the token at position {position} belongs to another generation"
            );
            prefix.push(*token);
        }
        assert!(self.outcomes.len() <= 1, "an answer ends at most once");
    }
}

/// Runs the same cases each time so that CI is deterministic. For a larger search:
/// `PROPTEST_RNG_SEED=N PROPTEST_CASES=N cargo test -p tealshore-decide`.
fn config() -> ProptestConfig {
    let from_env = ProptestConfig::default();
    match from_env.rng_seed {
        RngSeed::Random => ProptestConfig {
            rng_seed: RngSeed::Fixed(SEED),
            cases: CASES.max(from_env.cases),
            ..from_env
        },
        RngSeed::Fixed(_) => from_env,
    }
}

fn policies() -> impl Strategy<Value = ResumePolicy> {
    prop_oneof![Just(ResumePolicy::Latency), Just(ResumePolicy::Thrift)]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_caller_sees_a_prefix_of_one_generation(policy in policies(), steps in prop::collection::vec(step(), 0..80)) {
        let mut run = Run::start(spec(Repeat::Allowed, policy));
        for step in &steps {
            run.step(step);
            run.check_output();
        }
    }

    #[test]
    fn a_request_that_may_not_be_repeated_is_started_once(policy in policies(), steps in prop::collection::vec(step(), 0..80)) {
        let mut run = Run::start(spec(Repeat::Forbidden, policy));
        for step in &steps {
            run.step(step);
            run.check_output();
            assert!(run.possible_runs <= 1, "may have run {} times", run.possible_runs);
        }
    }

    #[test]
    fn a_finished_answer_has_all_tokens(policy in policies(), losses in prop::collection::vec(any::<bool>(), 0..40)) {
        let mut run = Run::start(spec(Repeat::Allowed, policy));
        for is_lost in losses {
            let Some(attempt) = run.generation.current().map(|current| current.no) else { break };
            if is_lost {
                run.handle(Event::Lost { attempt, loss: Loss::Broken });
            } else {
                run.next(attempt);
            }
        }
        let is_finished = run.outcomes.iter().any(|outcome| matches!(outcome, Action::Finish { .. }));
        assert!(!is_finished || run.output.len() == MAX_TOKENS as usize);
    }
}

#[test]
fn a_suspected_engine_that_resumes_keeps_the_generation() {
    let mut run = Run::start(spec(Repeat::Allowed, ResumePolicy::Latency));
    run.next(1);
    run.step(&Step::Wait { ms: 600 });
    assert_eq!(run.placed_attempts, 2, "a standby is started on suspicion");
    run.next(1);
    assert_eq!(run.generation.current().map(|current| current.no), Some(1));
    assert_eq!(run.generation.counts().false_suspicions, 1);
    run.check_output();
}

#[test]
fn a_replaced_engine_that_resumes_sending_is_ignored() {
    let mut run = Run::start(spec(Repeat::Allowed, ResumePolicy::Latency));
    run.next(1);
    run.step(&Step::Wait { ms: 600 });
    run.next(2);
    run.next(1);
    run.next(2);
    assert_eq!(run.output.len(), 3);
    run.check_output();
}

#[test]
fn thrift_starts_no_standby_before_the_engine_counts_as_dead() {
    let mut run = Run::start(spec(Repeat::Allowed, ResumePolicy::Thrift));
    run.next(1);
    run.step(&Step::Wait { ms: 600 });
    assert_eq!(run.placed_attempts, 1);
    run.step(&Step::Wait { ms: 2_500 });
    assert_eq!(run.placed_attempts, 2);
}

#[test]
fn a_lost_end_marker_after_the_last_token_still_finishes() {
    let mut run = Run::start(spec(Repeat::Allowed, ResumePolicy::Thrift));
    (0..MAX_TOKENS).for_each(|_| run.next(1));
    run.handle(Event::Lost {
        attempt: 1,
        loss: Loss::Broken,
    });
    assert_eq!(
        run.outcomes,
        [Action::Finish {
            reason: FinishReason::Length
        }]
    );
    assert_eq!(run.placed_attempts, 1);
}

#[test]
fn a_stream_that_differs_from_what_the_caller_holds_is_refused() {
    protection::start();
    let now = Instant::now();
    let stream = stream_of(&[], 1);
    let held = ResumePoint {
        position: 3,
        chain: TokenChain::of(&[1, 2, 3]),
    };
    let mut generation =
        Generation::replaying_for(spec(Repeat::Allowed, ResumePolicy::Latency), held);
    generation.adopt(1, "engine-1".to_owned(), now);
    let actions: Vec<Action> = (0..4u64)
        .flat_map(|position| {
            generation.handle(
                Event::Token {
                    attempt: 1,
                    position,
                    token: stream[position as usize],
                },
                now,
            )
        })
        .collect();
    assert!(
        actions.contains(&Action::Fail {
            kind: ErrorKind::ResumeMismatch
        }),
        "{actions:?}"
    );
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, Action::Emit { .. })),
        "{actions:?}"
    );
}

#[test]
fn an_unreachable_adopted_attempt_may_have_run() {
    protection::start();
    let now = Instant::now();
    for loss in [Loss::NotSent, Loss::NeverStarted, Loss::Broken] {
        let mut generation = Generation::new(spec(Repeat::Forbidden, ResumePolicy::Latency));
        generation.adopt(1, "engine-1".to_owned(), now);
        let actions = generation.handle(Event::Lost { attempt: 1, loss }, now);
        assert_eq!(
            actions.last(),
            Some(&Action::Fail {
                kind: ErrorKind::UpstreamUnconfirmed
            })
        );
    }
}

/// Delivers the first token of an attempt this long after its dispatch.
fn first_token_after(run: &mut Run, attempt: AttemptNo, wait_ms: u64) {
    run.now += Duration::from_millis(wait_ms);
    run.next(attempt);
}

#[test]
fn a_standby_on_a_frozen_engine_is_replaced_early() {
    let mut run = Run::start(spec(Repeat::Allowed, ResumePolicy::Latency));
    first_token_after(&mut run, 1, 50);
    run.step(&Step::Wait { ms: 500 });
    assert_eq!(run.placed_attempts, 2, "the suspicion starts a standby");
    run.step(&Step::Wait { ms: 299 });
    assert_eq!(run.placed_attempts, 2, "the standby is replaced too early");
    run.step(&Step::Wait { ms: 1 });
    assert_eq!(run.placed_attempts, 3, "the silent standby is replaced");
    run.next(3);
    assert_eq!(run.generation.current().map(|current| current.no), Some(3));
    run.check_output();
}

#[test]
fn a_standby_with_a_long_prefill_is_kept() {
    let mut run = Run::start(spec(Repeat::Allowed, ResumePolicy::Latency));
    first_token_after(&mut run, 1, 700);
    run.step(&Step::Wait { ms: 500 });
    run.step(&Step::Wait { ms: 900 });
    run.step(&Step::Wait { ms: 1 });
    assert_eq!(
        run.placed_attempts, 2,
        "the standby may take as long as the first prefill"
    );
}
