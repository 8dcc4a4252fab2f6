//! What upstreams say of themselves in their answers, and which of them want no new work for it.

use {
    super::{Closed, GatewayState},
    crate::{
        edge::AnswerFacts,
        view::{Upstream, UpstreamRecord},
    },
    std::time::Instant,
    tealshore_core::ids::{EngineId, ServiceId},
    tealshore_notices::{Availability, RestRequest},
};

impl GatewayState {
    /// Takes in what an upstream said of itself in the answer to a request. Each answer on the way to a caller
    /// passes here, whatever became of its request.
    pub fn note_notices(
        &self,
        upstream: &Upstream,
        facts: &AnswerFacts,
        request: &str,
        sent: Instant,
    ) {
        let record = &upstream.record;
        self.record_rest(record, facts.rest, request);
        if facts.leaving {
            self.record_leaving(record, request);
        }
        self.note_limit(record, facts, request, sent);
        for header in &facts.unknown_headers {
            self.note_unknown(record, header.as_str(), request);
        }
    }

    /// Counts a header without a meaning, and logs it once for each life of an upstream: a new word of the
    /// protocol that nothing reads is seen on the first day that it is said.
    fn note_unknown(&self, record: &UpstreamRecord, header: &str, request: &str) {
        self.count_notice("unknown");
        let is_news = self
            .unknown_words
            .lock()
            .record(&record.id, record.born, header);
        if is_news {
            log::warn!(
                "upstream: unknown header request={request} upstream={} header={header}",
                record.id
            );
        }
    }

    fn record_rest(&self, record: &UpstreamRecord, asked: RestRequest, request: &str) {
        let Some(rest) = asked.duration() else {
            return;
        };
        self.count_notice(match asked {
            RestRequest::No | RestRequest::For(_) => "rest",
            RestRequest::Unreadable => "rest-unreadable",
        });
        let now = Instant::now();
        let mut notices = self.notices.write();
        let is_news = notices.record_rest(&record.id, record.born, rest, now);
        drop(notices);
        if is_news {
            log::info!(
                "upstream: asked for rest request={request} upstream={} asked={asked:?} rest_ms={}",
                record.id,
                rest.as_millis()
            );
        }
    }

    fn record_leaving(&self, record: &UpstreamRecord, request: &str) {
        self.count_notice("leaving");
        let now = Instant::now();
        let mut notices = self.notices.write();
        let is_news = notices.record_leaving(&record.id, record.born, now);
        drop(notices);
        if is_news {
            log::info!(
                "upstream: says that it leaves request={request} upstream={} row_state={:?}",
                record.id,
                record.state
            );
        }
    }

    pub(super) fn count_notice(&self, notice: &str) {
        self.metrics.notices.with_label_values(&[notice]).inc();
    }

    /// Whether an upstream wants new work, by what it said in its answers.
    pub fn availability(&self, record: &UpstreamRecord, now: Instant) -> Availability {
        let notices = self.notices.read();
        notices.availability(&record.id, record.born, now)
    }

    /// Whether an upstream may get new work at this instant, by its row and by its own word.
    pub fn takes_work(&self, id: &EngineId) -> bool {
        let now = Instant::now();
        let upstream = self.view.upstreams.get(id);
        self.view.upstreams.takes_work(id)
            && upstream.is_some_and(|it| {
                self.availability(&it.record, now) == Availability::Open
                    && !self.is_short(&it.record, now)
            })
    }

    /// Why the first of the upstreams of a service that is open again is closed now, where all that take work
    /// are: until then nothing can be sent, and nothing is worth waiting for.
    pub fn all_closed(&self, service: &ServiceId, now: Instant) -> Option<Closed> {
        let heard_nothing = self.notices.read().is_empty() && self.limits.is_empty();
        if heard_nothing {
            return None;
        }
        let mut first: Option<Closed> = None;
        for upstream in self.view.upstreams.ready(service) {
            let record = &upstream.record;
            let closed = match self.availability(record, now) {
                Availability::Leaving => continue,
                Availability::Resting { left } => Closed::Resting(left),
                Availability::Open if !self.is_short(record, now) => return None,
                Availability::Open => Closed::Limited(self.shortage_of(&record.id, now)?),
            };
            if first.is_none_or(|first| closed.left() < first.left()) {
                first = Some(closed);
            }
        }
        first
    }

    /// Whether a limit keeps an upstream of a service closed that takes work.
    pub fn is_limited(&self, service: &ServiceId, now: Instant) -> bool {
        let mut ready = self.view.upstreams.ready(service).into_iter();
        !self.limits.is_empty() && ready.any(|it| self.is_short(&it.record, now))
    }
}
