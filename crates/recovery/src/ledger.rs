//! The ledger of authorised repeats, and the gate before it. That a side-effecting operation may be tried again is told
//! to a proxy only once the ledger holds it durably: after a crash at any step the ledger knows of every repeat that was
//! ever let out, and of none that nobody asked for.
//!
//! The ledger is only added to. It is compacted by one rule: what ended longer ago than anybody could still come back
//! with an invocation of that time is dropped, whole.

use std::collections::BTreeMap;
use std::fmt;

use juniperrail_interface::{Ms, ProxyId, TableId};
use serde::{Deserialize, Serialize};

/// What may be repeated: an operation, by its name as ids change with the settings, at a proxy by a table.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Right {
    pub operation: String,
    pub table: u16,
    pub proxy: u16,
}

impl Right {
    pub fn new(operation: &str, table: TableId, proxy: ProxyId) -> Right {
        Right { operation: operation.into(), table: table.0, proxy: proxy.0 }
    }
}

/// A point in a manager's life: which of its runs, and the mark that goes with the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Moment {
    pub run: u64,
    pub mark: u64,
}

/// One repeat that was authorised. Without an end it may still be made.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Authorised {
    pub from: Moment,
    pub since: Ms,
    /// The mark whose answer showed that the proxy repeats no more, and when that came.
    pub to: Option<(Moment, Ms)>,
}

/// What the ledger is written as.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A repeat is authorised from that mark on.
    Opened { right: Right, from: Moment, since: Ms },
    /// The proxy answered that it repeats no more, or its stream is over and its table was laid anew without it.
    Closed { right: Right, to: Moment, at: Ms },
    /// One entry as it stands, in a snapshot.
    Kept { right: Right, authorised: Authorised },
}

/// Bytes that are no record of ours.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unread(String);

impl fmt::Display for Unread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a record of the ledger cannot be read: {}", self.0)
    }
}

impl Record {
    pub fn write(&self) -> Vec<u8> {
        // It can't fail: nothing in a record is without a form, and the bytes are as many as it takes.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub fn read(bytes: &[u8]) -> Result<Record, Unread> {
        match postcard::take_from_bytes(bytes) {
            Ok((record, [])) => Ok(record),
            Ok((_, rest)) => Err(Unread(format!("{} bytes too many", rest.len()))),
            Err(why) => Err(Unread(why.to_string())),
        }
    }
}

/// Every repeat that was authorised, by right, oldest first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    rights: BTreeMap<Right, Vec<Authorised>>,
}

impl Ledger {
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::Opened { right, from, since } => {
                let all = self.rights.entry(right).or_default();
                // Written again after a failure of the disk it is the same one.
                if all.last().is_none_or(|last| last.to.is_some()) {
                    all.push(Authorised { from, since, to: None });
                }
            }
            Record::Closed { right, to, at } => {
                let last = self.rights.get_mut(&right).and_then(|all| all.last_mut());
                last.into_iter().for_each(|last| last.to = last.to.or(Some((to, at))));
            }
            Record::Kept { right, authorised } => self.rights.entry(right).or_default().push(authorised),
        }
    }

    /// Whether the right is authorised and was not ended.
    pub fn is_open(&self, right: &Right) -> bool {
        self.rights.get(right).and_then(|all| all.last()).is_some_and(|last| last.to.is_none())
    }

    /// Whether a repeat at that moment was authorised.
    pub fn covers(&self, right: &Right, moment: Moment) -> bool {
        let fits = |of: &Authorised| of.from <= moment && of.to.is_none_or(|(to, _)| moment <= to);
        self.rights.get(right).is_some_and(|all| all.iter().any(fits))
    }

    pub fn entries(&self) -> impl Iterator<Item = (&Right, &Authorised)> {
        self.rights.iter().flat_map(|(right, all)| all.iter().map(move |authorised| (right, authorised)))
    }

    /// Drops what ended before that time. What is still open stays, however old.
    pub fn forget(&mut self, ended_before: Ms) {
        let stays = |of: &Authorised| of.to.is_none_or(|(_, at)| at >= ended_before);
        self.rights.values_mut().for_each(|all| all.retain(stays));
        self.rights.retain(|_, all| !all.is_empty());
    }

    /// The ledger as records for a snapshot.
    pub fn records(&self) -> Vec<Record> {
        let kept = |(right, authorised): (&Right, &Authorised)| Record::Kept {
            right: right.clone(),
            authorised: authorised.clone(),
        };
        self.entries().map(kept).collect()
    }
}

/// What to do about an order that lets an operation repeat.
#[derive(Clone, Debug, PartialEq)]
pub enum Word {
    /// It may go out: the ledger holds it durably.
    Granted,
    /// Write this record first; until it is durable the order goes out without the repeat.
    Write(Record),
    /// Its record is on the way to the disk.
    Wait,
    /// The disk takes nothing now: no new repeat is authorised, all else goes on.
    Withheld,
}

/// The way to a repeat. `T` tells records apart in the order in which they become durable.
#[derive(Clone, Debug)]
pub struct Gate<T> {
    /// What is durable, as far as was told.
    ledger: Ledger,
    /// Records handed over and not yet durable, in their order.
    written: Vec<(T, Record)>,
    /// Asked for, and not yet handed over.
    asked: BTreeMap<Right, Record>,
    failing: bool,
}

impl<T: Copy + Ord> Gate<T> {
    /// From what was recovered.
    pub fn new(ledger: Ledger) -> Gate<T> {
        Gate { ledger, written: Vec::new(), asked: BTreeMap::new(), failing: false }
    }

    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// An order would let this be repeated from that moment on.
    pub fn ask(&mut self, now: Ms, right: &Right, from: Moment) -> Word {
        let under_way = self.written.iter().rev().find_map(|(_, record)| match record {
            Record::Opened { right: of, .. } if of == right => Some(true),
            Record::Closed { right: of, .. } if of == right => Some(false),
            _ => None,
        });
        match under_way {
            Some(true) => return Word::Wait,
            // It was ended and opens anew: that is another authorisation, with its own record.
            Some(false) => {}
            None if self.ledger.is_open(right) => return Word::Granted,
            None => {}
        }
        if self.failing {
            return Word::Withheld;
        }
        let record = Record::Opened { right: right.clone(), from, since: now };
        Word::Write(self.asked.entry(right.clone()).or_insert(record).clone())
    }

    /// The proxy answered a mark sent after the order that ended it; what is written for it, if it was ever
    /// authorised. Late or lost, the record makes the ledger say too much and never too little.
    pub fn ended(&mut self, now: Ms, right: &Right, to: Moment) -> Option<Record> {
        let opened =
            |(_, record): &(T, Record)| matches!(record, Record::Opened { right: of, .. } if of == right);
        let known = self.ledger.is_open(right) || self.written.iter().any(opened);
        known.then(|| Record::Closed { right: right.clone(), to, at: now })
    }

    /// A record was handed over and will be durable as `ticket`.
    pub fn handed_over(&mut self, ticket: T, record: Record) {
        if let Record::Opened { right, .. } = &record {
            self.asked.remove(right);
        }
        self.written.push((ticket, record));
    }

    /// All up to `durable` is on the disk. The rights that may now be let out.
    pub fn settled(&mut self, durable: T, failing: bool) -> Vec<Right> {
        self.failing = failing;
        let count = self.written.iter().take_while(|(ticket, _)| *ticket <= durable).count();
        let mut granted = Vec::new();
        for (_, record) in self.written.drain(..count) {
            if let Record::Opened { right, .. } = &record {
                granted.push(right.clone());
            }
            self.ledger.apply(record);
        }
        granted.retain(|right| self.ledger.is_open(right));
        granted
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn right(proxy: u16) -> Right {
        Right::new("order", TableId(0), ProxyId(proxy))
    }

    fn moment(mark: u64) -> Moment {
        Moment { run: 1, mark }
    }

    fn opened(proxy: u16, mark: u64, since: Ms) -> Record {
        Record::Opened { right: right(proxy), from: moment(mark), since }
    }

    #[test]
    fn a_repeat_is_granted_only_once_its_record_is_durable() {
        let mut gate: Gate<u64> = Gate::new(Ledger::default());
        let Word::Write(record) = gate.ask(10.0, &right(1), moment(5)) else {
            panic!("it has to be written")
        };
        assert_eq!(record, opened(1, 5, 10.0));
        assert_eq!(
            gate.ask(11.0, &right(1), moment(6)),
            Word::Write(record.clone()),
            "the queue was full: again"
        );
        gate.handed_over(1, record);
        assert_eq!(gate.ask(12.0, &right(1), moment(6)), Word::Wait);
        assert!(gate.settled(0, false).is_empty());
        assert_eq!(gate.settled(1, false), [right(1)]);
        assert_eq!(gate.ask(13.0, &right(1), moment(7)), Word::Granted);
        assert!(matches!(gate.ask(13.0, &right(2), moment(7)), Word::Write(_)), "each proxy by itself");
    }

    #[test]
    fn while_the_disk_fails_no_new_repeat_is_authorised_and_old_ones_hold() {
        let mut gate: Gate<u64> = Gate::new(Ledger::default());
        gate.handed_over(1, opened(1, 5, 10.0));
        gate.handed_over(2, opened(2, 5, 10.0));
        assert_eq!(gate.settled(1, true), [right(1)]);
        assert_eq!(gate.ask(11.0, &right(1), moment(6)), Word::Granted);
        assert_eq!(gate.ask(11.0, &right(2), moment(6)), Word::Wait);
        assert_eq!(gate.ask(11.0, &right(3), moment(6)), Word::Withheld);
        assert_eq!(gate.settled(2, false), [right(2)]);
        assert!(matches!(gate.ask(12.0, &right(3), moment(6)), Word::Write(_)));
    }

    #[test]
    fn what_ended_opens_anew_with_a_record_of_its_own() {
        let mut gate: Gate<u64> = Gate::new(Ledger::default());
        assert_eq!(gate.ended(1.0, &right(1), moment(1)), None, "never authorised, nothing to end");
        gate.handed_over(1, opened(1, 5, 10.0));
        let closed = gate.ended(20.0, &right(1), moment(9)).unwrap();
        gate.handed_over(2, closed);
        let Word::Write(again) = gate.ask(21.0, &right(1), moment(10)) else {
            panic!("another authorisation")
        };
        gate.handed_over(3, again);
        assert!(gate.settled(2, false).is_empty(), "opened and ended at once: nothing is let out");
        assert_eq!(gate.settled(3, false), [right(1)]);
        let covers = |mark| gate.ledger().covers(&right(1), moment(mark));
        assert_eq!([4, 5, 9].map(covers), [false, true, true]);
        assert!(covers(10) && covers(99) && gate.ledger().entries().count() == 2);
    }

    #[test]
    fn only_what_ended_long_ago_is_forgotten() {
        let mut ledger = Ledger::default();
        for (proxy, end) in [(1, Some(50.0)), (2, Some(150.0)), (3, None)] {
            ledger.apply(opened(proxy, 1, 10.0));
            if let Some(at) = end {
                ledger.apply(Record::Closed { right: right(proxy), to: moment(2), at });
            }
        }
        ledger.forget(100.0);
        assert_eq!(ledger.entries().map(|(right, _)| right.proxy).collect::<Vec<_>>(), [2, 3]);
        let mut again = Ledger::default();
        ledger.records().into_iter().for_each(|record| again.apply(record));
        assert_eq!(again, ledger);
    }

    #[test]
    fn records_are_read_as_they_were_written_and_nothing_else_is() {
        let record = opened(7, u64::MAX, 1.5);
        let bytes = record.write();
        assert_eq!(Record::read(&bytes), Ok(record));
        assert!(Record::read(&[bytes.clone(), vec![0]].concat())
            .unwrap_err()
            .to_string()
            .contains("1 bytes too many"));
        (0..bytes.len()).for_each(|cut| assert!(Record::read(&bytes[..cut]).is_err()));
        assert!(Record::read(&[9, 9, 9]).is_err());
    }
}
