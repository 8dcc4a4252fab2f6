//! Configures and starts logging.

mod bounded;

pub use bounded::{BoundedOutput, LineBudget, URGENT_TARGET};
use {
    crate::settings::{Section, SettingError},
    logforth::{
        append, layout,
        record::{Level, LevelFilter},
    },
};

/// The format of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The options of the `[log]` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogOptions {
    /// The format of the lines.
    pub format: LogFormat,
    /// The least severe level that is written.
    pub level: Level,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self {
            format: LogFormat::Text,
            level: Level::Info,
        }
    }
}

impl LogOptions {
    /// Reads the section.
    ///
    /// # Errors
    /// Reports the key whose value is not allowed.
    pub fn read(section: &mut Section<'_>) -> Result<Self, SettingError> {
        let format = match section
            .choice("format", "text", &["text", "json"])?
            .as_str()
        {
            "json" => LogFormat::Json,
            _ => LogFormat::Text,
        };
        let level = match section
            .choice("level", "info", &["error", "warn", "info", "debug"])?
            .as_str()
        {
            "error" => Level::Error,
            "warn" => Level::Warn,
            "debug" => Level::Debug,
            _ => Level::Info,
        };
        Ok(Self { format, level })
    }
}

/// Starts logging to standard error. Must be called at most once per process.
pub fn start(options: &LogOptions) {
    let filter = LevelFilter::MoreSevereEqual(options.level);
    let stderr = match options.format {
        LogFormat::Text => {
            append::Stderr::default().with_layout(layout::TextLayout::default().no_color())
        }
        LogFormat::Json => append::Stderr::default().with_layout(layout::JsonLayout::default()),
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(stderr))
        .apply();
}

/// Starts logging to standard output with a rate limit and without blocking. Must be called at most
/// once per process.
pub fn start_bounded(options: &LogOptions, budget: LineBudget) {
    let filter = LevelFilter::MoreSevereEqual(options.level);
    let output = BoundedOutput::start(budget, std::io::stdout());
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(output))
        .apply();
}

/// Waits for a short time until the queued lines are written. Must be called before the process exits.
pub fn flush() {
    log::logger().flush();
}
