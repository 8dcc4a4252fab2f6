//! The batch scheduler of an engine: waiting and running streams and the tokens they produced.

use {
    crate::model::{TokenModel, tokenize},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        time::{Duration, Instant},
    },
    tealshore_core::ids::{Position, RequestId, StreamId, TokenId},
    tealshore_engines::wire::{GenerateRequest, LoadReport},
    tokio::sync::watch,
};

/// How long a finished or cancelled stream can still be read.
const FINISHED_STREAM_RETENTION: Duration = Duration::from_secs(60);

/// Speed and capacity of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineOptions {
    /// Duration of one decode step.
    pub step: Duration,
    /// Sequences that run concurrently.
    pub slots: u32,
    /// Prompt tokens computed in one step.
    pub prefill_per_step: u64,
    /// Capacity of the KV cache, in tokens.
    pub kv_capacity_tokens: u64,
    /// Salt of the sampling; engines with different salts sample different tokens.
    pub salt: u64,
    /// How long a stream without readers continues before it is cancelled.
    pub orphan_after: Duration,
    /// Age of the load report.
    pub load_lag: Duration,
}

/// Counts of the work that an engine has done.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WorkCounts {
    /// Prompt tokens computed.
    pub prefill_tokens: u64,
    /// Tokens sampled.
    pub decode_tokens: u64,
    /// How often each request started to run.
    pub runs: BTreeMap<RequestId, u32>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waiting,
    Prefill { left: u64 },
    Decode,
    Done,
    Cancelled,
}

struct Sequence {
    order: GenerateRequest,
    model: TokenModel,
    prompt_tokens: u64,
    produced: Vec<TokenId>,
    phase: Phase,
    arrival_number: u64,
    readers: u32,
    unread_since: Instant,
    finished_at: Option<Instant>,
    progress: watch::Sender<u64>,
}

impl Sequence {
    fn base(&self) -> Position {
        self.order.received.len() as Position
    }

    fn length(&self) -> Position {
        self.base() + self.produced.len() as Position
    }

    fn kv_tokens(&self) -> u64 {
        self.prompt_tokens + self.length()
    }

    fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Prefill { .. } | Phase::Decode)
    }

    fn finish(&mut self, phase: Phase) {
        self.phase = phase;
        self.finished_at = Some(Instant::now());
        self.progress.send_modify(|steps| *steps += 1);
    }
}

/// The result of reading a position of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// A token.
    Token(TokenId),
    /// The answer is complete and has this many tokens.
    End(Position),
    /// The position is not sampled yet.
    Pending,
    /// The stream was cancelled after this many tokens.
    Aborted(Position),
    /// The stream is unknown.
    UnknownStream,
}

/// The state of an engine's batch.
pub struct Batch {
    options: EngineOptions,
    sequences: HashMap<StreamId, Sequence>,
    cancelled_before_arrival: HashSet<StreamId>,
    arrival_count: u64,
    work: WorkCounts,
    reports: Vec<(Instant, LoadReport)>,
}

impl Batch {
    /// Creates an idle batch.
    #[must_use]
    pub fn new(options: EngineOptions) -> Self {
        Self {
            options,
            sequences: HashMap::new(),
            cancelled_before_arrival: HashSet::new(),
            arrival_count: 0,
            work: WorkCounts::default(),
            reports: Vec::new(),
        }
    }

    /// Queues an order. Returns false if its stream exists or was cancelled before the order arrived.
    pub fn submit(&mut self, order: GenerateRequest) -> bool {
        if self.sequences.contains_key(&order.stream_id)
            || self.cancelled_before_arrival.contains(&order.stream_id)
        {
            return false;
        }
        let prompt = tokenize(&order.prompt);
        let mut model = TokenModel::new(&order.pin, order.seed);
        model.feed(&prompt);
        model.feed(&order.received);
        self.arrival_count += 1;
        let sequence = Sequence {
            model,
            prompt_tokens: prompt.len() as u64,
            produced: Vec::new(),
            phase: Phase::Waiting,
            arrival_number: self.arrival_count,
            readers: 0,
            unread_since: Instant::now(),
            finished_at: None,
            progress: watch::Sender::new(0),
            order,
        };
        self.sequences
            .insert(sequence.order.stream_id.clone(), sequence);
        true
    }

    /// Cancels a stream permanently. Returns whether it had started to run.
    pub fn cancel(&mut self, stream: &StreamId) -> bool {
        let Some(sequence) = self.sequences.get_mut(stream) else {
            // The order may still be in transit and must not start when it arrives.
            self.cancelled_before_arrival.insert(stream.clone());
            return false;
        };
        let started = sequence.phase != Phase::Waiting;
        if matches!(
            sequence.phase,
            Phase::Waiting | Phase::Prefill { .. } | Phase::Decode
        ) {
            sequence.finish(Phase::Cancelled);
        }
        started
    }

    /// Adds a reader to a stream. The returned channel changes with each step of the stream.
    pub fn open_reader(&mut self, stream: &StreamId) -> Option<watch::Receiver<u64>> {
        let sequence = self.sequences.get_mut(stream)?;
        sequence.readers += 1;
        Some(sequence.progress.subscribe())
    }

    /// Removes a reader from a stream.
    pub fn close_reader(&mut self, stream: &StreamId) {
        if let Some(sequence) = self.sequences.get_mut(stream) {
            sequence.readers = sequence.readers.saturating_sub(1);
            sequence.unread_since = Instant::now();
        }
    }

    /// Returns whether the stream has a reader.
    #[must_use]
    pub fn has_reader(&self, stream: &StreamId) -> bool {
        self.sequences
            .get(stream)
            .is_some_and(|sequence| sequence.readers > 0)
    }

    /// Returns whether the stream can be read from this position on.
    #[must_use]
    pub fn has_position(&self, stream: &StreamId, position: Position) -> bool {
        self.sequences
            .get(stream)
            .is_some_and(|sequence| position <= sequence.length())
    }

    /// Reads a position of a stream.
    #[must_use]
    pub fn read_at(&self, stream: &StreamId, position: Position) -> ReadResult {
        let Some(sequence) = self.sequences.get(stream) else {
            return ReadResult::UnknownStream;
        };
        if let Some(known) = usize::try_from(position)
            .ok()
            .and_then(|index| sequence.order.received.get(index))
        {
            return ReadResult::Token(*known);
        }
        let index = usize::try_from(position - sequence.base()).unwrap_or(usize::MAX);
        match (sequence.produced.get(index), sequence.phase) {
            (Some(token), _) => ReadResult::Token(*token),
            (None, Phase::Done) => ReadResult::End(sequence.length()),
            (None, Phase::Cancelled) => ReadResult::Aborted(sequence.length()),
            (None, Phase::Waiting | Phase::Prefill { .. } | Phase::Decode) => ReadResult::Pending,
        }
    }

    /// Returns the work done so far.
    #[must_use]
    pub fn work(&self) -> &WorkCounts {
        &self.work
    }

    /// Returns the newest load report that is at least [`EngineOptions::load_lag`] old, or that of an idle
    /// engine if there is none.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        let seen = self
            .reports
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= self.options.load_lag);
        let idle = LoadReport {
            slots: self.options.slots,
            kv_capacity_tokens: self.options.kv_capacity_tokens,
            ..LoadReport::default()
        };
        seen.map_or(idle, |(_, report)| report.clone())
    }

    /// Runs one step of the batch.
    pub fn step(&mut self) {
        self.expire_sequences();
        self.admit();
        self.prefill();
        self.decode();
        self.report();
    }

    fn expire_sequences(&mut self) {
        let now = Instant::now();
        let orphan_after = self.options.orphan_after;
        let has_expired = |sequence: &Sequence| {
            sequence
                .finished_at
                .is_some_and(|at| now.duration_since(at) >= FINISHED_STREAM_RETENTION)
        };
        self.sequences.retain(|_, sequence| !has_expired(sequence));
        for sequence in self
            .sequences
            .values_mut()
            .filter(|sequence| sequence.finished_at.is_none())
        {
            if sequence.readers == 0 && now.duration_since(sequence.unread_since) >= orphan_after {
                sequence.finish(Phase::Cancelled);
            }
        }
    }

    fn admit(&mut self) {
        let running = self
            .sequences
            .values()
            .filter(|sequence| sequence.is_running());
        let (mut count, mut kv_tokens) = running.fold((0, 0), |(count, kv), sequence| {
            (count + 1, kv + sequence.kv_tokens())
        });
        let mut waiting: Vec<&mut Sequence> = self
            .sequences
            .values_mut()
            .filter(|sequence| sequence.phase == Phase::Waiting)
            .collect();
        waiting.sort_by_key(|sequence| (-sequence.order.priority, sequence.arrival_number));
        for sequence in waiting {
            let needed = sequence.prompt_tokens + sequence.order.max_tokens;
            if count >= self.options.slots || kv_tokens + needed > self.options.kv_capacity_tokens {
                break;
            }
            count += 1;
            kv_tokens += needed;
            sequence.phase = Phase::Prefill {
                left: sequence.kv_tokens(),
            };
            *self
                .work
                .runs
                .entry(sequence.order.request_id.clone())
                .or_default() += 1;
        }
    }

    fn prefill(&mut self) {
        let mut budget = self.options.prefill_per_step;
        for sequence in self.sequences.values_mut() {
            let Phase::Prefill { left } = sequence.phase else {
                continue;
            };
            let done = left.min(budget);
            budget -= done;
            self.work.prefill_tokens += done;
            sequence.phase = if done == left {
                Phase::Decode
            } else {
                Phase::Prefill { left: left - done }
            };
        }
    }

    fn decode(&mut self) {
        for sequence in self
            .sequences
            .values_mut()
            .filter(|sequence| sequence.phase == Phase::Decode)
        {
            if sequence.length() < sequence.order.max_tokens {
                let token = sequence.model.sample(self.options.salt);
                sequence.model.feed(&[token]);
                sequence.produced.push(token);
                self.work.decode_tokens += 1;
            }
            if sequence.length() >= sequence.order.max_tokens {
                sequence.finish(Phase::Done);
            } else {
                sequence.progress.send_modify(|steps| *steps += 1);
            }
        }
    }

    fn report(&mut self) {
        let running = self
            .sequences
            .values()
            .filter(|sequence| sequence.is_running());
        let (count, kv_tokens) = running.fold((0, 0), |(count, kv), sequence| {
            (count + 1, kv + sequence.kv_tokens())
        });
        let waiting = self
            .sequences
            .values()
            .filter(|sequence| sequence.phase == Phase::Waiting)
            .count();
        let report = LoadReport {
            slots: self.options.slots,
            running: count,
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
            kv_tokens,
            kv_capacity_tokens: self.options.kv_capacity_tokens,
            leaving: false,
        };
        self.reports.push((Instant::now(), report));
        let lag = self.options.load_lag;
        let old = self
            .reports
            .iter()
            .take_while(|(at, _)| at.elapsed() >= lag)
            .count();
        self.reports.drain(..old.saturating_sub(1));
    }
}
