//! The ledger of authorised retries of side-effecting operations, and the authoriser that writes to it. A proxy is
//! allowed to retry such an operation only once the ledger holds the authorisation durably. After a crash at any step
//! the ledger therefore contains every authorisation that was ever sent, and none that was never requested.
//!
//! The ledger is append-only. Compaction removes an authorisation only once it ended so long ago that no proxy can still
//! report an invocation of that time.

use std::collections::BTreeMap;
use std::fmt;

use juniperrail_interface::{Ms, ProxyId, TableId};
use serde::{Deserialize, Serialize};

/// Identifies what may be retried: an operation at a proxy through a table. The operation is stored by name, as its id
/// changes with the settings.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RetryKey {
    pub operation: String,
    pub table: u16,
    pub proxy: u16,
}

impl RetryKey {
    /// The key of an operation at a proxy through a table.
    pub fn new(operation: &str, table: TableId, proxy: ProxyId) -> RetryKey {
        RetryKey { operation: operation.into(), table: table.0, proxy: proxy.0 }
    }
}

/// A position in a manager's message stream: the run of the manager, and the mark sent with the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MarkPosition {
    pub run: u64,
    pub mark: u64,
}

/// An authorisation to retry. It is still in force if it has no end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Authorisation {
    /// Retries are authorised from this mark on.
    pub from: MarkPosition,
    /// When the authorisation was requested.
    pub since: Ms,
    /// The mark whose acknowledgement showed that the proxy no longer retries, and when it arrived.
    pub to: Option<(MarkPosition, Ms)>,
}

/// A record of the ledger as stored on disk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// Retries are authorised from this mark on.
    Authorised { key: RetryKey, from: MarkPosition, since: Ms },
    /// The proxy acknowledged that it no longer retries, or its stream ended and its table was rebuilt without retries.
    Revoked { key: RetryKey, to: MarkPosition, at: Ms },
    /// One entry of a snapshot.
    Snapshot { key: RetryKey, authorisation: Authorisation },
}

/// Bytes that are not a valid record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError(String);

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid ledger record: {}", self.0)
    }
}

impl Record {
    /// The record as postcard bytes.
    pub fn encode(&self) -> Vec<u8> {
        // Can't fail: every type in a record is serializable, and the buffer grows as needed.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a record that takes up all the bytes.
    pub fn decode(bytes: &[u8]) -> Result<Record, DecodeError> {
        match postcard::take_from_bytes(bytes) {
            Ok((record, [])) => Ok(record),
            Ok((_, rest)) => Err(DecodeError(format!("{} trailing bytes", rest.len()))),
            Err(error) => Err(DecodeError(error.to_string())),
        }
    }
}

/// Every authorisation by key, oldest first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    authorisations: BTreeMap<RetryKey, Vec<Authorisation>>,
}

impl Ledger {
    /// Applies a record. The caller makes sure that the record is durable.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::Authorised { key, from, since } => {
                let authorisations = self.authorisations.entry(key).or_default();
                // A record that was written again after a disk failure does not start another authorisation.
                if authorisations.last().is_none_or(|last| last.to.is_some()) {
                    authorisations.push(Authorisation { from, since, to: None });
                }
            }
            Record::Revoked { key, to, at } => {
                let last =
                    self.authorisations.get_mut(&key).and_then(|authorisations| authorisations.last_mut());
                last.into_iter().for_each(|last| last.to = last.to.or(Some((to, at))));
            }
            Record::Snapshot { key, authorisation } => {
                self.authorisations.entry(key).or_default().push(authorisation)
            }
        }
    }

    /// Whether an authorisation of the key is in force.
    pub fn is_authorised(&self, key: &RetryKey) -> bool {
        self.authorisations
            .get(key)
            .and_then(|authorisations| authorisations.last())
            .is_some_and(|last| last.to.is_none())
    }

    /// Whether an authorisation of the key covers this position.
    pub fn was_authorised_at(&self, key: &RetryKey, position: MarkPosition) -> bool {
        let covers = |authorisation: &Authorisation| {
            authorisation.from <= position && authorisation.to.is_none_or(|(to, _)| position <= to)
        };
        self.authorisations.get(key).is_some_and(|authorisations| authorisations.iter().any(covers))
    }

    /// Every authorisation with its key.
    pub fn entries(&self) -> impl Iterator<Item = (&RetryKey, &Authorisation)> {
        self.authorisations.iter().flat_map(|(key, authorisations)| {
            authorisations.iter().map(move |authorisation| (key, authorisation))
        })
    }

    /// Removes authorisations that ended before this time. Those still in force stay, however old they are.
    pub fn remove_ended_before(&mut self, time: Ms) {
        let is_retained =
            |authorisation: &Authorisation| authorisation.to.is_none_or(|(_, ended_at)| ended_at >= time);
        self.authorisations.values_mut().for_each(|authorisations| authorisations.retain(is_retained));
        self.authorisations.retain(|_, authorisations| !authorisations.is_empty());
    }

    /// The ledger as records for a snapshot.
    pub fn to_records(&self) -> Vec<Record> {
        let to_record = |(key, authorisation): (&RetryKey, &Authorisation)| Record::Snapshot {
            key: key.clone(),
            authorisation: authorisation.clone(),
        };
        self.entries().map(to_record).collect()
    }
}

/// How the caller handles an order that allows retries of an operation.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The order may be sent: the ledger holds the authorisation durably.
    Granted,
    /// Write this record first; until it is durable, the order is sent without allowing retries.
    Write(Record),
    /// The record was submitted and is not durable yet.
    Pending,
    /// The disk is failing: no new retries are authorised, everything else continues.
    Unavailable,
}

/// Authorises retries once their records are durable. `T` is the ticket of a submitted record; tickets are ordered as the
/// records become durable.
#[derive(Clone, Debug)]
pub struct RetryAuthoriser<T> {
    /// The durable records, as far as [`RetryAuthoriser::records_durable`] reported them.
    ledger: Ledger,
    /// Submitted records that are not durable yet, in order.
    submitted: Vec<(T, Record)>,
    /// Requested records that are not submitted yet.
    requested: BTreeMap<RetryKey, Record>,
    disk_failing: bool,
}

impl<T: Copy + Ord> RetryAuthoriser<T> {
    /// Starts with the ledger recovered from disk.
    pub fn new(ledger: Ledger) -> RetryAuthoriser<T> {
        RetryAuthoriser { ledger, submitted: Vec::new(), requested: BTreeMap::new(), disk_failing: false }
    }

    /// The durable ledger.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Decides on an order that would allow retries of `key` from this position on.
    pub fn authorise(&mut self, now: Ms, key: &RetryKey, from: MarkPosition) -> Decision {
        let submitted_grant = self.submitted.iter().rev().find_map(|(_, record)| match record {
            Record::Authorised { key: other, .. } if other == key => Some(true),
            Record::Revoked { key: other, .. } if other == key => Some(false),
            _ => None,
        });
        match submitted_grant {
            Some(true) => return Decision::Pending,
            // The earlier authorisation is being revoked, so this is a new authorisation with a record of its own.
            Some(false) => {}
            None if self.ledger.is_authorised(key) => return Decision::Granted,
            None => {}
        }
        if self.disk_failing {
            return Decision::Unavailable;
        }
        let record = Record::Authorised { key: key.clone(), from, since: now };
        Decision::Write(self.requested.entry(key.clone()).or_insert(record).clone())
    }

    /// Called when the proxy has acknowledged the mark `to`, which was sent after the order that revoked the retries.
    /// Returns the record to write, if an authorisation is in force or submitted. If that record is late or lost, the
    /// ledger contains too many authorisations, but never too few.
    pub fn revoke(&mut self, now: Ms, key: &RetryKey, to: MarkPosition) -> Option<Record> {
        let authorises = |(_, record): &(T, Record)| matches!(record, Record::Authorised { key: other, .. } if other == key);
        let is_authorised_or_submitted =
            self.ledger.is_authorised(key) || self.submitted.iter().any(authorises);
        is_authorised_or_submitted.then(|| Record::Revoked { key: key.clone(), to, at: now })
    }

    /// Called when a record was submitted to the store, which reports it as durable by `ticket`.
    pub fn record_submitted(&mut self, ticket: T, record: Record) {
        if let Record::Authorised { key, .. } = &record {
            self.requested.remove(key);
        }
        self.submitted.push((ticket, record));
    }

    /// Called when all records up to the ticket `durable` are on disk. Applies them and returns the keys that they
    /// authorise.
    pub fn records_durable(&mut self, durable: T, disk_failing: bool) -> Vec<RetryKey> {
        self.disk_failing = disk_failing;
        let count = self.submitted.iter().take_while(|(ticket, _)| *ticket <= durable).count();
        let mut granted = Vec::new();
        for (_, record) in self.submitted.drain(..count) {
            if let Record::Authorised { key, .. } = &record {
                granted.push(key.clone());
            }
            self.ledger.apply(record);
        }
        granted.retain(|key| self.ledger.is_authorised(key));
        granted
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn key(proxy: u16) -> RetryKey {
        RetryKey::new("order", TableId(0), ProxyId(proxy))
    }

    fn position(mark: u64) -> MarkPosition {
        MarkPosition { run: 1, mark }
    }

    fn authorised(proxy: u16, mark: u64, since: Ms) -> Record {
        Record::Authorised { key: key(proxy), from: position(mark), since }
    }

    #[test]
    fn a_retry_is_granted_only_once_its_record_is_durable() {
        let mut authoriser: RetryAuthoriser<u64> = RetryAuthoriser::new(Ledger::default());
        let Decision::Write(record) = authoriser.authorise(10.0, &key(1), position(5)) else {
            panic!("expected a record to write")
        };
        assert_eq!(record, authorised(1, 5, 10.0));
        assert_eq!(
            authoriser.authorise(11.0, &key(1), position(6)),
            Decision::Write(record.clone()),
            "the record was not submitted, so it is requested again"
        );
        authoriser.record_submitted(1, record);
        assert_eq!(authoriser.authorise(12.0, &key(1), position(6)), Decision::Pending);
        assert!(authoriser.records_durable(0, false).is_empty());
        assert_eq!(authoriser.records_durable(1, false), [key(1)]);
        assert_eq!(authoriser.authorise(13.0, &key(1), position(7)), Decision::Granted);
        assert!(
            matches!(authoriser.authorise(13.0, &key(2), position(7)), Decision::Write(_)),
            "authorisations are per proxy"
        );
    }

    #[test]
    fn while_the_disk_fails_only_existing_authorisations_are_granted() {
        let mut authoriser: RetryAuthoriser<u64> = RetryAuthoriser::new(Ledger::default());
        authoriser.record_submitted(1, authorised(1, 5, 10.0));
        authoriser.record_submitted(2, authorised(2, 5, 10.0));
        assert_eq!(authoriser.records_durable(1, true), [key(1)]);
        assert_eq!(authoriser.authorise(11.0, &key(1), position(6)), Decision::Granted);
        assert_eq!(authoriser.authorise(11.0, &key(2), position(6)), Decision::Pending);
        assert_eq!(authoriser.authorise(11.0, &key(3), position(6)), Decision::Unavailable);
        assert_eq!(authoriser.records_durable(2, false), [key(2)]);
        assert!(matches!(authoriser.authorise(12.0, &key(3), position(6)), Decision::Write(_)));
    }

    #[test]
    fn a_revoked_retry_needs_a_new_record() {
        let mut authoriser: RetryAuthoriser<u64> = RetryAuthoriser::new(Ledger::default());
        assert_eq!(
            authoriser.revoke(1.0, &key(1), position(1)),
            None,
            "never authorised, so there is nothing to revoke"
        );
        authoriser.record_submitted(1, authorised(1, 5, 10.0));
        let revoked = authoriser.revoke(20.0, &key(1), position(9)).unwrap();
        authoriser.record_submitted(2, revoked);
        let Decision::Write(renewed) = authoriser.authorise(21.0, &key(1), position(10)) else {
            panic!("expected a new record")
        };
        authoriser.record_submitted(3, renewed);
        assert!(
            authoriser.records_durable(2, false).is_empty(),
            "both records are durable at once, so nothing is granted"
        );
        assert_eq!(authoriser.records_durable(3, false), [key(1)]);
        let authorised_at = |mark| authoriser.ledger().was_authorised_at(&key(1), position(mark));
        assert_eq!([4, 5, 9].map(authorised_at), [false, true, true]);
        assert!(authorised_at(10) && authorised_at(99) && authoriser.ledger().entries().count() == 2);
    }

    #[test]
    fn only_authorisations_that_ended_long_ago_are_removed() {
        let mut ledger = Ledger::default();
        for (proxy, end) in [(1, Some(50.0)), (2, Some(150.0)), (3, None)] {
            ledger.apply(authorised(proxy, 1, 10.0));
            if let Some(at) = end {
                ledger.apply(Record::Revoked { key: key(proxy), to: position(2), at });
            }
        }
        ledger.remove_ended_before(100.0);
        assert_eq!(ledger.entries().map(|(key, _)| key.proxy).collect::<Vec<_>>(), [2, 3]);
        let mut restored = Ledger::default();
        ledger.to_records().into_iter().for_each(|record| restored.apply(record));
        assert_eq!(restored, ledger);
    }

    #[test]
    fn records_round_trip_and_other_bytes_are_rejected() {
        let record = authorised(7, u64::MAX, 1.5);
        let bytes = record.encode();
        assert_eq!(Record::decode(&bytes), Ok(record));
        assert!(Record::decode(&[bytes.clone(), vec![0]].concat())
            .unwrap_err()
            .to_string()
            .contains("1 trailing bytes"));
        (0..bytes.len()).for_each(|cut| assert!(Record::decode(&bytes[..cut]).is_err()));
        assert!(Record::decode(&[9, 9, 9]).is_err());
    }
}
