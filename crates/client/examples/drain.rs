//! Drains one worker over NETCONF and waits until every proxy holds that:
//!
//!     cargo run -p juniperrail-client --example drain -- 127.0.0.1:8300 ann keys/ann keys/host.pub s-two

use juniperrail_client::{Client, ClientError, Commit, Endpoint};

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [address, user, key, host, worker] = &args[..] else {
        eprintln!("drain ADDRESS USER KEY HOST-KEY WORKER");
        std::process::exit(2);
    };
    let dial = Endpoint::ssh(address, user, key).with_host_key(host);
    match drained(&dial, worker).await {
        Ok(after) => println!("every proxy holds it, {after} ms after the commit"),
        Err(why) => {
            eprintln!("{worker} is not drained: {why}");
            std::process::exit(1);
        }
    }
}

async fn drained(dial: &Endpoint, worker: &str) -> Result<String, ClientError> {
    let mut client = Client::connect(dial).await?;
    client.subscribe(Some("<change-held xmlns=\"tag:juniperrail.example,2026:yang:state\"/>")).await?;
    let body = format!("<worker><name>{worker}</name><wanted>draining</wanted></worker>");
    client
        .edit(&format!("<workers xmlns=\"tag:juniperrail.example,2026:yang:manager\">{body}</workers>"))
        .await?;
    client.commit(&Commit::default()).await?;
    let told = client.next_notification().await?;
    let event = &told.children[1];
    client.close().await?;
    Ok(event.children.last().map(|after| after.text.clone()).unwrap_or_default())
}
