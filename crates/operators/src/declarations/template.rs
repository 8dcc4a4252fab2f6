//! A template: the model to use and the parameters with their ranges.

use {
    tealshore_core::{
        ids::ServiceId,
        settings::{Section, SettingError},
    },
    tealshore_decide::policy::{Repeat, ResumePolicy},
};

/// The upper limit for `max_tokens`, the length of one response in tokens.
const MAX_TOKENS_LIMIT: u64 = 1_000_000;
/// The upper limit for `max_in_flight`, the concurrent requests of a customer on one entry host.
const MAX_IN_FLIGHT_LIMIT: u64 = 10_000;

/// The parameters that apply to a customer that uses a template.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The service (group of engines) that handles the requests.
    pub service: ServiceId,
    /// The name of the adapter; empty for none.
    pub adapter: String,
    /// The version of the model weights.
    pub version: String,
    /// The scheduling priority; higher values go first.
    pub priority: i32,
    /// The scheduling weight of the customer relative to others on the same engines.
    pub share: u64,
    /// Whether resumes favor low latency or little extra work.
    pub resume: ResumePolicy,
    /// Whether a request may be sent to a model more than once.
    pub repeat: Repeat,
    /// The maximum length of a response, in tokens.
    pub max_tokens: u64,
    /// The maximum number of requests of the customer that one entry host runs concurrently.
    pub max_in_flight: u64,
}

impl Grant {
    /// Returns all parameters as text, each with the name of its key.
    #[must_use]
    pub fn parameters(&self) -> [(&'static str, String); 9] {
        [
            ("service", self.service.clone()),
            ("adapter", self.adapter.clone()),
            ("version", self.version.clone()),
            ("priority", self.priority.to_string()),
            ("share", self.share.to_string()),
            ("resume", resume_name(self.resume).to_owned()),
            ("repeat", repeat_name(self.repeat).to_owned()),
            ("max_tokens", self.max_tokens.to_string()),
            ("max_in_flight", self.max_in_flight.to_string()),
        ]
    }
}

/// The parameters of a `[template NAME]` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TemplateOptions {
    grant: Grant,
}

impl TemplateOptions {
    /// Reads a `[template NAME]` section.
    ///
    /// # Errors
    /// Reports the key whose value is not allowed.
    pub fn read(mut section: Section<'_>) -> Result<Self, SettingError> {
        let grant = Grant {
            service: section.required("service", "the name of a service (a group of engines)")?,
            adapter: section.text("adapter", ""),
            version: section.required("version", "a version of the model weights")?,
            priority: 0,
            share: 1,
            resume: ResumePolicy::default(),
            repeat: Repeat::Allowed,
            max_tokens: 8_192,
            max_in_flight: 64,
        };
        let grant = override_parameters(&mut section, "", grant)?;
        section.deny_unknown()?;
        Ok(Self { grant })
    }

    /// Applies a customer's overrides, given as `TEMPLATE.KEY = VALUE`, to the template.
    ///
    /// # Errors
    /// Reports the key whose value is not allowed.
    pub fn with_overrides(
        &self,
        template: &str,
        section: &mut Section<'_>,
    ) -> Result<Grant, SettingError> {
        override_parameters(section, &format!("{template}."), self.grant.clone())
    }
}

/// Reads the parameters that a template sets and a customer may override.
fn override_parameters(
    section: &mut Section<'_>,
    prefix: &str,
    base: Grant,
) -> Result<Grant, SettingError> {
    let key = |name: &str| format!("{prefix}{name}");
    let resume = section.choice(
        &key("resume"),
        resume_name(base.resume),
        &["latency", "thrift"],
    )?;
    let repeat = section.choice(
        &key("repeat"),
        repeat_name(base.repeat),
        &["allowed", "forbidden"],
    )?;
    let priority = section.integer(
        &key("priority"),
        u64::try_from(base.priority).unwrap_or(0),
        0..=9,
    )?;
    Ok(Grant {
        priority: i32::try_from(priority).unwrap_or(0),
        share: section.integer(&key("share"), base.share, 1..=1_000)?,
        resume: if resume == "latency" {
            ResumePolicy::Latency
        } else {
            ResumePolicy::Thrift
        },
        repeat: if repeat == "forbidden" {
            Repeat::Forbidden
        } else {
            Repeat::Allowed
        },
        max_tokens: section.integer(&key("max_tokens"), base.max_tokens, 1..=MAX_TOKENS_LIMIT)?,
        max_in_flight: section.integer(
            &key("max_in_flight"),
            base.max_in_flight,
            1..=MAX_IN_FLIGHT_LIMIT,
        )?,
        ..base
    })
}

fn resume_name(policy: ResumePolicy) -> &'static str {
    match policy {
        ResumePolicy::Latency => "latency",
        ResumePolicy::Thrift => "thrift",
    }
}

fn repeat_name(repeat: Repeat) -> &'static str {
    match repeat {
        Repeat::Allowed => "allowed",
        Repeat::Forbidden => "forbidden",
    }
}
