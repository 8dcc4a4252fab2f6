//! The calls that a receiver may get in the worst case.

use {
    super::setup::{LENGTH, OVERLAPPING_TENURES, Tick},
    tealshore_duties::lease::{FencingToken, ProcessId},
};

/// The calls that one process makes under one fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallSpan {
    pub process: ProcessId,
    pub fence: FencingToken,
    /// The latest time at which one of them may arrive.
    pub last_arrival: Tick,
    /// Whether all of them have arrived. A process releases the lease only when it has no open call.
    pub is_closed: bool,
}

/// The calls that the receiver may have got, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Receiver {
    spans: Vec<CallSpan>,
}

impl Receiver {
    /// Records that a process may make calls now, or returns the invariant that this violates.
    pub fn record_calls(&mut self, calls: CallSpan, now: Tick) -> Result<(), &'static str> {
        if let Some(newest) = self.spans.last_mut() {
            if newest.process == calls.process && newest.fence == calls.fence {
                newest.last_arrival = newest.last_arrival.max(calls.last_arrival);
                newest.is_closed = false;
                return Ok(());
            }
            if newest.fence == calls.fence {
                return Err("two processes use the same fencing token");
            }
            if newest.fence > calls.fence {
                return Err("fencing tokens decrease");
            }
        }
        let mut open = self.spans.iter().filter(|span| !span.is_closed);
        if open.any(|span| span.last_arrival >= now) {
            return Err(OVERLAPPING_TENURES);
        }
        if self.has_returned_too_soon(&calls.process, now) {
            return Err("a former holder takes the lease again too soon");
        }
        self.spans.push(calls);
        Ok(())
    }

    /// Returns whether the host of a process made calls within the last lease length and another host has made
    /// calls since.
    fn has_returned_too_soon(&self, process: &ProcessId, now: Tick) -> bool {
        let mut spans = self.spans.iter();
        let own = spans.rposition(|span| span.process.host == process.host);
        own.is_some_and(|own| {
            own + 1 < self.spans.len() && now - self.spans[own].last_arrival <= LENGTH
        })
    }

    /// Records that a process has no open call.
    pub fn close_calls(&mut self, process: &ProcessId, now: Tick) {
        if let Some(newest) = self.spans.last_mut()
            && newest.process == *process
        {
            newest.last_arrival = newest.last_arrival.min(now);
            newest.is_closed = true;
        }
    }

    /// Drops spans that can no longer violate an invariant, which reduces the number of distinct states.
    pub fn prune(&mut self, now: Tick) {
        let newest = self.spans.last().map(|span| span.fence);
        self.spans
            .retain(|span| now <= span.last_arrival + LENGTH || Some(span.fence) == newest);
    }
}
