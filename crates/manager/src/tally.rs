//! What is logged in sums.

use juniperrail_interface::Ms;

/// How often a thing happened, and the last time's particulars.
#[derive(Default)]
pub struct Count(usize, String);

impl Count {
    pub fn add(&mut self, last: String) {
        (self.0, self.1) = (self.0 + 1, last);
    }
}

/// What is logged in sums, at most once a report period, so that a storm of it floods no log.
#[derive(Default)]
pub struct Tally {
    pub joined: usize,
    pub left: usize,
    pub broke: Count,
    pub silent: Count,
    pub spoke: usize,
    pub odd: Count,
    pub away: Count,
    pub logged: Ms,
}

impl Tally {
    pub fn log(&mut self, now: Ms, open: usize) {
        let tally = std::mem::replace(self, Tally { logged: now, ..Tally::default() });
        if tally.joined + tally.left > 0 {
            tracing::info!("{} proxies joined, {} left, {open} are here", tally.joined, tally.left);
        }
        let Count(broke, last) = tally.broke;
        if broke > 0 {
            tracing::info!("{broke} connections broke, the last: {last}");
        }
        let Count(silent, last) = tally.silent;
        if silent + tally.spoke > 0 {
            tracing::warn!("{silent} proxies fell silent, {} spoke again, the last: {last}", tally.spoke);
        }
        let Count(odd, last) = tally.odd;
        if odd > 0 {
            tracing::warn!("{odd} lines passed over, the last: {last}");
        }
        let Count(away, last) = tally.away;
        if away > 0 {
            tracing::warn!("{away} strangers turned away, the last: {last}");
        }
    }
}
