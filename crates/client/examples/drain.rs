//! Drains one worker over NETCONF and waits until every proxy holds that:
//!
//!     cargo run -p juniperrail-client --example drain -- 127.0.0.1:8300 ann keys/ann keys/host.pub s-two

use juniperrail_client::{Client, Commit, Dial, Failed};

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [address, user, key, host, worker] = &args[..] else {
        eprintln!("drain ADDRESS USER KEY HOST-KEY WORKER");
        std::process::exit(2);
    };
    let dial = Dial::ssh(address, user, key).trusting_host(host);
    match drained(&dial, worker).await {
        Ok(after) => println!("every proxy holds it, {after} ms after the commit"),
        Err(why) => {
            eprintln!("{worker} is not drained: {why}");
            std::process::exit(1);
        }
    }
}

async fn drained(dial: &Dial, worker: &str) -> Result<String, Failed> {
    let mut client = Client::dial(dial).await?;
    client.subscribe(Some("<change-held xmlns=\"tag:juniperrail.example,2026:yang:state\"/>")).await?;
    let body = format!("<worker><name>{worker}</name><wanted>draining</wanted></worker>");
    client
        .edit(&format!("<workers xmlns=\"tag:juniperrail.example,2026:yang:manager\">{body}</workers>"))
        .await?;
    client.commit(&Commit::default()).await?;
    let told = client.notification().await?;
    let event = &told.children[1];
    client.close().await?;
    Ok(event.children.last().map(|after| after.text.clone()).unwrap_or_default())
}
