//! Rates that all hosts share: how often an upstream may be sent to by all of them together, by the limit that
//! it names in its answers. Pure decisions: the time, chance and all that was heard come in as arguments.
//!
//! One host for each upstream, its lender, has a token bucket of the limit's rate; the others ask it for
//! permits, one for each request. Where hosts do not agree on the lender for a moment, or lose it, the upstream
//! gets a little more or less; nothing has to be agreed on first.

mod borrower;
mod known;
mod lender;
mod named;
mod ranking;

pub use {
    borrower::{Ask, Borrower, NextPermit},
    known::{KnownLimits, LimitChange, LimitUpdate, MAX_UPSTREAMS},
    lender::{Lender, Loan, PermitRequest},
    named::AdvertisedLimit,
    ranking::{Proximity, lendable_fraction, rank},
};
