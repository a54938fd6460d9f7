//! The command line as an operator uses it: checking and writing files, and querying and changing a running manager
//! over NETCONF, including exit codes and one-line errors.

mod common;

use std::fs;
use std::io::{BufRead, BufReader, Read};
use std::process::{Command, Stdio};

use common::netconf_manager::{create_directory, run_command, TestManager, PROGRAM};
use juniperrail_client::{Client, Commit, Datastore};
use juniperrail_standins::{address_from_log, instance_json, list_json, AnsweringProxy, Peer, SETTINGS};

#[test]
fn running_manager_is_queried_and_changed() {
    let manager = TestManager::new("changed");
    let mut proxy = AnsweringProxy::connect(manager.address, 7);
    proxy.next_line_containing("whole=1");
    let drain_file = manager.write_change_file("<worker><name>s-1</name><wanted>draining</wanted></worker>");
    assert_eq!(manager.run(&["config", "edit", &drain_file]), (0, String::new(), String::new()));
    proxy.next_line_containing("out=s-1");
    // Within this time the manager would have closed the connection of a proxy that does not acknowledge its marks.
    std::thread::sleep(std::time::Duration::from_secs(7));
    let (code, output, error) = manager.run(&["config", "get", "/workers", "--json"]);
    assert_eq!(error, "");
    let config: serde_json::Value = serde_json::from_str(&output).unwrap();
    let worker = &config["juniperrail-manager:workers"]["worker"][0];
    assert_eq!(
        (code, worker["name"].as_str(), worker["wanted"].as_str()),
        (0, Some("s-1"), Some("draining"))
    );
    let (_, state, _) = manager.run(&["state", "/state/workers/worker[name='s-1']/phase"]);
    assert!(state.contains("<name>s-1</name>") && state.contains("<phase>draining</phase>"), "{state}");
    assert!(!state.contains("s-2") && !state.contains("<zone>"), "{state}");
    // A refused edit has exit code 3, prints the reason in one line, and leaves the candidate unchanged.
    let zero_weight_file = manager.write_change_file("<worker><name>s-2</name><weight>0</weight></worker>");
    let (code, output, error) = manager.run(&["config", "edit", &zero_weight_file]);
    assert_eq!((code, output.as_str(), error.lines().count()), (3, "", 1));
    assert!(error.starts_with("juniperrail: refused: lookup would have no ready, warm worker"), "{error}");
    assert_eq!(manager.run(&["config", "diff"]), (0, String::new(), String::new()));
    let weight_file = manager.write_change_file("<worker><name>s-2</name><weight>1.5</weight></worker>");
    assert_eq!(manager.run(&["config", "edit", "--no-commit", &weight_file]).0, 0);
    let (_, differences, _) = manager.run(&["config", "diff"]);
    assert!(differences.contains("+ /jrm:workers/worker[name='s-2']/weight 1.5"), "{differences}");
    assert_eq!(manager.run(&["config", "commit", "--confirm", "600", "--persist", "night"]).0, 0);
    assert_eq!(manager.run(&["config", "commit", "--persist-id", "day"]).0, 3);
    assert_eq!(manager.run(&["config", "commit", "--persist-id", "night"]).0, 0);
    assert_eq!(manager.run(&["config", "rollback", "1"]).0, 0);
    proxy.next_line_containing("back=s-1");
    assert_eq!(manager.run(&["config", "rollback", "99"]).0, 3);
    assert_eq!(manager.run(&["config", "save"]).0, 0);
    let saved = fs::read_to_string(manager.directory.join("operator.xml")).unwrap();
    assert!(saved.contains("<role>admin</role>") && !saved.contains("s-2"), "{saved}");
    let (code, _, error) = manager.run(&["config", "edit", "/nothing/there.xml"]);
    assert!(code == 1 && error.lines().count() == 1 && error.contains("cannot be read"), "{error}");
    let malformed_file = manager.write_change_file("<worker>");
    let (code, _, error) = manager.run(&["config", "edit", &malformed_file]);
    assert!(code == 1 && error.starts_with("juniperrail: line 1: "), "{error}");
}

/// Guards against the loss of one operator's change when the manager refuses the change of another (review case 9).
#[test]
fn a_refused_change_leaves_the_prepared_change_of_another_operator() {
    let manager = TestManager::new("prepared");
    let drain_file = manager.write_change_file("<worker><name>s-1</name><wanted>draining</wanted></worker>");
    assert_eq!(manager.run(&["config", "edit", "--no-commit", &drain_file]).0, 0);
    let (_, prepared, _) = manager.run(&["config", "diff"]);
    assert!(prepared.contains("draining"), "{prepared}");
    let refused_file = manager.write_change_file("<worker><name>s-2</name><weight>0</weight></worker>");
    for other_change in [&["config", "edit", &refused_file][..], &["config", "rollback", "1"]] {
        let (code, _, error) = manager.run(other_change);
        assert_eq!((code, error.lines().count()), (3, 1), "{error}");
        assert!(error.contains("the candidate has uncommitted changes"), "{error}");
        assert_eq!(manager.run(&["config", "diff"]).1, prepared);
    }
    // A refused commit keeps what was prepared, too.
    assert_eq!(manager.run(&["config", "edit", "--no-commit", &refused_file]).0, 0);
    assert_eq!(manager.run(&["config", "commit"]).0, 3);
    assert!(manager.run(&["config", "diff"]).1.contains("draining"));
    let follow_file = manager.write_change_file("<worker><name>s-2</name><weight>1</weight></worker>");
    assert_eq!(manager.run(&["config", "edit", "--no-commit", &follow_file]).0, 0);
    assert_eq!(manager.run(&["config", "commit"]).0, 0);
    assert!(manager.run(&["config", "get", "/workers"]).1.contains("<wanted>draining</wanted>"));
}

/// Guards against the interleaving of two operators' edits and commits in the shared candidate (review case 9): each
/// command waits while another session holds the lock.
#[test]
fn a_change_waits_for_the_lock_of_another_session_and_is_then_committed() {
    let mut manager = TestManager::with_log_filter("waits", "info,juniperrail_netconf=debug");
    let drain_file = manager.write_change_file("<worker><name>s-1</name><wanted>draining</wanted></worker>");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let mut holder = Client::connect(&manager.ssh_endpoint()).await.unwrap();
        holder.lock(Datastore::Candidate).await.unwrap();
        let child = manager.command(&["config", "edit", &drain_file]).spawn().unwrap();
        manager.wait_for_denied_lock(holder.session_id);
        let workers =
            ["s-1", "s-2"].map(|name| format!("<worker><name>{name}</name><weight>0</weight></worker>"));
        let namespace = "tag:juniperrail.example,2026:yang:manager";
        holder.edit(&format!("<workers xmlns=\"{namespace}\">{}</workers>", workers.concat())).await.unwrap();
        let refusal = holder.commit(&Commit::default()).await.unwrap_err();
        assert_eq!(refusal.rpc_errors()[0].app_tag.as_deref(), Some("no-ready-worker"));
        holder.unlock(Datastore::Candidate).await.unwrap();
        assert!(child.wait_with_output().unwrap().status.success());
        let running = holder.get_config(Datastore::Running, None).await.unwrap().text();
        // With its element: the name alone may be a part of a file's path.
        let has_other = running.contains("<name>s-2</name>");
        assert!(running.contains("<wanted>draining</wanted>") && !has_other, "{running}");
    });
}

#[test]
fn log_is_json_on_request() {
    let mut manager = TestManager::new("json");
    let change_file = manager.write_change_file("<worker><name>s-1</name><weight>2</weight></worker>");
    assert_eq!(manager.run(&["config", "edit", &change_file]).0, 0);
    let mut lines = manager.log.by_ref().lines().map(Result::unwrap);
    let line = lines.find(|line| line.contains("is accepted")).unwrap();
    let event: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert_eq!(
        (event["level"].as_str(), event["span"]["by"].as_str()),
        (Some("INFO"), Some("ann")),
        "{line}"
    );
    assert_eq!(event["span"]["name"], "change");
}

#[test]
fn optional_features_are_off_without_an_operator_file_or_with_the_empty_default_file() {
    let directory = create_directory("without");
    let config = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f","known":{},"settings":{SETTINGS}}}"#,
        list_json(1, true, &[instance_json("s-1", "a", "127.0.0.1:9", "ready")])
    );
    fs::write(directory.join("config.json"), config).unwrap();
    fs::create_dir_all(directory.join("deploy")).unwrap();
    for operator_file in [None, Some(include_str!("../../../deploy/juniperrail.xml"))] {
        operator_file
            .iter()
            .for_each(|text| fs::write(directory.join("deploy/juniperrail.xml"), text).unwrap());
        let mut command = Command::new(PROGRAM);
        command.env_clear().env("PROXY_CONFIG", "config.json").current_dir(&directory);
        let mut manager = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(manager.stderr.take().unwrap());
        let address = address_from_log(&mut log);
        Peer::connect_as_proxy(address, 1).next_line_containing("whole=1 lines=s-1:1");
        let threads = fs::read_dir(format!("/proc/{}/task", manager.id())).unwrap().count();
        assert_eq!(threads, 1, "the manager must have a single thread");
        manager.kill().unwrap();
        manager.wait().unwrap();
    }
    fs::remove_dir_all(&directory).unwrap();
}

#[test]
fn check_reports_an_invalid_file_in_one_line() {
    let directory = create_directory("check");
    let operator_file = directory.join("operator.xml");
    let config = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f","settings":{SETTINGS}}}"#
    );
    fs::write(directory.join("config.json"), config).unwrap();
    let check = |body: &str, with_config: bool| {
        let text = format!("<config xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\">\n{body}</config>");
        fs::write(&operator_file, text).unwrap();
        let mut command = Command::new(PROGRAM);
        command.env_clear().arg("check").arg("--operator-file").arg(&operator_file);
        if with_config {
            command.env("PROXY_CONFIG", directory.join("config.json"));
        }
        run_command(&mut command)
    };
    let namespace = "xmlns=\"tag:juniperrail.example,2026:yang:manager\"";
    let drain_grace_config =
        |ms: u32| format!("<figures {namespace}><drain-grace>{ms}</drain-grace></figures>");
    assert_eq!(check(&drain_grace_config(2900), true).0, 0);
    let netconf_element =
        "<netconf><ssh><listen>127.0.0.1:0</listen><host-key>nowhere</host-key></ssh></netconf>";
    for (body, with_config, expected) in [
        (drain_grace_config(0), false, "line 2: /jrm:figures/drain-grace: 0.0 is not within 1.0..3600000.0"),
        (
            drain_grace_config(3001),
            true,
            "/jrm:figures/drain-grace: drain-grace 3001 is looser than the settings' 3000",
        ),
        (
            format!("<northbound {namespace}>{netconf_element}</northbound>"),
            false,
            "without a user whose role is admin",
        ),
        ("<figures/>".into(), false, "line 2: /: \"figures\" is in the unknown namespace"),
        (
            format!("<figures {namespace}><operation><name>x</name></operation></figures>"),
            true,
            "there is no operation x",
        ),
    ] {
        let (code, output, error) = check(&body, with_config);
        assert_eq!((code, output.as_str(), error.lines().count()), (1, "", 1), "{error}");
        assert!(error.contains(expected), "{error}");
    }
    let serve = |operator_file: &str| {
        let mut command = Command::new(PROGRAM);
        command.env_clear().env("PROXY_CONFIG", directory.join("config.json"));
        run_command(command.args(["--operator-file", operator_file]))
    };
    let (code, _, error) = serve("/nothing/there.xml");
    assert!(code == 1 && error.contains("/nothing/there.xml does not exist"), "{error}");
    let admin_element = "<user><name>a</name><role>admin</role></user>";
    fs::write(
        &operator_file,
        format!("<config xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\"><northbound {namespace}>{netconf_element}{admin_element}</northbound></config>"),
    )
    .unwrap();
    let (code, _, error) = serve(operator_file.to_str().unwrap());
    assert!(code == 1 && error.lines().count() == 1 && error.contains("the host key"), "{error}");
    fs::remove_dir_all(&directory).unwrap();
}

#[test]
fn schema_completions_and_help_are_printed() {
    let run = |args: &[&str]| run_command(Command::new(PROGRAM).env_clear().args(args));
    let (code, yang, _) = run(&["schema"]);
    assert!(code == 0 && yang.contains("module juniperrail-manager {"));
    let directory = create_directory("schema");
    assert_eq!(run(&["schema", "--xsd", "-o", directory.to_str().unwrap()]).0, 0);
    let mut names: Vec<_> = fs::read_dir(&directory).unwrap().map(|file| file.unwrap().file_name()).collect();
    names.sort();
    assert_eq!(names, ["juniperrail-manager.xsd", "juniperrail.xsd"]);
    fs::remove_dir_all(&directory).unwrap();
    for shell in ["bash", "zsh", "fish"] {
        assert!(run(&["completions", shell]).1.contains("juniperrail"));
    }
    let (code, help, _) = run(&["--help"]);
    assert!(code == 0 && help.contains("Exit codes: 0 done"), "{help}");
    assert_eq!(run(&["config", "get"]).0, 2, "a command that names no manager must fail with a usage error");
    assert_eq!(run(&["state", "--ssh", "127.0.0.1:1"]).0, 2);
    let (code, _, error) =
        run(&["state", "--ssh", "127.0.0.1:1", "--user", "a", "--key", "/no/key", "--host-key", "/no/key"]);
    assert!(code == 1 && error.lines().count() == 1, "{error}");
}
