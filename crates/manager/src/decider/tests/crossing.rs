//! An operator's request that crosses a list, with the decider's own loop.

use super::*;

/// Long enough that the list always arrives before the turn that the request starts.
const LONG_TICK: &str = r#""tick-ms":300"#;

/// Guards against a drain that is received after an operator's `ready`, in the wait for the next turn, and that is then
/// taken for the earlier of the two: the worker would stay in use.
#[tokio::test(flavor = "current_thread")]
async fn a_drain_that_arrives_after_an_operators_ready_is_the_later_one() {
    let launch = Launch::new(&CONFIG.replace(r#""tick-ms":2"#, LONG_TICK), |_| None).unwrap();
    let (inbound, inbox) = mpsc::channel(8);
    let (requests, request_receiver) = mpsc::channel(8);
    let (notices, _notice_receiver) = mpsc::channel(8);
    let channels = NorthboundChannels { requests: request_receiver, notices };
    let probes = crate::probes::probe_service(Duration::ZERO, Duration::ZERO, 1);
    let decider = Decider::new(launch, probes, &inbound, Rc::default(), Some(channels), Rc::default());
    let client = async {
        // A first request, so that the turn of the next one waits for the tick.
        let (reply, state) = oneshot::channel();
        requests.send(PlannerRequest::State(reply)).await.unwrap();
        state.await.unwrap();
        let worker = WorkerIntent { desired_state: DesiredState::Ready, ..WorkerIntent::default() };
        let workers = BTreeMap::from([("s-1".to_string(), worker)]);
        let intent = Box::new(Intent { workers, ..Intent::default() });
        let (reply, verdict) = oneshot::channel();
        let (author, change) = ("ann".into(), IntentChange::Commit);
        let request = PlannerRequest::Apply { number: 2, author, intent, change, reply };
        requests.send(request).await.unwrap();
        while requests.capacity() < requests.max_capacity() {
            tokio::task::yield_now().await;
        }
        // The decider has taken the request and waits for its turn.
        let list = r#"{"generation":5,"instances":[{"instanceId":"s-1","zone":"a","lifecycle":"draining"}]}"#;
        inbound
            .send(Inbound::Listing(serde_json::from_str(list).unwrap()))
            .await
            .unwrap_or_else(|_| panic!());
        assert_eq!(verdict.await.unwrap(), Ok(()));
        let (reply, state) = oneshot::channel();
        requests.send(PlannerRequest::State(reply)).await.unwrap();
        let state = state.await.unwrap();
        let worker = &state.workers[0];
        assert_eq!((worker.name.as_str(), worker.composed.entry.phase), ("s-1", Phase::Draining));
    };
    tokio::select! {
        () = decider.run(inbox) => panic!("the decider ended"),
        () = client => {}
    }
}
