//! The program as an operator types it: what is checked, what is written, and a running manager read and changed
//! over NETCONF. Exit codes and one-line faults are part of it.

use std::fs;
use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};

use juniperrail_standins::{address_served, entry, list, Answering, Discovery, Peer, SshKeys, SETTINGS};

const PROGRAM: &str = env!("CARGO_BIN_EXE_juniperrail");

fn output(command: &mut Command) -> (i32, String, String) {
    let Output { status, stdout, stderr } = command.output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (status.code().unwrap_or(-1), text(stdout), text(stderr))
}

struct Town {
    folder: PathBuf,
    _discovery: Discovery,
    manager: Child,
    address: std::net::SocketAddr,
    ssh: String,
    host: SshKeys,
    ann: SshKeys,
    log: BufReader<std::process::ChildStderr>,
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("juniperrail-line-{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    folder
}

impl Town {
    fn new(name: &str) -> Town {
        let folder = folder(name);
        let (host, ann) = (SshKeys::write(&folder, "host", 1), SshKeys::write(&folder, "ann", 2));
        let discovery = Discovery::start();
        let all = list(1, true, &["s-1", "s-2"].map(|id| entry(id, "a", "127.0.0.1:9", "ready")));
        discovery.tell(&all);
        let config = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{}","seed":"8c1f30d27a5be964","known":{all},
            "settings":{SETTINGS}}}"#,
            discovery.address
        );
        let operator = format!(
            r#"<config xmlns="urn:ietf:params:xml:ns:netconf:base:1.0"><northbound
            xmlns="tag:juniperrail.example,2026:yang:manager"><netconf><ssh><listen>127.0.0.1:0</listen>
            <host-key>host</host-key></ssh></netconf><user><name>ann</name><role>admin</role>
            <ssh-key>{}</ssh-key></user></northbound></config>"#,
            ann.line
        );
        fs::write(folder.join("config.json"), config).unwrap();
        fs::write(folder.join("operator.xml"), operator).unwrap();
        let mut program = Command::new(PROGRAM);
        program.env_clear().env("PROXY_CONFIG", folder.join("config.json"));
        program.args(["--operator-file", folder.join("operator.xml").to_str().unwrap(), "--log", "json"]);
        let mut manager = program.stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(manager.stderr.take().unwrap());
        let mut line = String::new();
        let (mut address, mut ssh) = (None, None);
        while address.is_none() || ssh.is_none() {
            line.clear();
            assert!(log.read_line(&mut line).unwrap() > 0, "it serves");
            let event: serde_json::Value = serde_json::from_str(&line).unwrap();
            let message = event["message"].as_str().unwrap();
            address = address.or(message.split_once("serves on ").map(|(_, at)| at.parse().unwrap()));
            ssh = ssh.or(message.split_once("NETCONF over SSH on ").map(|(_, at)| at.to_string()));
        }
        let (address, ssh) = (address.unwrap(), ssh.unwrap());
        Town { folder, _discovery: discovery, manager, address, ssh, host, ann, log }
    }

    fn line(&self, args: &[&str]) -> (i32, String, String) {
        let mut command = Command::new(PROGRAM);
        let (group, rest) = args.split_first().unwrap();
        command.env_clear().arg(group).args(["--ssh", &self.ssh, "--user", "ann"]);
        command.arg("--key").arg(&self.ann.private).arg("--host-key").arg(&self.host.public);
        output(command.args(rest))
    }

    fn file(&self, body: &str) -> String {
        let path = self.folder.join("change.xml");
        let text = format!(
            "<config xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\">\
             <workers xmlns=\"tag:juniperrail.example,2026:yang:manager\">{body}</workers></config>"
        );
        fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_string()
    }
}

impl Drop for Town {
    fn drop(&mut self) {
        _ = self.manager.kill();
        _ = self.manager.wait();
        _ = fs::remove_dir_all(&self.folder);
    }
}

#[test]
fn a_running_manager_is_read_and_changed() {
    let town = Town::new("changed");
    let mut proxy = Answering::joined(town.address, 7);
    proxy.line_with("whole=1");
    let drained = town.file("<worker><name>s-1</name><wanted>draining</wanted></worker>");
    assert_eq!(town.line(&["config", "edit", &drained]), (0, String::new(), String::new()));
    proxy.line_with("out=s-1");
    // Longer than a proxy that owed an answer would be kept.
    std::thread::sleep(std::time::Duration::from_secs(7));
    let (code, got, why) = town.line(&["config", "get", "/workers", "--json"]);
    assert_eq!(why, "");
    let got: serde_json::Value = serde_json::from_str(&got).unwrap();
    let worker = &got["juniperrail-manager:workers"]["worker"][0];
    assert_eq!(
        (code, worker["name"].as_str(), worker["wanted"].as_str()),
        (0, Some("s-1"), Some("draining"))
    );
    let (_, state, _) = town.line(&["state", "/state/workers/worker[name='s-1']/phase"]);
    assert!(state.contains("<name>s-1</name>") && state.contains("<phase>draining</phase>"), "{state}");
    assert!(!state.contains("s-2") && !state.contains("<zone>"), "{state}");
    // Refused: exit code 3, one line with the reason, and the candidate is as it was.
    let both = town.file("<worker><name>s-2</name><weight>0</weight></worker>");
    let (code, out, why) = town.line(&["config", "edit", &both]);
    assert_eq!((code, out.as_str(), why.lines().count()), (3, "", 1));
    assert!(why.starts_with("juniperrail: refused: lookup would have no ready, warm worker"), "{why}");
    assert_eq!(town.line(&["config", "diff"]), (0, String::new(), String::new()));
    let weighed = town.file("<worker><name>s-2</name><weight>1.5</weight></worker>");
    assert_eq!(town.line(&["config", "edit", "--no-commit", &weighed]).0, 0);
    let (_, differences, _) = town.line(&["config", "diff"]);
    assert!(differences.contains("+ /jrm:workers/worker[name='s-2']/weight 1.5"), "{differences}");
    assert_eq!(town.line(&["config", "commit", "--confirm", "600", "--persist", "night"]).0, 0);
    assert_eq!(town.line(&["config", "commit", "--persist-id", "day"]).0, 3);
    assert_eq!(town.line(&["config", "commit", "--persist-id", "night"]).0, 0);
    assert_eq!(town.line(&["config", "rollback", "1"]).0, 0);
    proxy.line_with("back=s-1");
    assert_eq!(town.line(&["config", "rollback", "99"]).0, 3);
    assert_eq!(town.line(&["config", "save"]).0, 0);
    let saved = fs::read_to_string(town.folder.join("operator.xml")).unwrap();
    assert!(saved.contains("<role>admin</role>") && !saved.contains("s-2"), "{saved}");
    let (code, _, why) = town.line(&["config", "edit", "/nothing/there.xml"]);
    assert!(code == 1 && why.lines().count() == 1 && why.contains("cannot be read"), "{why}");
    let odd = town.file("<worker>");
    let (code, _, why) = town.line(&["config", "edit", &odd]);
    assert!(code == 1 && why.starts_with("juniperrail: line 1: "), "{why}");
}

#[test]
fn the_log_is_json_where_that_is_asked_for() {
    let mut town = Town::new("json");
    let changed = town.file("<worker><name>s-1</name><weight>2</weight></worker>");
    assert_eq!(town.line(&["config", "edit", &changed]).0, 0);
    let mut lines = town.log.by_ref().lines().map(Result::unwrap);
    let taken = lines.find(|line| line.contains("is taken over")).unwrap();
    let event: serde_json::Value = serde_json::from_str(&taken).unwrap();
    assert_eq!(
        (event["level"].as_str(), event["span"]["by"].as_str()),
        (Some("INFO"), Some("ann")),
        "{taken}"
    );
    assert_eq!(event["span"]["name"], "change");
}

#[test]
fn nothing_new_is_on_without_the_operators_file_or_with_an_empty_one() {
    let folder = folder("without");
    let config = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f","known":{},"settings":{SETTINGS}}}"#,
        list(1, true, &[entry("s-1", "a", "127.0.0.1:9", "ready")])
    );
    fs::write(folder.join("config.json"), config).unwrap();
    fs::create_dir_all(folder.join("deploy")).unwrap();
    for text in [None, Some(include_str!("../../../deploy/juniperrail.xml"))] {
        text.iter().for_each(|text| fs::write(folder.join("deploy/juniperrail.xml"), text).unwrap());
        let mut program = Command::new(PROGRAM);
        program.env_clear().env("PROXY_CONFIG", "config.json").current_dir(&folder);
        let mut manager = program.stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(manager.stderr.take().unwrap());
        let address = address_served(&mut log);
        Peer::joined(address, 1).line_with("whole=1 lines=s-1:1");
        let threads = fs::read_dir(format!("/proc/{}/task", manager.id())).unwrap().count();
        assert_eq!(threads, 1, "one thread, as ever");
        manager.kill().unwrap();
        manager.wait().unwrap();
    }
    fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn a_file_that_does_not_fit_model_or_settings_is_told_in_one_line() {
    let folder = folder("check");
    let operator = folder.join("operator.xml");
    let config = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f","settings":{SETTINGS}}}"#
    );
    fs::write(folder.join("config.json"), config).unwrap();
    let check = |body: &str, config: bool| {
        let text = format!("<config xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\">\n{body}</config>");
        fs::write(&operator, text).unwrap();
        let mut command = Command::new(PROGRAM);
        command.env_clear().arg("check").arg("--operator-file").arg(&operator);
        if config {
            command.env("PROXY_CONFIG", folder.join("config.json"));
        }
        output(&mut command)
    };
    let ours = "xmlns=\"tag:juniperrail.example,2026:yang:manager\"";
    let grace = |ms: u32| format!("<figures {ours}><drain-grace>{ms}</drain-grace></figures>");
    assert_eq!(check(&grace(2900), true).0, 0);
    let key = "<netconf><ssh><listen>127.0.0.1:0</listen><host-key>nowhere</host-key></ssh></netconf>";
    for (body, config, why) in [
        (grace(0), false, "line 2: /jrm:figures/drain-grace: 0.0 is not within 1.0..3600000.0"),
        (grace(3001), true, "/jrm:figures/drain-grace: drain-grace 3001 is looser than the settings' 3000"),
        (format!("<northbound {ours}>{key}</northbound>"), false, "without a user whose role is admin"),
        ("<figures/>".into(), false, "line 2: /: \"figures\" is in the unknown namespace"),
        (
            format!("<figures {ours}><operation><name>x</name></operation></figures>"),
            true,
            "there is no operation x",
        ),
    ] {
        let (code, out, said) = check(&body, config);
        assert_eq!((code, out.as_str(), said.lines().count()), (1, "", 1), "{said}");
        assert!(said.contains(why), "{said}");
    }
    let serve = |operator: &str| {
        let mut command = Command::new(PROGRAM);
        command.env_clear().env("PROXY_CONFIG", folder.join("config.json"));
        output(command.args(["--operator-file", operator]))
    };
    let (code, _, why) = serve("/nothing/there.xml");
    assert!(code == 1 && why.contains("/nothing/there.xml does not exist"), "{why}");
    let admin = "<user><name>a</name><role>admin</role></user>";
    fs::write(
        &operator,
        format!("<config xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\"><northbound {ours}>{key}{admin}</northbound></config>"),
    )
    .unwrap();
    let (code, _, why) = serve(operator.to_str().unwrap());
    assert!(code == 1 && why.lines().count() == 1 && why.contains("the host key"), "{why}");
    fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn the_model_is_written_and_completions_and_help_are_there() {
    let run = |args: &[&str]| output(Command::new(PROGRAM).env_clear().args(args));
    let (code, yang, _) = run(&["schema"]);
    assert!(code == 0 && yang.contains("module juniperrail-manager {"));
    let folder = folder("schema");
    assert_eq!(run(&["schema", "--xsd", "-o", folder.to_str().unwrap()]).0, 0);
    let mut names: Vec<_> = fs::read_dir(&folder).unwrap().map(|file| file.unwrap().file_name()).collect();
    names.sort();
    assert_eq!(names, ["juniperrail-manager.xsd", "juniperrail.xsd"]);
    fs::remove_dir_all(&folder).unwrap();
    for shell in ["bash", "zsh", "fish"] {
        assert!(run(&["completions", shell]).1.contains("juniperrail"));
    }
    let (code, help, _) = run(&["--help"]);
    assert!(code == 0 && help.contains("Exit codes: 0 done"), "{help}");
    assert_eq!(run(&["config", "get"]).0, 2, "nobody is named to ask");
    assert_eq!(run(&["state", "--ssh", "127.0.0.1:1"]).0, 2);
    let (code, _, why) =
        run(&["state", "--ssh", "127.0.0.1:1", "--user", "a", "--key", "/no/key", "--host-key", "/no/key"]);
    assert!(code == 1 && why.lines().count() == 1, "{why}");
}
