//! How the program logs: to standard error, one line an event, as text or as JSON. `RUST_LOG` says what.

use std::fmt;

use tracing::{Event, Subscriber};
use tracing_subscriber::filter::{EnvFilter, LevelFilter};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::{FormatTime, SystemTime};
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Form {
    #[default]
    Text,
    Json,
}

/// `[2026-12-01T18:03:00.123456Z INFO juniperrail_manager::decider] what happened`
struct Line;

impl<S, N> FormatEvent<S, N> for Line
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
        let about = event.metadata();
        write!(writer, " {} {}] ", about.level(), about.target())?;
        context.field_format().format_fields(writer.by_ref(), event)?;
        writeln!(writer)
    }
}

/// From here on everything is logged, once in a program.
pub fn start(form: Form) {
    let filter = EnvFilter::builder().with_default_directive(LevelFilter::INFO.into()).from_env_lossy();
    // Guards against whoever reads the log going away: the complaint about that would go the same way, and end the program.
    let lines = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let lines = lines.log_internal_errors(false);
    match form {
        Form::Text => lines.event_format(Line).init(),
        Form::Json => lines.json().flatten_event(true).with_current_span(true).with_span_list(false).init(),
    }
}
