//! Notices that upstreams give in their answers, and the upstreams that get no new work because of them.

use {
    super::{ClosedReason, GatewayState},
    crate::{
        edge::AnswerFacts,
        view::{Upstream, UpstreamRecord},
    },
    std::time::Instant,
    tealshore_core::{clock, ids::ServiceId},
    tealshore_notices::{Availability, RestRequest},
};

impl GatewayState {
    /// Applies the notices in an upstream's answer to a request. Each answer on its way to a caller passes through
    /// here, whatever the result of its request.
    pub fn apply_notices(
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
        self.record_limit(record, facts, request, sent);
        self.record_brittleness(record, facts, request, sent);
        for header in &facts.unknown_headers {
            self.record_unknown_header(record, header.as_str(), request);
        }
    }

    /// Counts an unknown header, and logs it once for each incarnation of an upstream, so that an extension of the
    /// protocol that is not supported is noticed as soon as it is used.
    fn record_unknown_header(&self, record: &UpstreamRecord, header: &str, request: &str) {
        self.count_notice("unknown");
        let is_new = self
            .unknown_headers_seen
            .lock()
            .record(&record.id, record.born, header);
        if is_new {
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
        let now = clock::now();
        let mut notices = self.notices.write();
        let is_new = notices.record_rest(&record.id, record.born, rest, now);
        drop(notices);
        if is_new {
            log::info!(
                "upstream: asked for rest request={request} upstream={} asked={asked:?} rest_ms={}",
                record.id,
                rest.as_millis()
            );
        }
    }

    fn record_leaving(&self, record: &UpstreamRecord, request: &str) {
        self.count_notice("leaving");
        let now = clock::now();
        let mut notices = self.notices.write();
        let is_new = notices.record_leaving(&record.id, record.born, now);
        drop(notices);
        if is_new {
            log::info!(
                "upstream: announced that it is leaving request={request} upstream={} row_state={:?}",
                record.id,
                record.state
            );
        }
    }

    pub(super) fn count_notice(&self, notice: &str) {
        self.metrics.notices.with_label_values(&[notice]).inc();
    }

    /// Whether an upstream accepts new work, according to its notices.
    pub fn availability(&self, record: &UpstreamRecord, now: Instant) -> Availability {
        let notices = self.notices.read();
        notices.availability(&record.id, record.born, now)
    }

    /// If all ready upstreams of a service are closed: why the one that opens first is closed, and for how long. Until
    /// then no request can be sent, and waiting is of no use. Upstreams that announced that they are leaving don't count.
    /// `None` if one is open or may open at any moment, or if there are no others.
    pub fn first_to_open(&self, service: &ServiceId, now: Instant) -> Option<ClosedReason> {
        let has_no_notices_or_limits = self.notices.read().is_empty() && self.limits.is_empty();
        if has_no_notices_or_limits {
            return None;
        }
        let mut first: Option<ClosedReason> = None;
        for upstream in self.view.upstreams.ready(service) {
            let record = &upstream.record;
            let closed = match self.availability(record, now) {
                Availability::Leaving => continue,
                Availability::Resting { left } => ClosedReason::Resting(left),
                Availability::Open if !self.lacks_permit(record, now) => return None,
                Availability::Open => {
                    ClosedReason::Limited(self.time_until_permit(&record.id, now)?)
                }
            };
            if first.is_none_or(|first| closed.left() < first.left()) {
                first = Some(closed);
            }
        }
        first
    }

    /// Whether a rate limit closes any ready upstream of a service.
    pub fn is_limited(&self, service: &ServiceId, now: Instant) -> bool {
        let mut ready = self.view.upstreams.ready(service).into_iter();
        !self.limits.is_empty() && ready.any(|it| self.lacks_permit(&it.record, now))
    }
}
