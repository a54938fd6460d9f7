//! Drains one worker over NETCONF and waits until every proxy has applied the change:
//!
//!     cargo run -p juniperrail-client --example drain -- 127.0.0.1:8300 ann keys/ann keys/host.pub s-two

use juniperrail_client::{Client, ClientError, Commit, Endpoint};

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [address, user, key, host_key, worker] = &args[..] else {
        eprintln!("drain ADDRESS USER KEY HOST-KEY WORKER");
        std::process::exit(2);
    };
    let endpoint = Endpoint::ssh(address, user, key).with_host_key(host_key);
    match drain(&endpoint, worker).await {
        Ok(duration_ms) => println!("applied by every proxy {duration_ms} ms after the commit"),
        Err(error) => {
            eprintln!("cannot drain {worker}: {error}");
            std::process::exit(1);
        }
    }
}

async fn drain(endpoint: &Endpoint, worker: &str) -> Result<String, ClientError> {
    let mut client = Client::connect(endpoint).await?;
    client.subscribe(Some("<change-held xmlns=\"tag:juniperrail.example,2026:yang:state\"/>")).await?;
    let worker_config = format!("<worker><name>{worker}</name><wanted>draining</wanted></worker>");
    client
        .edit(&format!(
            "<workers xmlns=\"tag:juniperrail.example,2026:yang:manager\">{worker_config}</workers>"
        ))
        .await?;
    client.commit(&Commit::default()).await?;
    let notification = client.next_notification().await?;
    // The first child is `eventTime`, the second the event, whose last child is the duration `held-after`.
    let event = &notification.children[1];
    client.close().await?;
    Ok(event.children.last().map(|held_after| held_after.text.clone()).unwrap_or_default())
}
