//! The keeper with a decider of the test's own: what is told, and in which order.

use std::sync::Arc;

use juniperrail_intent::{Commit, Datastore, DefaultOperation, ErrorOption};
use juniperrail_model::{schema, xml, Data};
use juniperrail_north::{
    DatastoreManager, Notice, Notification, PlannerRequest, TestOption, NOTICE_QUEUE_CAPACITY,
    REQUEST_QUEUE_CAPACITY,
};
use tokio::sync::mpsc;

const FILE: &str = r#"<config xmlns="urn:ietf:params:xml:ns:netconf:base:1.0">
    <northbound xmlns="tag:juniperrail.example,2026:yang:manager"><user><name>ann</name><role>admin</role></user>
    <user><name>eve</name></user></northbound></config>"#;

fn keeper() -> (DatastoreManager, mpsc::Receiver<PlannerRequest>) {
    let schema = Arc::new(schema());
    let data = xml::file(&schema, FILE.as_bytes()).unwrap();
    let (asks, asked) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
    (DatastoreManager::new(schema, 1e12, data, None, asks).unwrap(), asked)
}

fn weight(keeper: &DatastoreManager, weight: u32) -> Vec<juniperrail_model::Draft> {
    let text = format!(
        "<workers xmlns=\"tag:juniperrail.example,2026:yang:manager\"><worker><name>s-1</name>\
         <weight>{weight}</weight></worker></workers>"
    );
    xml::drafts(keeper.schema(), &[xml::read(text.as_bytes()).unwrap()], true).unwrap()
}

#[tokio::test]
async fn a_change_is_told_before_it_is_told_to_be_held() {
    let (keeper, mut asked) = keeper();
    let (notices, noticed) = mpsc::channel(NOTICE_QUEUE_CAPACITY);
    let running = tokio::spawn({
        let keeper = keeper.clone();
        async move { keeper.run(noticed).await }
    });
    let decider = tokio::spawn(async move {
        while let Some(ask) = asked.recv().await {
            if let PlannerRequest::Apply { number, verdict, .. } = ask {
                // The proxies are quick: all hold it before whoever asked hears that it is taken over.
                notices.send(Notice::Applied { number, after: 1.0 }).await.unwrap();
                tokio::task::yield_now().await;
                verdict.send(Ok(())).unwrap();
            }
        }
    });
    let (ann, _end) = keeper.open_session("ann", "test").await.unwrap();
    let mut told = keeper.subscribe();
    for number in 2..30 {
        keeper
            .edit(
                &ann,
                &weight(&keeper, number),
                DefaultOperation::Merge,
                ErrorOption::RollbackOnError,
                TestOption::TestThenSet,
            )
            .await
            .unwrap();
        keeper.commit(&ann, Commit::default()).await.unwrap();
        let first = told.recv().await.unwrap();
        assert!(
            matches!(&*first, Notification::ConfigChanged { number: of, .. } if *of == u64::from(number)),
            "{first:?}"
        );
        let second = told.recv().await.unwrap();
        assert!(
            matches!(&*second, Notification::ChangeApplied { number: of, .. } if *of == u64::from(number)),
            "{second:?}"
        );
    }
    running.abort();
    decider.abort();
}

#[tokio::test]
async fn a_change_that_the_decisions_refuse_or_never_answer_leaves_running_as_it_was() {
    let (keeper, mut asked) = keeper();
    let (ann, _end) = keeper.open_session("ann", "test").await.unwrap();
    let before = keeper.get(&ann, Datastore::Running).await;
    let refusing = tokio::spawn(async move {
        let refusal = juniperrail_intent::Refusal::NoSecondMessage { max_messages: 1.0 };
        match asked.recv().await {
            Some(PlannerRequest::Apply { verdict, .. }) => verdict.send(Err(vec![refusal])).unwrap(),
            _ => panic!("a change is asked for"),
        }
        // The next one is dropped unanswered, and nobody asks after that.
        drop(asked.recv().await);
    });
    let drafts = weight(&keeper, 2);
    keeper
        .edit(&ann, &drafts, DefaultOperation::Merge, ErrorOption::RollbackOnError, TestOption::TestThenSet)
        .await
        .unwrap();
    for why in ["too few to tell it twice", "not there any more", "not there any more"] {
        let refused = keeper.commit(&ann, Commit::default()).await.unwrap_err();
        assert!(refused.to_string().contains(why), "{refused}");
        assert_eq!(keeper.get(&ann, Datastore::Running).await, before);
    }
    refusing.await.unwrap();
    assert!(keeper.state(&ann).await.is_err(), "nor is there a state to tell");
}

#[tokio::test]
async fn who_is_not_named_is_not_let_in_and_startup_needs_a_file() {
    let (keeper, _asked) = keeper();
    assert!(keeper.open_session("mallory", "test").await.is_none());
    let (eve, _end) = keeper.open_session("eve", "test").await.unwrap();
    let (ann, _end) = keeper.open_session("ann", "test").await.unwrap();
    assert!(keeper.lock(&eve, Datastore::Candidate).await.is_err());
    let refused =
        keeper.copy(&ann, juniperrail_north::Source::Store(Datastore::Running), Datastore::Startup).await;
    assert!(refused.unwrap_err().to_string().contains("no operator's file"));
    assert!(
        keeper.kill_session(&eve, ann.session).await.is_err()
            && keeper.kill_session(&ann, eve.session).await.is_ok()
    );
    assert_eq!(keeper.get(&eve, Datastore::Running).await, Data::default(), "northbound is not for readers");
}
