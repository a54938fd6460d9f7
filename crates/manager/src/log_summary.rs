//! Summaries of frequent events for the log.

use juniperrail_interface::Ms;

/// Limit on the details of one occurrence in the log. Peers choose a part of them.
const MAX_DETAILS_BYTES: usize = 1024;

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
        (self.count, self.last) = (self.count + 1, abbreviated(details));
    }
}

/// Cuts details that exceed [`MAX_DETAILS_BYTES`].
fn abbreviated(mut details: String) -> String {
    if details.len() > MAX_DETAILS_BYTES {
        let end = details.floor_char_boundary(MAX_DETAILS_BYTES);
        details.replace_range(end.., "...");
    }
    details
}

/// An event of which the first occurrence since the last summary is logged at once, and further ones are counted.
#[derive(Default)]
pub struct FirstLogged {
    first_is_logged: bool,
    further: EventCount,
}

impl FirstLogged {
    /// Records one occurrence. Returns the details if they have to be logged now.
    #[must_use]
    pub fn record(&mut self, details: String) -> Option<String> {
        if std::mem::replace(&mut self.first_is_logged, true) {
            self.further.record(details);
            return None;
        }
        Some(abbreviated(details))
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
    /// Streams that broke before the proxy had acknowledged what it was sent: it refused the orders, or the network
    /// failed.
    pub refused_orders: EventCount,
    /// Proxies that connected again and are not sent orders before a delay has passed.
    pub held_proxies: EventCount,
    pub silent_proxies: EventCount,
    /// Proxies that had been silent and sent a message again.
    pub resumed_proxies: usize,
    /// Lines that were invalid or could not be attributed.
    pub ignored_lines: EventCount,
    /// Connections that were rejected before they joined.
    pub rejected_connections: EventCount,
    /// Lists of workers that were applied.
    pub lists: FirstLogged,
    /// Lists with entries that could not be parsed.
    pub unreadable_entries: FirstLogged,
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
        let EventCount { count: refused, last } = summary.refused_orders;
        if refused > 0 {
            tracing::warn!(
                "{refused} streams broke with unacknowledged orders (refused by the proxy, or lost), the last: {last}"
            );
        }
        let EventCount { count: held, last } = summary.held_proxies;
        if held > 0 {
            tracing::warn!(
                "{held} joins delayed after streams that broke one after the other, the last: {last}"
            );
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
        let EventCount { count: lists, last } = summary.lists.further;
        if lists > 0 {
            tracing::info!("{lists} more lists applied, the last: {last}");
        }
        let EventCount { count: lists, last } = summary.unreadable_entries.further;
        if lists > 0 {
            tracing::warn!("{lists} more lists with entries that cannot be read, the last: {last}");
        }
    }
}
