//! Runs planners on the simulator's line protocol: one planner for each simulated manager, isolated from the others.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};

use juniperrail::Planner;
use juniperrail_interface::{Event, Ms};
use juniperrail_start::Names;
use wire::{Line, LineError};

/// A simulated manager.
struct Instance {
    names: Names,
    /// `None` once the instance was killed; later events for it are dropped.
    planner: Option<Planner>,
    events: Vec<Event>,
    /// Whether the current batch has an event for this instance, so that its planner runs.
    has_events: bool,
}

fn main() {
    std::panic::set_hook(Box::new(|info| eprintln!("the planner panicked: {info}")));
    let (input, output) = (io::stdin().lock(), io::stdout().lock());
    if let Err(error) = serve(input, io::BufWriter::new(output)) {
        eprintln!("juniperrail-simhost: {error}");
        std::process::exit(2);
    }
}

/// Replies to each batch of events with the planners' orders, until the input ends.
fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), LineError> {
    let mut instances: BTreeMap<u32, Instance> = BTreeMap::new();
    let mut lines = input.lines().enumerate().map(|(index, text)| match text {
        Ok(text) => Ok((index + 1, text)),
        Err(err) => Err(LineError::at_line(index + 1, format!("read error: {err}"))),
    });
    while let Some(first) = lines.next() {
        let (line_number, text) = first?;
        let mut turn_line = Line::new(line_number, &text);
        match turn_line.word("message")? {
            "TURN" => {}
            other => return Err(turn_line.error(format!("expected TURN, found {other:?}"))),
        }
        let now = turn_line.number("time-ms")?;
        turn_line.finish()?;
        read_batch(now, &mut lines, &mut instances)?;
        let mut reply = String::new();
        for (number, instance) in &mut instances {
            if !std::mem::take(&mut instance.has_events) {
                continue;
            }
            let events = std::mem::take(&mut instance.events);
            let Some(planner) = &mut instance.planner else { continue };
            reply.push_str(&format!("BY {number}\n"));
            match catch_unwind(AssertUnwindSafe(|| planner.process_events(now, &events))) {
                Ok(orders) => orders.iter().for_each(|order| wire::write(&mut reply, order, &instance.names)),
                Err(panic) => reply.push_str(&format!("BUG {}\n", panic_message(&*panic))),
            }
        }
        reply.push_str("ACK\n");
        output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush())
            .map_err(|err| LineError::at_line(line_number, format!("cannot write the reply: {err}")))?;
    }
    Ok(())
}

/// Reads the rest of a batch, up to its GO, and queues each event for its instance.
fn read_batch(
    now: Ms,
    lines: &mut impl Iterator<Item = Result<(usize, String), LineError>>,
    instances: &mut BTreeMap<u32, Instance>,
) -> Result<(), LineError> {
    let mut current_instance: Option<u32> = None;
    let mut last_line_number = 0;
    while let Some(next) = lines.next() {
        let (line_number, text) = next?;
        last_line_number = line_number;
        let mut line = Line::new(line_number, &text);
        let name = line.word("message")?;
        match name {
            "GO" => return line.finish(),
            "AT" => {
                current_instance = Some(line.integer("manager")?);
                line.finish()?;
                continue;
            }
            _ => {}
        }
        let instance_number = current_instance.ok_or_else(|| line.error("message precedes the first AT"))?;
        if name == "BORN" {
            let seed = line.integer("init-seed")?;
            let info = serde_json::from_str(line.rest("info")?);
            let info = info.map_err(|err| line.error(format!("info is not valid JSON: {err}")))?;
            let (settings, names) =
                juniperrail_start::decode(&info).map_err(|message| line.error(message))?;
            let planner = Planner::new(now, seed, settings);
            instances.insert(
                instance_number,
                Instance { names, planner: Some(planner), events: Vec::new(), has_events: true },
            );
            continue;
        }
        let instance = instances
            .get_mut(&instance_number)
            .ok_or_else(|| line.error(format!("no BORN message for instance {instance_number}")))?;
        if name == "DETACH" {
            line.finish()?;
            instance.planner = None;
            instance.events.clear();
            continue;
        }
        let event = wire::read(name, line, &mut instance.names, lines)?;
        instance.has_events = true;
        instance.events.push(event);
    }
    Err(LineError::at_line(last_line_number + 1, "input ends within a batch".into()))
}

/// The text of a panic, on one line.
fn panic_message(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|text| text.to_string());
    let text = text.or_else(|| panic.downcast_ref::<String>().cloned());
    text.unwrap_or_else(|| "the planner panicked".into()).replace('\n', " ")
}

#[cfg(test)]
mod tests {
    use super::serve;

    fn replies(input: &str) -> Result<String, String> {
        let mut output = Vec::new();
        serve(input.as_bytes(), &mut output).map_err(|error| error.to_string())?;
        Ok(String::from_utf8(output).unwrap())
    }

    #[test]
    fn a_killed_instance_does_not_reply_and_errors_name_the_line() {
        let born = "TURN 1\nAT 0\nBORN 5 {\"new\":1}\nTOPOLOGY cached 0 1\nM 0 IN w - k z 1\nGO\n";
        assert_eq!(replies(born).unwrap(), "BY 0\nWAKE_ME 20 beat\nACK\n");
        let killed = format!("{born}TURN 2\nAT 0\nDETACH\nGO\nTURN 3\nAT 0\nSTREAM_DOWN 1\nGO\n");
        assert!(replies(&killed).unwrap().ends_with("beat\nACK\nACK\nACK\n"));
        let unknown = replies("TURN 1\nAT 3\nSTREAM_DOWN 1\nGO\n").unwrap_err();
        assert!(
            unknown.contains("line 3") && unknown.contains("no BORN message for instance 3"),
            "{unknown}"
        );
        assert!(replies("TURN 1\nAT 0\n").unwrap_err().contains("input ends within a batch"));
    }
}
