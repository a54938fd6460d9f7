//! Logging of the program: one line per event on standard error, as text or JSON, filtered by `RUST_LOG`.

use std::fmt;

use tracing::{Event, Subscriber};
use tracing_subscriber::filter::{EnvFilter, LevelFilter};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::{FormatTime, SystemTime};
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum LogFormat {
    #[default]
    Text,
    Json,
}

/// Formats an event as `[2026-12-01T18:03:00.123456Z INFO juniperrail_manager::decider] message`.
struct TextFormat;

impl<S, N> FormatEvent<S, N> for TextFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        writer.write_char('[')?;
        SystemTime.format_time(&mut writer)?;
        let metadata = event.metadata();
        write!(writer, " {} {}] ", metadata.level(), metadata.target())?;
        context.field_format().format_fields(writer.by_ref(), event)?;
        writeln!(writer)
    }
}

/// Installs the global log subscriber. Panics if it is called twice.
pub fn start(format: LogFormat) {
    let filter = EnvFilter::builder().with_default_directive(LevelFilter::INFO.into()).from_env_lossy();
    let subscriber = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    // If the reader of standard error goes away, the subscriber would report the failed write to standard error too,
    // and that second failure would end the program.
    let subscriber = subscriber.log_internal_errors(false);
    match format {
        LogFormat::Text => subscriber.event_format(TextFormat).init(),
        LogFormat::Json => {
            subscriber.json().flatten_event(true).with_current_span(true).with_span_list(false).init()
        }
    }
}
