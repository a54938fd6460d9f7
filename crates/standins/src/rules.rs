//! Checks the messages that proxies receive against the rules of the proxy protocol, independently of the manager's
//! code. The caller reports each message, each acknowledgement, and each removal of a worker by discovery or an
//! operator. Times are those of the caller's clock.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The limits that follow from the manager's settings.
#[derive(Clone, Debug)]
pub struct RuleLimits {
    /// Time within which every proxy must stop routing to a removed worker, in milliseconds.
    pub drain_grace_ms: f64,
    /// Maximum number of messages to one proxy within `message_window_ms`.
    pub max_messages: usize,
    /// The window over which messages are counted, in milliseconds.
    pub message_window_ms: f64,
    /// Maximum cost of all messages that have not been acknowledged yet, over all proxies, in lines.
    pub max_waiting_lines: f64,
    /// Cost of a message in addition to its lines, in lines.
    pub message_overhead_lines: f64,
}

/// A violated rule. Times are in milliseconds on the caller's clock.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// A proxy that could route to workers was left with none.
    Bare { proxy: u16, at: f64 },
    /// A proxy could still route to a removed worker this long after the end of its drain grace.
    Drain { proxy: u16, worker: String, late: f64 },
    /// A proxy received too many messages within the window.
    Messages { proxy: u16, count: usize },
    /// The messages that had not been acknowledged yet cost too many lines in total.
    Channel { lines: f64 },
    /// A message contained an unknown worker or an invalid weight.
    Unknown { proxy: u16, worker: String },
}

/// The state of a proxy after the messages that it received.
#[derive(Clone, Debug, Default)]
struct ProxyState {
    /// The weight of each worker in the table of each class of operations.
    tables: BTreeMap<String, BTreeMap<String, f64>>,
    /// Workers that the proxy must not route to, whatever its tables contain.
    excluded: BTreeSet<String>,
    /// When the messages within the window were received, in milliseconds.
    message_times: VecDeque<f64>,
    /// Whether it has ever been able to route to a worker.
    had_workers: bool,
    /// Whether it was able to route to a worker and no longer is.
    lost_all_workers: bool,
}

impl ProxyState {
    fn may_route_to(&self, worker: &str) -> bool {
        !self.excluded.contains(worker) && self.tables.values().any(|table| table.contains_key(worker))
    }
}

/// Derives the state of each proxy from its messages and collects the violations.
pub struct RuleChecker {
    limits: RuleLimits,
    proxies: BTreeMap<u16, ProxyState>,
    /// Removed workers, which no proxy may route to after the drain grace, and when their removal began.
    removed_since: BTreeMap<String, f64>,
    known_workers: BTreeSet<String>,
    /// The cost in lines of each message that awaits an acknowledgement, by proxy and mark.
    waiting_lines: BTreeMap<(u16, String), f64>,
    /// All violations so far, in the order in which they were found.
    pub violations: Vec<Violation>,
}

impl RuleChecker {
    /// A checker that knows no workers and no proxies yet.
    pub fn new(limits: RuleLimits) -> RuleChecker {
        let (proxies, removed_since, known_workers, waiting_lines) = Default::default();
        RuleChecker { limits, proxies, removed_since, known_workers, waiting_lines, violations: Vec::new() }
    }

    /// Adds a worker that messages may contain.
    pub fn add_known_worker(&mut self, worker: &str) {
        self.known_workers.insert(worker.to_string());
    }

    /// Starts the removal of a worker: once the drain grace has passed since `now_ms`, no proxy may route to it.
    pub fn start_removal(&mut self, worker: &str, now_ms: f64) {
        self.removed_since.entry(worker.to_string()).or_insert(now_ms);
    }

    /// Cancels the removal of a worker: proxies may route to it again.
    pub fn cancel_removal(&mut self, worker: &str) {
        self.removed_since.remove(worker);
    }

    /// Records that a proxy connected. It has no tables yet.
    pub fn proxy_connected(&mut self, proxy: u16) {
        self.proxies.insert(proxy, ProxyState::default());
        self.waiting_lines.retain(|(waiting_proxy, _), _| *waiting_proxy != proxy);
    }

    /// Records that the connection of a proxy ended.
    pub fn proxy_disconnected(&mut self, proxy: u16) {
        self.proxies.remove(&proxy);
        self.waiting_lines.retain(|(waiting_proxy, _), _| *waiting_proxy != proxy);
    }

    /// Records that a proxy received a complete message. `parts`: the `push` lines that it consists of.
    pub fn record_message(&mut self, proxy: u16, parts: &[String], now_ms: f64) {
        let known_workers = &self.known_workers;
        let Some(state) = self.proxies.get_mut(&proxy) else { return };
        let mut cost_lines = self.limits.message_overhead_lines;
        let mut mark = None;
        for part in parts {
            let fields: BTreeMap<&str, &str> =
                part.split(' ').filter_map(|word| word.split_once('=')).collect();
            let classes = fields.get("classes").copied().unwrap_or("*").to_string();
            if fields.contains_key("whole") {
                if classes == "*" {
                    state.tables.clear();
                }
                state.tables.insert(classes.clone(), BTreeMap::new());
                cost_lines += 1.0;
            }
            for line in fields.get("lines").into_iter().flat_map(|lines| lines.split(',')) {
                let (worker, weight) = line.split_once(':').unwrap_or((line, "nan"));
                let weight: f64 = weight.parse().unwrap_or(f64::NAN);
                if !known_workers.contains(worker) || !weight.is_finite() || weight < 0.0 {
                    self.violations.push(Violation::Unknown { proxy, worker: worker.into() });
                }
                let table = state.tables.entry(classes.clone()).or_default();
                match weight > 0.0 {
                    true => _ = table.insert(worker.into(), weight),
                    false => _ = table.remove(worker),
                }
                cost_lines += 1.0;
            }
            for worker in fields.get("out").into_iter().flat_map(|out| out.split(',')) {
                state.excluded.insert(worker.into());
                cost_lines += 1.0;
            }
            for worker in fields.get("back").into_iter().flat_map(|back| back.split(',')) {
                state.excluded.remove(worker);
                cost_lines += 1.0;
            }
            cost_lines += f64::from(u8::from(fields.contains_key("level")));
            if let Some(value) = fields.get("ticket") {
                cost_lines += 1.0;
                mark = Some(value.to_string());
            }
        }
        state.message_times.retain(|received_at_ms| now_ms - received_at_ms <= self.limits.message_window_ms);
        state.message_times.push_back(now_ms);
        if state.message_times.len() > self.limits.max_messages {
            self.violations.push(Violation::Messages { proxy, count: state.message_times.len() });
        }
        let can_route = state.tables.values().flatten().any(|(worker, _)| !state.excluded.contains(worker));
        if state.had_workers && !can_route && !state.lost_all_workers {
            self.violations.push(Violation::Bare { proxy, at: now_ms });
        }
        state.lost_all_workers = state.had_workers && !can_route;
        state.had_workers |= can_route;
        if let Some(mark) = mark {
            self.waiting_lines.insert((proxy, mark), cost_lines);
        }
        let waiting: f64 = self.waiting_lines.values().sum();
        if waiting > self.limits.max_waiting_lines {
            self.violations.push(Violation::Channel { lines: waiting });
        }
        self.check_removals(now_ms);
    }

    /// Records that a proxy acknowledged a mark: the message with the mark has left the channel, so that its cost no
    /// longer counts.
    pub fn record_acknowledgement(&mut self, proxy: u16, mark: &str) {
        self.waiting_lines.remove(&(proxy, mark.to_string()));
    }

    /// Records a violation for each proxy that may still route to a worker whose drain grace is over. Each pair of a
    /// proxy and a worker is recorded once.
    pub fn check_removals(&mut self, now_ms: f64) {
        for (worker, removed_at_ms) in &self.removed_since {
            let late = now_ms - removed_at_ms - self.limits.drain_grace_ms;
            if late <= 0.0 {
                continue;
            }
            let routing = self.proxies.iter().filter(|(_, state)| state.may_route_to(worker));
            for proxy in routing.map(|(proxy, _)| proxy) {
                let is_recorded = |violation: &Violation| matches!(violation, Violation::Drain { proxy: p, worker: w, .. } if p == proxy && w == worker);
                if !self.violations.iter().any(is_recorded) {
                    let worker = worker.clone();
                    self.violations.push(Violation::Drain { proxy: *proxy, worker, late });
                }
            }
        }
    }

    /// The workers to which a proxy may route requests. Where a worker is in the tables of several classes, the weight
    /// is that of the last class in alphabetical order.
    pub fn routable_workers(&self, proxy: u16) -> BTreeMap<String, f64> {
        let Some(state) = self.proxies.get(&proxy) else { return BTreeMap::new() };
        let workers = state.tables.values().flatten();
        workers
            .filter(|(worker, _)| !state.excluded.contains(*worker))
            .map(|(worker, weight)| (worker.clone(), *weight))
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn checker_with_one_proxy() -> RuleChecker {
        let limits = RuleLimits {
            drain_grace_ms: 3000.0,
            max_messages: 3,
            message_window_ms: 10_000.0,
            max_waiting_lines: 30.0,
            message_overhead_lines: 4.0,
        };
        let mut checker = RuleChecker::new(limits);
        ["a", "b"].iter().for_each(|worker| checker.add_known_worker(worker));
        checker.proxy_connected(1);
        checker.record_message(1, &["push whole=1 lines=a:1,b:0.5 ticket=1".into()], 0.0);
        checker.record_acknowledgement(1, "1");
        checker
    }

    fn receive(checker: &mut RuleChecker, parts: &[&str], now_ms: f64) {
        let parts: Vec<String> = parts.iter().map(|part| part.to_string()).collect();
        checker.record_message(1, &parts, now_ms);
    }

    #[test]
    fn valid_messages_violate_no_rule() {
        let mut checker = checker_with_one_proxy();
        checker.start_removal("a", 100.0);
        receive(&mut checker, &["push out=a ticket=2"], 200.0);
        checker.check_removals(9_000.0);
        assert_eq!(
            (checker.violations.as_slice(), checker.routable_workers(1)),
            (&[][..], BTreeMap::from([("b".to_string(), 0.5)]))
        );
        checker.cancel_removal("a");
        receive(&mut checker, &["push lines=a:2 more=1", "push back=a ticket=3"], 20_000.0);
        assert_eq!((checker.violations.len(), checker.routable_workers(1).len()), (0, 2));
    }

    #[test]
    fn each_kind_of_violation_is_found() {
        let mut no_workers = checker_with_one_proxy();
        receive(&mut no_workers, &["push out=a,b"], 10.0);
        assert!(matches!(no_workers.violations[..], [Violation::Bare { proxy: 1, .. }]));
        let mut late_drain = checker_with_one_proxy();
        late_drain.start_removal("a", 100.0);
        late_drain.check_removals(3_100.0);
        assert!(late_drain.violations.is_empty(), "a violation before the drain grace was over");
        late_drain.check_removals(3_101.0);
        late_drain.check_removals(3_200.0);
        assert!(
            matches!(&late_drain.violations[..], [Violation::Drain { worker, .. }] if worker == "a"),
            "one violation per proxy and worker"
        );
        let mut many_messages = checker_with_one_proxy();
        (1..=3).for_each(|n| receive(&mut many_messages, &["push ticket=9"], f64::from(n)));
        assert!(matches!(many_messages.violations[..], [Violation::Messages { count: 4, .. }]));
        let mut full_channel = checker_with_one_proxy();
        receive(&mut full_channel, &["push whole=1 lines=a:1,b:1 ticket=2"], 1.0);
        receive(
            &mut full_channel,
            &["push whole=1 lines=a:1,b:1,a:1,b:1,a:1,b:1,a:1,b:1,a:1,b:1,a:1,b:1,a:1,b:1,a:1,b:1,a:1,b:1 ticket=3"],
            2.0,
        );
        assert!(
            matches!(full_channel.violations[..], [Violation::Channel { .. }]),
            "{:?}",
            full_channel.violations
        );
        let mut unknown_worker = checker_with_one_proxy();
        receive(&mut unknown_worker, &["push lines=c:1"], 1.0);
        receive(&mut unknown_worker, &["push lines=a:-1"], 2.0);
        assert_eq!(unknown_worker.violations.len(), 2);
    }
}
