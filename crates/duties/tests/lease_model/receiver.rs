//! What the receiver of calls may see, at worst.

use {
    super::setup::{LENGTH, OVERLAPPING_TENURES, Tick},
    tealshore_duties::lease::{FencingToken, ProcessId},
};

/// Calls under one fence.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallSpan {
    pub process: ProcessId,
    pub fence: FencingToken,
    /// When the last of them may arrive.
    pub last_arrival: Tick,
    /// The last one has arrived: the lease is released once no call is open.
    pub is_closed: bool,
}

/// What the receiver may have seen, in its order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Receiver {
    spans: Vec<CallSpan>,
}

impl Receiver {
    /// A process may make calls now; what is wrong with that.
    pub fn record_calls(&mut self, calls: CallSpan, now: Tick) -> Result<(), &'static str> {
        if let Some(newest) = self.spans.last_mut() {
            if newest.process == calls.process && newest.fence == calls.fence {
                newest.last_arrival = newest.last_arrival.max(calls.last_arrival);
                newest.is_closed = false;
                return Ok(());
            }
            if newest.fence == calls.fence {
                return Err("a fence is shared");
            }
            if newest.fence > calls.fence {
                return Err("fences go back");
            }
        }
        let mut open = self.spans.iter().filter(|span| !span.is_closed);
        if open.any(|span| span.last_arrival >= now) {
            return Err(OVERLAPPING_TENURES);
        }
        if self.has_returned_too_soon(&calls.process, now) {
            return Err("holders in the order A, B, A");
        }
        self.spans.push(calls);
        Ok(())
    }

    /// Whether the host of a process acted within the length of the lease, and another one after it.
    fn has_returned_too_soon(&self, process: &ProcessId, now: Tick) -> bool {
        let mut spans = self.spans.iter();
        let own = spans.rposition(|span| span.process.host == process.host);
        own.is_some_and(|own| {
            own + 1 < self.spans.len() && now - self.spans[own].last_arrival <= LENGTH
        })
    }

    /// No call of a process is open.
    pub fn close_calls(&mut self, process: &ProcessId, now: Tick) {
        if let Some(newest) = self.spans.last_mut()
            && newest.process == *process
        {
            newest.last_arrival = newest.last_arrival.min(now);
            newest.is_closed = true;
        }
    }

    /// Forgets what can't matter any more, so that more worlds are the same.
    pub fn prune(&mut self, now: Tick) {
        let newest = self.spans.last().map(|span| span.fence);
        self.spans
            .retain(|span| now <= span.last_arrival + LENGTH || Some(span.fence) == newest);
    }
}
