//! A checker of the rules on what crosses to the proxies, independent of any manager: it is told each message and
//! each answer, and what discovery and operators said, with the times.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The limits that the settings give, in milliseconds and counts.
#[derive(Clone, Debug)]
pub struct RuleLimits {
    pub drain_grace_ms: f64,
    pub max_messages: usize,
    pub message_window_ms: f64,
    pub max_waiting_lines: f64,
    pub message_overhead_lines: f64,
}

/// A rule that was broken, and how.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// A proxy that had workers to pick from was left with none.
    Bare {
        proxy: u16,
        at: f64,
    },
    /// A proxy could still pick a worker when its drain grace was over.
    Drain {
        proxy: u16,
        worker: String,
        late: f64,
    },
    Messages {
        proxy: u16,
        count: usize,
    },
    Channel {
        lines: f64,
    },
    /// A message that names a worker of which nobody ever told.
    Unknown {
        proxy: u16,
        worker: String,
    },
}

#[derive(Clone, Debug, Default)]
struct Proxy {
    lines: BTreeMap<String, BTreeMap<String, f64>>,
    out: BTreeSet<String>,
    messages: VecDeque<f64>,
    had: bool,
    bare: bool,
}

impl Proxy {
    fn picks(&self, worker: &str) -> bool {
        !self.out.contains(worker) && self.lines.values().any(|table| table.contains_key(worker))
    }
}

/// What proxies hold by what they were written, and what that breaks.
pub struct RuleChecker {
    limits: RuleLimits,
    proxies: BTreeMap<u16, Proxy>,
    /// Workers that have to be out, and since when that was told.
    leaving: BTreeMap<String, f64>,
    known: BTreeSet<String>,
    waiting: BTreeMap<(u16, String), f64>,
    pub violations: Vec<Violation>,
}

impl RuleChecker {
    pub fn new(limits: RuleLimits) -> RuleChecker {
        let (proxies, leaving, known, waiting) = Default::default();
        RuleChecker { limits, proxies, leaving, known, waiting, violations: Vec::new() }
    }

    pub fn add_known_worker(&mut self, worker: &str) {
        self.known.insert(worker.to_string());
    }

    /// A worker has to be out of every table a grace from now on.
    pub fn start_removal(&mut self, worker: &str, now: f64) {
        self.leaving.entry(worker.to_string()).or_insert(now);
    }

    pub fn cancel_removal(&mut self, worker: &str) {
        self.leaving.remove(worker);
    }

    pub fn proxy_connected(&mut self, proxy: u16) {
        self.proxies.insert(proxy, Proxy::default());
        self.waiting.retain(|(of, _), _| *of != proxy);
    }

    pub fn proxy_disconnected(&mut self, proxy: u16) {
        self.proxies.remove(&proxy);
        self.waiting.retain(|(of, _), _| *of != proxy);
    }

    /// A whole message of the line protocol, its parts one a line, as it arrived at the proxy.
    pub fn record_message(&mut self, proxy: u16, parts: &[String], now: f64) {
        let known = &self.known;
        let Some(holds) = self.proxies.get_mut(&proxy) else { return };
        let mut lines = self.limits.message_overhead_lines;
        let mut mark = None;
        for part in parts {
            let fields: BTreeMap<&str, &str> =
                part.split(' ').filter_map(|word| word.split_once('=')).collect();
            let classes = fields.get("classes").copied().unwrap_or("*").to_string();
            if fields.contains_key("whole") {
                if classes == "*" {
                    holds.lines.clear();
                }
                holds.lines.insert(classes.clone(), BTreeMap::new());
                lines += 1.0;
            }
            for line in fields.get("lines").into_iter().flat_map(|lines| lines.split(',')) {
                let (worker, weight) = line.split_once(':').unwrap_or((line, "nan"));
                let weight: f64 = weight.parse().unwrap_or(f64::NAN);
                if !known.contains(worker) || !weight.is_finite() || weight < 0.0 {
                    self.violations.push(Violation::Unknown { proxy, worker: worker.into() });
                }
                let tables = holds.lines.entry(classes.clone()).or_default();
                match weight > 0.0 {
                    true => _ = tables.insert(worker.into(), weight),
                    false => _ = tables.remove(worker),
                }
                lines += 1.0;
            }
            for worker in fields.get("out").into_iter().flat_map(|out| out.split(',')) {
                holds.out.insert(worker.into());
                lines += 1.0;
            }
            for worker in fields.get("back").into_iter().flat_map(|back| back.split(',')) {
                holds.out.remove(worker);
                lines += 1.0;
            }
            lines += f64::from(u8::from(fields.contains_key("level")));
            if let Some(ticket) = fields.get("ticket") {
                lines += 1.0;
                mark = Some(ticket.to_string());
            }
        }
        holds.messages.retain(|at| now - at <= self.limits.message_window_ms);
        holds.messages.push_back(now);
        if holds.messages.len() > self.limits.max_messages {
            self.violations.push(Violation::Messages { proxy, count: holds.messages.len() });
        }
        let picks = holds.lines.values().flatten().any(|(worker, _)| !holds.out.contains(worker));
        if holds.had && !picks && !holds.bare {
            self.violations.push(Violation::Bare { proxy, at: now });
        }
        holds.bare = holds.had && !picks;
        holds.had |= picks;
        if let Some(mark) = mark {
            self.waiting.insert((proxy, mark), lines);
        }
        let waiting: f64 = self.waiting.values().sum();
        if waiting > self.limits.max_waiting_lines {
            self.violations.push(Violation::Channel { lines: waiting });
        }
        self.check_removals(now);
    }

    /// A proxy answers a mark; all before it left the channel.
    pub fn record_acknowledgement(&mut self, proxy: u16, mark: &str) {
        self.waiting.remove(&(proxy, mark.to_string()));
    }

    /// Who still picks a worker whose grace is over.
    pub fn check_removals(&mut self, now: f64) {
        for (worker, since) in &self.leaving {
            let late = now - since - self.limits.drain_grace_ms;
            if late <= 0.0 {
                continue;
            }
            for proxy in self.proxies.iter().filter(|(_, holds)| holds.picks(worker)).map(|(proxy, _)| proxy)
            {
                let known = |b: &Violation| matches!(b, Violation::Drain { proxy: p, worker: w, .. } if p == proxy && w == worker);
                if !self.violations.iter().any(known) {
                    let worker = worker.clone();
                    self.violations.push(Violation::Drain { proxy: *proxy, worker, late });
                }
            }
        }
    }

    /// What a proxy may pick, with the weights of its first table.
    pub fn routable_workers(&self, proxy: u16) -> BTreeMap<String, f64> {
        let Some(holds) = self.proxies.get(&proxy) else { return BTreeMap::new() };
        let lines = holds.lines.values().flatten();
        lines
            .filter(|(worker, _)| !holds.out.contains(*worker))
            .map(|(w, weight)| (w.clone(), *weight))
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn rules() -> RuleChecker {
        let limits = RuleLimits {
            drain_grace_ms: 3000.0,
            max_messages: 3,
            message_window_ms: 10_000.0,
            max_waiting_lines: 30.0,
            message_overhead_lines: 4.0,
        };
        let mut rules = RuleChecker::new(limits);
        ["a", "b"].iter().for_each(|worker| rules.add_known_worker(worker));
        rules.proxy_connected(1);
        rules.record_message(1, &["push whole=1 lines=a:1,b:0.5 ticket=1".into()], 0.0);
        rules.record_acknowledgement(1, "1");
        rules
    }

    fn told(rules: &mut RuleChecker, parts: &[&str], now: f64) {
        let parts: Vec<String> = parts.iter().map(|part| part.to_string()).collect();
        rules.record_message(1, &parts, now);
    }

    #[test]
    fn a_sound_course_breaks_nothing() {
        let mut rules = rules();
        rules.start_removal("a", 100.0);
        told(&mut rules, &["push out=a ticket=2"], 200.0);
        rules.check_removals(9_000.0);
        assert_eq!(
            (rules.violations.as_slice(), rules.routable_workers(1)),
            (&[][..], BTreeMap::from([("b".to_string(), 0.5)]))
        );
        rules.cancel_removal("a");
        told(&mut rules, &["push lines=a:2 more=1", "push back=a ticket=3"], 20_000.0);
        assert_eq!((rules.violations.len(), rules.routable_workers(1).len()), (0, 2));
    }

    #[test]
    fn each_kind_of_breach_is_found() {
        let mut bare = rules();
        told(&mut bare, &["push out=a,b"], 10.0);
        assert!(matches!(bare.violations[..], [Violation::Bare { proxy: 1, .. }]));
        let mut drain = rules();
        drain.start_removal("a", 100.0);
        drain.check_removals(3_100.0);
        assert!(drain.violations.is_empty(), "not yet");
        drain.check_removals(3_101.0);
        drain.check_removals(3_200.0);
        assert!(
            matches!(&drain.violations[..], [Violation::Drain { worker, .. }] if worker == "a"),
            "told once"
        );
        let mut many = rules();
        (1..=3).for_each(|n| told(&mut many, &["push ticket=9"], f64::from(n)));
        assert!(matches!(many.violations[..], [Violation::Messages { count: 4, .. }]));
        let mut full = rules();
        told(&mut full, &["push whole=1 lines=a:1,b:1 ticket=2"], 1.0);
        told(
            &mut full,
            &["push whole=1 lines=a:1,b:1,a:1,b:1,a:1,b:1,a:1,b:1,a:1,b:1,a:1,b:1,a:1,b:1,a:1,b:1,a:1,b:1 ticket=3"],
            2.0,
        );
        assert!(matches!(full.violations[..], [Violation::Channel { .. }]), "{:?}", full.violations);
        let mut unknown = rules();
        told(&mut unknown, &["push lines=c:1"], 1.0);
        told(&mut unknown, &["push lines=a:-1"], 2.0);
        assert_eq!(unknown.violations.len(), 2);
    }
}
