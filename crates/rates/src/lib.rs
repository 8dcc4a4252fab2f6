//! Rate limits shared by all hosts: how often all hosts together may send to an upstream, according to the
//! limit that it advertises in its answers. The decisions are pure: the time, random numbers and received
//! messages are arguments.
//!
//! For each upstream one host is the lender and keeps a token bucket with the rate of the limit. The other
//! hosts ask it for permits, one for each request. The hosts run no agreement protocol: while they disagree on
//! the lender, or after its loss, an upstream may get somewhat more or fewer requests.

#![deny(clippy::disallowed_methods)]

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
