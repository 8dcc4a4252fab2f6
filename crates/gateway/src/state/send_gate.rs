//! Decides whether an upstream may get a request now, however it was chosen.

use {
    super::GatewayState,
    crate::view::{Upstream, UpstreamRecord},
    std::time::Instant,
    tealshore_core::{
        ids::ServiceId,
        protection::{Protection, enabled},
    },
    tealshore_notices::Availability,
};

/// Why an upstream gets no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendBarrier {
    /// The configuration gives the request to another service.
    OtherService,
    /// Its row says that it is leaving, or it has none.
    Leaving,
    /// Its version was rolled back or replaced.
    VersionStopped,
    /// It announced in an answer that it is leaving.
    AnnouncedLeaving,
    /// It asked for rest.
    Resting,
}

impl SendBarrier {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::OtherService => "other-service",
            Self::Leaving | Self::AnnouncedLeaving => "leaving",
            Self::VersionStopped => "version-stopped",
            Self::Resting => "resting",
        }
    }
}

impl GatewayState {
    /// Checks whether an upstream may get a request for a service now. Every send of a caller's request passes here
    /// immediately before its bytes leave, whichever way led to the upstream.
    ///
    /// # Errors
    /// It may not.
    pub fn check_send(
        &self,
        service: &ServiceId,
        upstream: &UpstreamRecord,
        now: Instant,
    ) -> Result<(), SendBarrier> {
        if upstream.service != *service && enabled(Protection::ServiceCheck) {
            return Err(SendBarrier::OtherService);
        }
        if !self.view.upstreams.accepts_work(&upstream.id) {
            return Err(SendBarrier::Leaving);
        }
        if !self.rollouts.accepts_requests(upstream) {
            return Err(SendBarrier::VersionStopped);
        }
        match self.availability(upstream, now) {
            Availability::Open => Ok(()),
            Availability::Leaving => Err(SendBarrier::AnnouncedLeaving),
            Availability::Resting { .. } => Err(SendBarrier::Resting),
        }
    }

    /// Whether a request should go to the upstream that has its prompt or its memory, rather than to the usual choice.
    pub fn may_prefer(&self, service: &ServiceId, upstream: &Upstream, now: Instant) -> bool {
        let record = &upstream.record;
        let bounds = self.options.bounds.rollouts;
        self.check_send(service, record, now).is_ok()
            && !upstream.is_suspected(now)
            && !self.lacks_permit(record, now)
            && self.rollouts.accepts_affinity(record, bounds)
    }
}
