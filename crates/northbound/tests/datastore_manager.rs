//! Tests of the datastore manager with a simulated planner task: the order of notifications, refused changes and access
//! control.

use std::sync::Arc;

use juniperrail_intent::{Commit, Datastore, DefaultOperation, ErrorOption};
use juniperrail_model::{schema, xml, Data};
use juniperrail_northbound::{
    DatastoreManager, Notice, Notification, PlannerRequest, TestOption, NOTICE_QUEUE_CAPACITY,
    REQUEST_QUEUE_CAPACITY,
};
use tokio::sync::mpsc;

const FILE: &str = r#"<config xmlns="urn:ietf:params:xml:ns:netconf:base:1.0">
    <northbound xmlns="tag:juniperrail.example,2026:yang:manager"><user><name>ann</name><role>admin</role></user>
    <user><name>eve</name></user></northbound></config>"#;

/// A datastore manager, and the receiver of its requests to the planner task.
fn manager() -> (DatastoreManager, mpsc::Receiver<PlannerRequest>) {
    let schema = Arc::new(schema());
    let data = xml::parse_config(&schema, FILE.as_bytes()).unwrap();
    let (request_sender, requests) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
    (DatastoreManager::new(schema, 1e12, data, None, request_sender).unwrap(), requests)
}

/// An edit that sets the weight of worker s-1.
fn set_weight(manager: &DatastoreManager, weight: u32) -> Vec<juniperrail_model::EditNode> {
    let text = format!(
        "<workers xmlns=\"tag:juniperrail.example,2026:yang:manager\"><worker><name>s-1</name>\
         <weight>{weight}</weight></worker></workers>"
    );
    xml::to_edit_nodes(manager.schema(), &[xml::parse(text.as_bytes()).unwrap()], true).unwrap()
}

#[tokio::test]
async fn subscribers_are_notified_of_a_change_before_they_are_notified_that_it_is_applied() {
    let (manager, mut requests) = manager();
    let (notice_sender, notices) = mpsc::channel(NOTICE_QUEUE_CAPACITY);
    let run_task = tokio::spawn({
        let manager = manager.clone();
        async move { manager.run(notices).await }
    });
    let planner = tokio::spawn(async move {
        while let Some(request) = requests.recv().await {
            if let PlannerRequest::Apply { number, reply, .. } = request {
                // The notice that all proxies have applied the change is sent before the commit receives the verdict.
                notice_sender.send(Notice::Applied { number, after: 1.0 }).await.unwrap();
                tokio::task::yield_now().await;
                reply.send(Ok(())).unwrap();
            }
        }
    });
    let (ann, _end) = manager.open_session("ann", "test").await.unwrap();
    let mut notifications = manager.subscribe();
    for number in 2..30 {
        manager
            .edit(
                &ann,
                &set_weight(&manager, number),
                DefaultOperation::Merge,
                ErrorOption::RollbackOnError,
                TestOption::TestThenSet,
            )
            .await
            .unwrap();
        manager.commit(&ann, Commit::default()).await.unwrap();
        let first = notifications.recv().await.unwrap();
        assert!(
            matches!(&*first, Notification::ConfigChanged { number: notified, .. } if *notified == u64::from(number)),
            "{first:?}"
        );
        let second = notifications.recv().await.unwrap();
        assert!(
            matches!(&*second, Notification::ChangeApplied { number: notified, .. } if *notified == u64::from(number)),
            "{second:?}"
        );
    }
    run_task.abort();
    planner.abort();
}

#[tokio::test]
async fn running_is_unchanged_if_the_planner_refuses_or_does_not_answer() {
    let (manager, mut requests) = manager();
    let (ann, _end) = manager.open_session("ann", "test").await.unwrap();
    let before = manager.get(&ann, Datastore::Running).await;
    let planner = tokio::spawn(async move {
        let refusal = juniperrail_intent::Refusal::NoSecondMessage { max_messages: 1.0 };
        match requests.recv().await {
            Some(PlannerRequest::Apply { reply, .. }) => reply.send(Err(vec![refusal])).unwrap(),
            _ => panic!("expected an apply request"),
        }
        // The second request is dropped without an answer; for the third, the receiver is closed.
        drop(requests.recv().await);
    });
    let edit_nodes = set_weight(&manager, 2);
    manager
        .edit(
            &ann,
            &edit_nodes,
            DefaultOperation::Merge,
            ErrorOption::RollbackOnError,
            TestOption::TestThenSet,
        )
        .await
        .unwrap();
    for reason in ["too few to send it twice", "the planner is not running", "the planner is not running"] {
        let refused = manager.commit(&ann, Commit::default()).await.unwrap_err();
        assert!(refused.to_string().contains(reason), "{refused}");
        assert_eq!(manager.get(&ann, Datastore::Running).await, before);
    }
    planner.await.unwrap();
    assert!(manager.state(&ann).await.is_err(), "there is no operational state either");
}

#[tokio::test]
async fn unknown_users_and_readers_are_rejected_and_startup_needs_a_file() {
    let (manager, _requests) = manager();
    assert!(manager.open_session("mallory", "test").await.is_none());
    let (eve, _end) = manager.open_session("eve", "test").await.unwrap();
    let (ann, _end) = manager.open_session("ann", "test").await.unwrap();
    assert!(manager.lock(&eve, Datastore::Candidate).await.is_err());
    let refused = manager
        .copy(&ann, juniperrail_northbound::Source::Datastore(Datastore::Running), Datastore::Startup)
        .await;
    assert!(refused.unwrap_err().to_string().contains("no operator's file"));
    assert!(
        manager.kill_session(&eve, ann.session).await.is_err()
            && manager.kill_session(&ann, eve.session).await.is_ok()
    );
    assert_eq!(
        manager.get(&eve, Datastore::Running).await,
        Data::default(),
        "a reader may not read the northbound configuration"
    );
}
