//! What upstreams say of themselves in their answers.

use {
    super::GatewayState,
    crate::{
        edge::{AnswerFacts, RestAsked},
        view::Upstream,
    },
};

impl GatewayState {
    /// Takes in what an upstream said of itself in the answer to a request.
    pub fn note_notices(&self, upstream: &Upstream, facts: &AnswerFacts, request: &str) {
        match facts.rest {
            RestAsked::No => {}
            RestAsked::For(rest) => {
                self.count_notice("rest");
                log::info!(
                    "upstream: asked for rest request={request} upstream={} rest_ms={}",
                    upstream.record.id,
                    rest.as_millis()
                );
            }
            RestAsked::Unreadable => {
                self.count_notice("rest-unreadable");
                log::warn!(
                    "upstream: asked for rest request={request} upstream={} rest_ms=unreadable",
                    upstream.record.id
                );
            }
        }
        if facts.leaving {
            self.count_notice("leaving");
        }
    }

    fn count_notice(&self, notice: &str) {
        self.metrics.notices.with_label_values(&[notice]).inc();
    }
}
