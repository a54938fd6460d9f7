//! Summaries of frequent events for the log.

use juniperrail_interface::Ms;

/// Counts the occurrences of an event.
#[derive(Default)]
pub struct EventCount {
    count: usize,
    /// Details of the last occurrence.
    last: String,
}

impl EventCount {
    /// Counts one occurrence.
    pub fn record(&mut self, details: String) {
        (self.count, self.last) = (self.count + 1, details);
    }
}

/// Events that are logged as one summary at most once per report period, so that a burst of them does not flood the
/// log.
#[derive(Default)]
pub struct LogSummary {
    /// Proxies reported to the planner as joined.
    pub joined_proxies: usize,
    /// Proxies reported to the planner as left.
    pub left_proxies: usize,
    pub broken_connections: EventCount,
    pub silent_proxies: EventCount,
    /// Proxies that had been silent and sent a message again.
    pub resumed_proxies: usize,
    /// Lines that were invalid or could not be attributed.
    pub ignored_lines: EventCount,
    /// Connections that were rejected before they joined.
    pub rejected_connections: EventCount,
    /// When the last summary was logged.
    pub logged_at: Ms,
}

impl LogSummary {
    /// Logs what occurred since the last summary and starts the next one. `joined_count` is the number of proxies that
    /// are joined now.
    pub fn log(&mut self, now: Ms, joined_count: usize) {
        let summary = std::mem::replace(self, LogSummary { logged_at: now, ..LogSummary::default() });
        if summary.joined_proxies + summary.left_proxies > 0 {
            tracing::info!(
                "{} proxies joined, {} left, {joined_count} currently joined",
                summary.joined_proxies,
                summary.left_proxies
            );
        }
        let EventCount { count: broken, last } = summary.broken_connections;
        if broken > 0 {
            tracing::info!("{broken} connections broke, the last: {last}");
        }
        let EventCount { count: silent, last } = summary.silent_proxies;
        if silent + summary.resumed_proxies > 0 {
            tracing::warn!(
                "{silent} proxies fell silent, {} resumed, the last: {last}",
                summary.resumed_proxies
            );
        }
        let EventCount { count: ignored, last } = summary.ignored_lines;
        if ignored > 0 {
            tracing::warn!("{ignored} lines ignored, the last: {last}");
        }
        let EventCount { count: rejected, last } = summary.rejected_connections;
        if rejected > 0 {
            tracing::warn!("{rejected} connections rejected before joining, the last: {last}");
        }
    }
}
