//! One member: elections, the log's replication, leases, members, transfer.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use juniperrail_interface::Ms;

use crate::ids::{Index, MemberId, Run, Term};
use crate::log::{Entry, Log, Member, MemberRole, Members, MembershipChange, Payload, Snapshot};
use crate::message::Message;
use crate::record::{KnownRun, Record, StoredState};
use crate::standing::{Answer, Inquiry, RecoveryState};

/// Messages held back until what they tell is durable; beyond it the oldest are lost, as on any link.
const HELD: usize = 4096;

/// What bounds a council, in milliseconds and counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RaftConfig {
    pub heartbeat_interval_ms: Ms,
    /// Nobody stands for election sooner than this after a leader's word, nor later than twice this.
    pub election_timeout_ms: Ms,
    /// By what part two members' clocks may run at different speeds.
    pub max_clock_drift_ratio: f64,
    /// Entries in one message.
    pub max_entries_per_message: usize,
    /// Entries that wait to be committed; more are refused.
    pub max_uncommitted_entries: usize,
}

/// Why a proposal is not taken. Nothing of it was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// Another leads, if anybody does.
    NotLeader(Option<MemberId>),
    /// So much waits to be committed that no more is taken.
    TooManyUncommitted,
    /// It is handing its office over.
    TransferInProgress,
    /// Another change of members is under way, or no entry of this term is committed yet.
    MembershipChangeInProgress,
    /// The members are not as the change takes them to be.
    InvalidMembershipChange,
}

impl fmt::Display for ProposeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProposeError::NotLeader(Some(leader)) => write!(f, "{leader} leads"),
            ProposeError::NotLeader(None) => f.write_str("nobody leads"),
            ProposeError::TooManyUncommitted => f.write_str("too much waits to be agreed"),
            ProposeError::TransferInProgress => f.write_str("the leader is handing over"),
            ProposeError::MembershipChangeInProgress => f.write_str("a change of members is under way"),
            ProposeError::InvalidMembershipChange => {
                f.write_str("the member is not there, or not as the change takes it to be")
            }
        }
    }
}

/// Where a proposal stands. It is agreed once the entry of this index has this term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogPosition {
    pub term: Term,
    pub index: Index,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Follower,
    Candidate,
    Leader,
}

/// What people on call should know.
#[derive(Clone, Debug, PartialEq)]
pub enum RaftEvent {
    BecameLeader(Term),
    LeaderChanged(MemberId, Term),
    /// It leads no more, and why.
    SteppedDown(Term, &'static str),
    Bootstrapped(usize),
    /// Its store is lost or old: it votes for nobody until it has caught up.
    RecoveryStarted,
    RecoveryFinished,
    /// A leader's word that came too late: another term has begun.
    StaleLeader(MemberId, Term),
}

/// What was agreed, in its order.
#[derive(Clone, Debug, PartialEq)]
pub enum Committed {
    /// In place of all that was told before.
    Snapshot(Snapshot),
    Entry(Entry),
}

/// What is to be done, in this order: to write, to send, to take over.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Actions {
    pub records: Vec<Record>,
    pub messages: Vec<(MemberId, Message)>,
    pub committed: Vec<Committed>,
    pub events: Vec<RaftEvent>,
}

/// What a leader knows of another member.
#[derive(Clone, Copy, Debug)]
struct Progress {
    next: Index,
    /// Up to here its log is the leader's, durably.
    same: Index,
    /// When what it answered last was sent, by the leader's own clock.
    answered: Ms,
}

#[derive(Clone, Debug)]
struct Office {
    peers: BTreeMap<MemberId, Progress>,
    opening: Index,
    beat: Ms,
    handing: Option<(MemberId, Ms)>,
}

#[derive(Clone, Debug)]
enum Part {
    Follower {
        leader: Option<MemberId>,
    },
    /// `own`: the write that its own vote waits for.
    Candidate {
        pre_vote: bool,
        votes: BTreeSet<MemberId>,
        own: u64,
    },
    Leader(Office),
}

/// One member of the council.
pub struct RaftNode {
    me: MemberId,
    figures: RaftConfig,
    rng: fastrand::Rng,
    /// Who is named from outside; it holds until the log names members.
    named: Members,
    run: Run,
    peers: BTreeMap<MemberId, KnownRun>,
    standing: RecoveryState,
    inquiry: Inquiry,
    asks: Ms,
    /// By what its store is told from another of this member, and all those of the first hour.
    birth: u64,
    founding: BTreeMap<MemberId, u64>,
    term: Term,
    vote: Option<MemberId>,
    log: Log,
    commit: Index,
    applied: Index,
    part: Part,
    /// When a leader's word last came.
    led_at: Ms,
    stands_at: Ms,
    written: u64,
    durable: u64,
    /// Up to here the log is durable here, and what will be by which write.
    kept: Index,
    syncing: VecDeque<(u64, Index)>,
    held: VecDeque<(u64, MemberId, Message)>,
    failing: bool,
    done: Actions,
}

impl RaftNode {
    /// A member with what its store held. `named`: who is to found the council where nobody kept anything.
    pub fn start(
        me: MemberId,
        figures: RaftConfig,
        named: Members,
        seed: u64,
        now: Ms,
        kept: StoredState,
    ) -> RaftNode {
        let mut rng = fastrand::Rng::with_seed(seed);
        let inquiry = Inquiry::new(rng.u64(..));
        let birth = kept.store_id.unwrap_or_else(|| rng.u64(..));
        let standing = match kept {
            StoredState { bootstrapped: false, .. } => RecoveryState::Empty,
            StoredState { recovering: true, .. } => RecoveryState::Recovering { term: None },
            _ => RecoveryState::Verifying { until: now + figures.election_timeout_ms },
        };
        let (commit, last) = (kept.log.snapshot.last_index, kept.log.last().0);
        let mut council = RaftNode {
            me,
            figures,
            rng,
            named,
            run: Run(kept.run.0 + 1),
            peers: kept.peer_runs,
            standing,
            inquiry,
            asks: now,
            birth,
            founding: kept.bootstrap_stores,
            term: kept.term,
            vote: kept.vote,
            log: kept.log,
            commit,
            applied: commit,
            part: Part::Follower { leader: None },
            // As if a leader had just spoken: a lease that it granted before the crash may still hold.
            led_at: now,
            stands_at: now,
            written: 0,
            durable: 0,
            kept: last,
            syncing: VecDeque::new(),
            held: VecDeque::new(),
            failing: false,
            done: Actions::default(),
        };
        council.patience(now);
        if kept.store_id.is_none() {
            council.write(Record::StoreId(birth));
        }
        council.write(Record::Run(council.run));
        if commit > Index(0) {
            council.done.committed.push(Committed::Snapshot(council.log.snapshot.clone()));
        }
        council
    }

    /// What is to be done since this was last asked.
    pub fn take_actions(&mut self) -> Actions {
        std::mem::take(&mut self.done)
    }

    pub fn role(&self) -> Role {
        match self.part {
            Part::Follower { .. } => Role::Follower,
            Part::Candidate { .. } => Role::Candidate,
            Part::Leader(_) => Role::Leader,
        }
    }

    pub fn leader(&self) -> Option<MemberId> {
        match self.part {
            Part::Follower { leader } => leader,
            Part::Candidate { .. } => None,
            Part::Leader(_) => Some(self.me),
        }
    }

    pub fn term(&self) -> Term {
        self.term
    }

    pub fn run(&self) -> Run {
        self.run
    }

    pub fn recovery_state(&self) -> RecoveryState {
        self.standing
    }

    pub fn commit_index(&self) -> Index {
        self.commit
    }

    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Who is in force.
    pub fn members(&self) -> &Members {
        if self.log.members().is_empty() {
            &self.named
        } else {
            self.log.members()
        }
    }

    fn voters(&self) -> impl Iterator<Item = &MemberId> {
        self.members().iter().filter(|(_, member)| member.role == MemberRole::Voter).map(|(id, _)| id)
    }

    fn others(&self) -> impl Iterator<Item = &MemberId> {
        self.voters().filter(|id| **id != self.me)
    }

    fn votes(&self) -> bool {
        self.voters().any(|id| *id == self.me)
    }

    /// What a majority of the voters has reached.
    fn majority<T: Copy + PartialOrd>(&self, reached: impl Fn(MemberId) -> T) -> Option<T> {
        let mut all: Vec<T> = self.voters().map(|id| reached(*id)).collect();
        all.sort_by(|a, b| b.partial_cmp(a).unwrap_or(std::cmp::Ordering::Equal));
        all.get(all.len() / 2).copied()
    }

    fn patience(&mut self, now: Ms) {
        self.stands_at = now + self.figures.election_timeout_ms * (1.0 + self.rng.f64());
    }

    fn write(&mut self, record: Record) {
        self.written += 1;
        self.done.records.push(record);
    }

    /// Sends it once all that is written by now is durable.
    fn tell(&mut self, to: MemberId, message: Message) {
        if to == self.me {
            return;
        }
        if self.durable >= self.written {
            return self.done.messages.push((to, message));
        }
        if self.held.len() >= HELD {
            self.held.pop_front();
        }
        self.held.push_back((self.written, to, message));
    }

    /// Sends it at once: nothing that is written has to be durable for it.
    fn say(&mut self, to: MemberId, message: Message) {
        if to != self.me {
            self.done.messages.push((to, message));
        }
    }

    /// When [`Council::tick`] is due next.
    pub fn next_tick(&self) -> Ms {
        let stands = match &self.part {
            Part::Leader(office) => office.beat,
            _ => self.stands_at,
        };
        match self.standing {
            RecoveryState::Ready => stands,
            RecoveryState::Verifying { until } => stands.min(self.asks).min(until),
            _ => stands.min(self.asks),
        }
    }

    pub fn tick(&mut self, now: Ms) {
        if self.standing != RecoveryState::Ready {
            self.inquire(now);
        }
        match &self.part {
            Part::Leader(office) if now >= office.beat => self.lead(now),
            Part::Leader(_) => {}
            _ if now >= self.stands_at => {
                self.patience(now);
                if self.may_vote() && self.votes() {
                    self.stand(now, true, false);
                }
            }
            _ => {}
        }
    }

    fn may_vote(&self) -> bool {
        self.standing == RecoveryState::Ready && !self.failing
    }

    // What was kept, and what others know of it.

    fn inquire(&mut self, now: Ms) {
        if now >= self.asks {
            self.asks = now + self.figures.heartbeat_interval_ms;
            let ask = Message::HandshakeRequest { run: self.run, nonce: self.inquiry.nonce };
            let others: Vec<MemberId> = self.members().keys().copied().collect();
            // Its start is durable before anybody notes it.
            others.into_iter().for_each(|other| self.tell(other, ask.clone()));
        }
        self.judge(now);
    }

    fn judge(&mut self, now: Ms) {
        if self.inquiry.known() >= self.run {
            self.run = Run(self.inquiry.known().0 + 1);
            self.write(Record::Run(self.run));
            self.inquiry.anew();
            return self.doubt(now);
        }
        match self.standing {
            RecoveryState::Ready => {}
            RecoveryState::Empty => {
                let births = match self.inquiry.founding() {
                    // Another has founded with this very store, which had nothing to forget then.
                    Some(founding) if founding.get(&self.me) == Some(&self.birth) => Some(founding.clone()),
                    // It has founded with a store that is lost, or before this member was added.
                    Some(_) => return self.doubt(now),
                    None if self.votes() => self.inquiry.all_fresh(self.others()),
                    None => None,
                };
                if let Some(mut births) = births {
                    births.insert(self.me, self.birth);
                    self.found(births);
                }
            }
            RecoveryState::Verifying { until } => {
                let answered = self.inquiry.count(self.others()) + 1;
                if now >= until || answered > self.voters().count() / 2 {
                    self.standing = RecoveryState::Ready;
                }
            }
            RecoveryState::Recovering { term: None } => {
                if let Some(term) = self.inquiry.term(self.others()) {
                    let term = term.max(self.term);
                    // It may have voted in that term, so it votes for nobody but itself, who does not stand.
                    (self.term, self.vote) = (term, Some(self.me));
                    self.write(Record::TermAndVote(term, self.vote));
                    self.standing = RecoveryState::Recovering { term: Some(term) };
                }
            }
            RecoveryState::Recovering { .. } => {}
        }
    }

    fn found(&mut self, births: BTreeMap<MemberId, u64>) {
        let snapshot = Snapshot { members: self.named.clone(), ..Snapshot::default() };
        self.log = Log::new(snapshot.clone());
        self.founding = births.clone();
        self.write(Record::Bootstrapped(snapshot, births));
        self.standing = RecoveryState::Ready;
        self.done.events.push(RaftEvent::Bootstrapped(self.members().len()));
    }

    fn doubt(&mut self, now: Ms) {
        if matches!(self.standing, RecoveryState::Recovering { .. }) {
            return;
        }
        self.follow(now, self.term, None, "its store is old");
        self.write(Record::RecoveryStarted);
        self.standing = RecoveryState::Recovering { term: None };
        self.done.events.push(RaftEvent::RecoveryStarted);
    }

    /// Its log is the leader's up to there: that may be all that it may have forgotten.
    fn caught_up(&mut self, leader: MemberId, upto: Index) {
        let RecoveryState::Recovering { term: Some(adopted) } = self.standing else { return };
        let reached = self.inquiry.reached(leader, self.term);
        if self.term >= adopted && reached.is_some_and(|reached| upto >= reached) {
            self.write(Record::RecoveryFinished);
            self.standing = RecoveryState::Ready;
            self.done.events.push(RaftEvent::RecoveryFinished);
        }
    }

    // Elections.

    fn stand(&mut self, now: Ms, pre_vote: bool, leadership_transfer: bool) {
        let term = Term(self.term.0 + 1);
        if !pre_vote {
            (self.term, self.vote) = (term, Some(self.me));
            self.write(Record::TermAndVote(term, self.vote));
        }
        self.part = Part::Candidate { pre_vote, votes: BTreeSet::new(), own: self.written };
        let ask = Message::RequestVote { term, last: self.log.last(), pre_vote, leadership_transfer };
        let others: Vec<MemberId> = self.others().copied().collect();
        for other in others {
            match pre_vote {
                true => self.say(other, ask.clone()),
                false => self.tell(other, ask.clone()),
            }
        }
        self.count(now);
    }

    /// Whether it is elected by now. Its own vote counts once that is durable.
    fn count(&mut self, now: Ms) {
        let Part::Candidate { pre_vote, votes, own } = &mut self.part else { return };
        if *pre_vote || self.durable >= *own {
            votes.insert(self.me);
        }
        let (pre_vote, votes) = (*pre_vote, votes.clone());
        let voters = self.voters().count();
        if self.voters().filter(|id| votes.contains(id)).count() <= voters / 2 {
            return;
        }
        match pre_vote {
            true => self.stand(now, false, false),
            false => self.take_office(now),
        }
    }

    fn take_office(&mut self, now: Ms) {
        let (last, _) = self.log.last();
        let progress = Progress { next: last.next(), same: Index(0), answered: now };
        let peers = self.members().keys().filter(|id| **id != self.me);
        let peers = peers.map(|id| (*id, progress)).collect();
        self.part = Part::Leader(Office { peers, opening: last.next(), beat: now, handing: None });
        self.done.events.push(RaftEvent::BecameLeader(self.term));
        self.append(vec![Payload::NoOp]);
        self.lead(now);
    }

    fn follow(&mut self, now: Ms, term: Term, leader: Option<MemberId>, why: &'static str) {
        if matches!(self.part, Part::Leader(_)) {
            self.done.events.push(RaftEvent::SteppedDown(self.term, why));
        }
        if term > self.term {
            (self.term, self.vote) = (term, None);
            self.write(Record::TermAndVote(term, None));
        }
        if leader.is_some() && leader != self.leader() {
            self.done.events.push(RaftEvent::LeaderChanged(leader.unwrap_or(self.me), self.term));
        }
        if !matches!(self.part, Part::Follower { .. }) {
            self.patience(now);
        }
        self.part = Part::Follower { leader };
    }

    fn asked_for_vote(&mut self, now: Ms, from: MemberId, asked: (Term, (Index, Term), bool, bool)) {
        let (term, last, pre_vote, leadership_transfer) = asked;
        // A leader that spoke within the shortest patience has a lease that counts on this (dissertation, 4.2.3, 6.4.1).
        let led = self.leader().is_some() && now < self.led_at + self.figures.election_timeout_ms
            || now < self.starts_voting();
        if led && !leadership_transfer && term > self.term {
            return;
        }
        let (own, own_term) = self.log.last();
        let whole = (last.1, last.0) >= (own_term, own);
        if pre_vote {
            let granted = term > self.term && whole && self.may_vote();
            return self.say(
                from,
                Message::RequestVoteReply { term: if granted { term } else { self.term }, granted, pre_vote },
            );
        }
        if term > self.term {
            self.follow(now, term, None, "another stands in a later term");
        }
        let free = self.vote.is_none_or(|vote| vote == from);
        let granted = term == self.term && free && whole && self.may_vote();
        if granted && self.vote.is_none() {
            self.vote = Some(from);
            self.write(Record::TermAndVote(self.term, self.vote));
            self.patience(now);
        }
        self.tell(from, Message::RequestVoteReply { term: self.term, granted, pre_vote });
    }

    /// A member that has just started may have granted a lease before: it takes a leader to be there that long.
    fn starts_voting(&self) -> Ms {
        match self.log.is_empty() && self.term == Term(0) {
            true => f64::NEG_INFINITY,
            false => self.led_at + self.figures.election_timeout_ms,
        }
    }

    fn voted(&mut self, now: Ms, from: MemberId, term: Term, granted: bool, pre_vote: bool) {
        let Part::Candidate { pre_vote: own, votes, .. } = &mut self.part else { return };
        let wanted = if pre_vote { Term(self.term.0 + 1) } else { self.term };
        if granted && *own == pre_vote && term == wanted {
            votes.insert(from);
            self.count(now);
        }
    }

    // Leading.

    fn append(&mut self, payloads: Vec<Payload>) -> LogPosition {
        let (last, term) = (self.log.last().0, self.term);
        let entry = |(index, payload)| Entry { index: Index(index), term, payload };
        let entries: Vec<Entry> = (last.0 + 1..).zip(payloads).map(entry).collect();
        self.keep(entries);
        LogPosition { term, index: self.log.last().0 }
    }

    /// Puts entries in the log and writes them down. What they replace is durable here no more.
    fn keep(&mut self, entries: Vec<Entry>) -> bool {
        let Some(first) = entries.first().map(|entry| entry.index) else { return true };
        if !self.log.replace_from(&entries) {
            return false;
        }
        let before = first.previous();
        self.kept = self.kept.min(before);
        self.syncing.iter_mut().for_each(|(_, index)| *index = (*index).min(before));
        self.write(Record::Entries(entries));
        self.syncing.push_back((self.written, self.log.last().0));
        true
    }

    /// A heartbeat with all that others lack, and a look at whether they are still there.
    fn lead(&mut self, now: Ms) {
        if let Part::Leader(office) = &mut self.part {
            office.beat = now + self.figures.heartbeat_interval_ms;
            if office.handing.is_some_and(|(_, until)| now >= until) {
                office.handing = None;
            }
        }
        if self.heard_by_most(now).is_none_or(|at| now > at + self.figures.election_timeout_ms) {
            return self.follow(now, self.term, None, "it has no quorum");
        }
        self.spread(now, true);
        self.advance(now);
    }

    /// Since when a majority has surely taken this leader for one.
    fn heard_by_most(&self, now: Ms) -> Option<Ms> {
        let Part::Leader(office) = &self.part else { return None };
        let answered = |id: MemberId| office.peers.get(&id).map_or(f64::NEG_INFINITY, |peer| peer.answered);
        self.majority(|id| if id == self.me { now } else { answered(id) })
    }

    /// Until when nobody else can lead, by this member's own clock and the drift told; `None` where it does not lead.
    /// What is done under it and must not be done twice needs a fencing number all the same: the one that acts may be
    /// stopped between this look and the act.
    pub fn lease(&self, now: Ms) -> Option<Ms> {
        let Part::Leader(office) = &self.part else { return None };
        if self.commit < office.opening || office.handing.is_some() {
            return None;
        }
        let until = self.heard_by_most(now)?
            + self.figures.election_timeout_ms * (1.0 - self.figures.max_clock_drift_ratio);
        (now < until).then_some(until)
    }

    fn spread(&mut self, now: Ms, all: bool) {
        let Part::Leader(office) = &self.part else { return };
        let last = self.log.last().0;
        let due = |(_, peer): &(&MemberId, &Progress)| all || peer.next <= last;
        let peers: Vec<MemberId> = office.peers.iter().filter(due).map(|(id, _)| *id).collect();
        peers.into_iter().for_each(|peer| self.bring(now, peer));
    }

    fn bring(&mut self, now: Ms, to: MemberId) {
        let (term, commit, batch) = (self.term, self.commit, self.figures.max_entries_per_message);
        let Part::Leader(office) = &mut self.part else { return };
        let Some(peer) = office.peers.get_mut(&to) else { return };
        let before = peer.next.previous();
        let message = match self.log.term_at(before) {
            Some(at_term) => {
                let entries = self.log.entries_from(peer.next, batch).to_vec();
                peer.next = Index(peer.next.0 + entries.len() as u64);
                Message::AppendEntries {
                    term,
                    sent_at: now,
                    previous: (before, at_term),
                    entries,
                    commit_index: commit,
                }
            }
            None => {
                let snapshot = self.log.snapshot.clone();
                peer.next = snapshot.last_index.next();
                Message::InstallSnapshot { term, sent_at: now, snapshot }
            }
        };
        self.say(to, message);
    }

    fn appended(&mut self, now: Ms, from: MemberId, at: Ms, same: bool, upto: Index) {
        let last = self.log.last().0;
        let Part::Leader(office) = &mut self.part else { return };
        let Some(peer) = office.peers.get_mut(&from) else { return };
        peer.answered = peer.answered.max(at.min(now));
        if same {
            peer.same = peer.same.max(upto.min(last));
            peer.next = peer.next.max(peer.same.next());
        } else {
            peer.next = upto.next().min(last.next()).max(peer.same.next());
        }
        if peer.next <= last {
            self.bring(now, from);
        }
        self.advance(now);
        self.hand_over();
    }

    /// Commits what a majority holds durably. Only entries of the own term are counted; what is before them is
    /// committed with them (Raft, 5.4.2).
    fn advance(&mut self, now: Ms) {
        let Part::Leader(office) = &self.part else { return };
        let kept = |id: MemberId| office.peers.get(&id).map_or(Index(0), |peer| peer.same);
        let most = self.majority(|id| if id == self.me { self.kept } else { kept(id) });
        let Some(most) = most.filter(|most| *most > self.commit) else { return };
        if self.log.term_at(most) == Some(self.term) {
            self.agree(most);
            self.spread(now, true);
            self.left_out(now);
        }
    }

    /// A leader that is no member any more has seen that agreed, and steps down.
    fn left_out(&mut self, now: Ms) {
        if !self.votes() && self.commit >= self.log.membership_index() {
            self.follow(now, self.term, None, "it is no voter any more");
        }
    }

    fn agree(&mut self, upto: Index) {
        self.commit = upto.max(self.commit);
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied.next()) else { return };
            self.done.committed.push(Committed::Entry(entry.clone()));
            self.applied = self.applied.next();
        }
    }

    fn leading(&self) -> Result<&Office, ProposeError> {
        match &self.part {
            Part::Leader(office) if office.handing.is_some() => Err(ProposeError::TransferInProgress),
            Part::Leader(office) => Ok(office),
            _ => Err(ProposeError::NotLeader(self.leader())),
        }
    }

    /// Proposes a command, as leader.
    pub fn propose(&mut self, now: Ms, command: Vec<u8>) -> Result<LogPosition, ProposeError> {
        self.leading()?;
        if self.log.last().0 .0 - self.commit.0 >= self.figures.max_uncommitted_entries as u64 {
            return Err(ProposeError::TooManyUncommitted);
        }
        let led = self.append(vec![Payload::Command(command)]);
        self.spread(now, false);
        self.advance(now);
        Ok(led)
    }

    /// Changes the members by one step, as leader.
    pub fn change_members(
        &mut self,
        now: Ms,
        change: &MembershipChange,
    ) -> Result<LogPosition, ProposeError> {
        let office = self.leading()?;
        // Guards against two changes at once, and against the flaw in one-at-a-time changes that was found after the
        // dissertation: none before an entry of the own term is committed.
        if self.commit < office.opening || self.commit < self.log.membership_index() {
            return Err(ProposeError::MembershipChangeInProgress);
        }
        let mut members = self.members().clone();
        match change {
            MembershipChange::Add(id, address) => {
                if members.contains_key(id) {
                    return Err(ProposeError::InvalidMembershipChange);
                }
                members.insert(*id, Member { address: address.clone(), role: MemberRole::Learner });
            }
            MembershipChange::Promote(id) => {
                let caught_up = office.peers.get(id).is_some_and(|peer| peer.same >= self.commit);
                let learner = members.get_mut(id).filter(|member| member.role == MemberRole::Learner);
                match learner.filter(|_| caught_up) {
                    Some(member) => member.role = MemberRole::Voter,
                    None => return Err(ProposeError::InvalidMembershipChange),
                }
            }
            MembershipChange::Remove(id) => {
                // The last voter stays: without it nothing could be agreed ever again.
                let last = self.voters().eq([id]);
                if last || members.remove(id).is_none() {
                    return Err(ProposeError::InvalidMembershipChange);
                }
            }
        }
        let (me, next) = (self.me, self.log.last().0.next());
        let led = self.append(vec![Payload::Membership(members.clone())]);
        if let Part::Leader(office) = &mut self.part {
            office.peers.retain(|id, _| members.contains_key(id));
            for id in members.keys().filter(|id| **id != me) {
                office.peers.entry(*id).or_insert(Progress { next, same: Index(0), answered: now });
            }
        }
        self.spread(now, true);
        self.advance(now);
        Ok(led)
    }

    /// Hands the office to whoever has most of the log, as on a planned end. False where there is nobody.
    pub fn transfer_leadership(&mut self, now: Ms) -> bool {
        let until = now + self.figures.election_timeout_ms;
        let heir = match &self.part {
            Part::Leader(office) => {
                let voters = self.others().filter_map(|id| Some((*id, office.peers.get(id)?)));
                let fresh =
                    voters.filter(|(_, peer)| now <= peer.answered + self.figures.election_timeout_ms);
                fresh.max_by_key(|(_, peer)| peer.same).map(|(id, _)| id)
            }
            _ => None,
        };
        if let (Some(heir), Part::Leader(office)) = (heir, &mut self.part) {
            office.handing = Some((heir, until));
            self.hand_over();
        }
        heir.is_some()
    }

    fn hand_over(&mut self) {
        let Part::Leader(office) = &self.part else { return };
        let Some((heir, _)) = office.handing else { return };
        if office.peers.get(&heir).is_some_and(|peer| peer.same == self.log.last().0) {
            self.say(heir, Message::TimeoutNow { term: self.term });
        }
    }

    // Following.

    fn heed(&mut self, now: Ms, from: MemberId, term: Term) -> bool {
        if term < self.term {
            self.done.events.push(RaftEvent::StaleLeader(from, term));
            // So that it learns that its term is over; the log has nothing to do with it.
            self.tell(from, Message::RequestVoteReply { term: self.term, granted: false, pre_vote: false });
            return false;
        }
        if self.standing == RecoveryState::Empty {
            // Somebody leads a council whose first hour this member has no part in.
            self.doubt(now);
        }
        self.follow(now, term, Some(from), "another leads in a later term");
        self.led_at = now;
        self.patience(now);
        true
    }

    fn take_in(&mut self, from: MemberId, at: Ms, before: (Index, Term), entries: Vec<Entry>, commit: Index) {
        let (term, last) = (self.term, self.log.last().0);
        let no = |upto: Index| Message::AppendEntriesReply { term, sent_at: at, success: false, index: upto };
        let snapshot = self.log.snapshot.last_index;
        // What the snapshot stands for was committed, so it is the same.
        let fits = before.0 < snapshot || self.log.term_at(before.0) == Some(before.1);
        if !fits {
            let hint = before.0.previous().min(last).max(snapshot);
            return self.tell(from, no(hint));
        }
        let upto = Index(before.0 .0 + entries.len() as u64);
        let differs =
            |entry: &Entry| entry.index > snapshot && self.log.term_at(entry.index) != Some(entry.term);
        if let Some(first) = entries.iter().position(differs) {
            // What is committed is never replaced; a peer that wants it is not one of ours.
            if entries[first].index <= self.commit || !self.keep(entries[first..].to_vec()) {
                return;
            }
        }
        let upto = upto.max(snapshot);
        self.agree(commit.min(upto));
        self.tell(from, Message::AppendEntriesReply { term, sent_at: at, success: true, index: upto });
        self.caught_up(from, upto);
    }

    fn install(&mut self, from: MemberId, at: Ms, snapshot: Snapshot) {
        let (term, upto) = (self.term, snapshot.last_index);
        if upto > self.commit {
            self.log = Log::new(snapshot.clone());
            (self.commit, self.applied) = (upto, upto);
            self.write(Record::Snapshot(snapshot.clone()));
            self.kept = Index(0);
            self.syncing.clear();
            self.syncing.push_back((self.written, upto));
            self.done.committed.push(Committed::Snapshot(snapshot));
        }
        self.tell(from, Message::AppendEntriesReply { term, sent_at: at, success: true, index: upto });
        self.caught_up(from, upto);
    }

    /// What another member says.
    pub fn handle_message(&mut self, now: Ms, from: MemberId, message: Message) {
        match message {
            Message::HandshakeRequest { run, nonce } => self.asked(from, run, nonce),
            Message::HandshakeReply {
                run,
                known_run,
                term,
                last_index,
                is_leader,
                store_id,
                bootstrap_stores,
            } => {
                if run == self.run {
                    self.inquiry.take(
                        from,
                        Answer { known_run, term, last_index, is_leader, store_id, bootstrap_stores },
                    );
                    self.judge(now);
                }
            }
            Message::RequestVote { term, last, pre_vote, leadership_transfer } => {
                self.asked_for_vote(now, from, (term, last, pre_vote, leadership_transfer));
            }
            // A pre-vote that is granted names a term that has not begun.
            Message::RequestVoteReply { term, granted, pre_vote }
                if term > self.term && !(granted && pre_vote) =>
            {
                self.follow(now, term, None, "another is in a later term");
            }
            Message::RequestVoteReply { term, granted, pre_vote } => {
                self.voted(now, from, term, granted, pre_vote)
            }
            Message::AppendEntries { term, sent_at, previous, entries, commit_index } => {
                if self.heed(now, from, term) {
                    self.take_in(from, sent_at, previous, entries, commit_index);
                }
            }
            Message::InstallSnapshot { term, sent_at, snapshot } => {
                if self.heed(now, from, term) {
                    self.install(from, sent_at, snapshot);
                }
            }
            Message::AppendEntriesReply { term, .. } if term > self.term => {
                self.follow(now, term, None, "another is in a later term");
            }
            Message::AppendEntriesReply { term, sent_at, success, index } => {
                if term == self.term {
                    self.appended(now, from, sent_at, success, index);
                }
            }
            Message::TimeoutNow { term } => {
                if term == self.term && self.leader() == Some(from) && self.may_vote() && self.votes() {
                    self.stand(now, false, true);
                }
            }
            // Whoever proposed finds out by what is agreed, and proposes again.
            Message::Propose { command } => _ = self.propose(now, command),
        }
    }

    fn asked(&mut self, from: MemberId, run: Run, nonce: u64) {
        let (known, new) = self.peers.entry(from).or_default().observe(run, nonce);
        if new {
            self.write(Record::PeerRun(from, run, nonce));
            let next = self.log.last().0.next();
            if let Part::Leader(office) = &mut self.part {
                // Guards against an answer of its last life that still counts: it may have forgotten what it held.
                let peer = office.peers.get_mut(&from);
                peer.into_iter().for_each(|peer| (peer.next, peer.same) = (next, Index(0)));
            }
        }
        let founding = (self.standing != RecoveryState::Empty).then(|| self.founding.clone());
        let (term, last, leading) = (self.term, self.log.last().0, matches!(self.part, Part::Leader(_)));
        let birth = self.birth;
        self.tell(
            from,
            Message::HandshakeReply {
                run,
                known_run: known,
                term,
                last_index: last,
                is_leader: leading,
                store_id: birth,
                bootstrap_stores: founding,
            },
        );
    }

    // The store.

    /// So many of the records handed out in this run are durable.
    pub fn handle_durable(&mut self, now: Ms, written: u64) {
        self.durable = self.durable.max(written);
        while self.syncing.front().is_some_and(|(write, _)| *write <= self.durable) {
            let (_, index) = self.syncing.pop_front().unwrap_or_default();
            self.kept = self.kept.max(index);
        }
        while self.held.front().is_some_and(|(write, _, _)| *write <= self.durable) {
            self.done.messages.extend(self.held.pop_front().map(|(_, to, message)| (to, message)));
        }
        self.count(now);
        self.advance(now);
    }

    /// Whether the store fails. A member that cannot keep its word gives none: it leads no more and votes for nobody
    /// until the store is well.
    pub fn set_store_failing(&mut self, now: Ms, failing: bool) {
        if failing && !self.failing && !matches!(self.part, Part::Follower { .. }) {
            self.follow(now, self.term, None, "its store fails");
        }
        self.failing = failing;
    }

    /// The state that the parts above hold stands for all that was agreed up to `at`. The records that are now enough,
    /// to be put in place of all that were written; `None` where that is no place in the log.
    pub fn compact(&mut self, at: Index, state: Vec<u8>) -> Option<Vec<Record>> {
        if at > self.applied || !self.log.compact(at, state) {
            return None;
        }
        Some(self.records())
    }

    /// All that a store has to hold of this member.
    fn records(&self) -> Vec<Record> {
        let mut records = Vec::new();
        for (peer, known) in &self.peers {
            // The nonce of the one before is never compared: any start of its number is an old one now.
            records.push(Record::PeerRun(*peer, known.previous, 0));
            records.push(Record::PeerRun(*peer, known.run, known.nonce));
        }
        records.push(Record::StoreId(self.birth));
        records.push(Record::Run(self.run));
        if self.standing != RecoveryState::Empty {
            records.push(Record::Bootstrapped(self.log.snapshot.clone(), self.founding.clone()));
        }
        if matches!(self.standing, RecoveryState::Recovering { .. }) {
            records.push(Record::RecoveryStarted);
        }
        records.push(Record::TermAndVote(self.term, self.vote));
        records.push(Record::Snapshot(self.log.snapshot.clone()));
        let all = self.log.entries_from(self.log.snapshot.last_index.next(), usize::MAX - 1);
        records.extend(
            all.chunks(self.figures.max_entries_per_message.max(1))
                .map(|some| Record::Entries(some.to_vec())),
        );
        records
    }
}
