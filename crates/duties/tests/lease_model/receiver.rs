//! What the receiver of calls may see, at worst.

use {
    super::setup::{CROSSED, LENGTH, Tick},
    tealshore_duties::lease::{FencingToken, ProcessId},
};

/// Calls under one fence.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Span {
    pub process: ProcessId,
    pub fence: FencingToken,
    /// When the last of them may arrive.
    pub last: Tick,
    /// The last one has arrived: the lease is released once no call is open.
    pub is_closed: bool,
}

/// What the receiver may have seen, in its order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Receiver {
    spans: Vec<Span>,
}

impl Receiver {
    /// A process may make calls now; what is wrong with that.
    pub fn see(&mut self, seen: Span, now: Tick) -> Result<(), &'static str> {
        if let Some(newest) = self.spans.last_mut() {
            if newest.process == seen.process && newest.fence == seen.fence {
                newest.last = newest.last.max(seen.last);
                newest.is_closed = false;
                return Ok(());
            }
            if newest.fence == seen.fence {
                return Err("a fence is shared");
            }
            if newest.fence > seen.fence {
                return Err("fences go back");
            }
        }
        let mut open = self.spans.iter().filter(|span| !span.is_closed);
        if open.any(|span| span.last >= now) {
            return Err(CROSSED);
        }
        if self.was_holder_before_another(&seen.process, now) {
            return Err("holders in the order A, B, A");
        }
        self.spans.push(seen);
        Ok(())
    }

    /// Whether the host of a process acted within the length of the lease, and another one after it.
    fn was_holder_before_another(&self, process: &ProcessId, now: Tick) -> bool {
        let mut spans = self.spans.iter();
        let own = spans.rposition(|span| span.process.host == process.host);
        own.is_some_and(|own| own + 1 < self.spans.len() && now - self.spans[own].last <= LENGTH)
    }

    /// No call of a process is open.
    pub fn close(&mut self, process: &ProcessId, now: Tick) {
        if let Some(newest) = self.spans.last_mut()
            && newest.process == *process
        {
            newest.last = newest.last.min(now);
            newest.is_closed = true;
        }
    }

    /// Forgets what can't matter any more, so that more worlds are the same.
    pub fn forget(&mut self, now: Tick) {
        let newest = self.spans.last().map(|span| span.fence);
        self.spans
            .retain(|span| now <= span.last + LENGTH || Some(span.fence) == newest);
    }
}
