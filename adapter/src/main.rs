//! Hosts balancers for a simulator: batches of events come in on standard input, one reply for
//! each goes out on standard output. No decision is made here.

mod wire;

use marllink::{Action, Balancer};
use std::io::{self, Read, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use wire::{Malformed, Reader, Record};

/// No batch comes near this; a longer one is a broken length field.
const LONGEST_FRAME: usize = 1 << 30;
/// A batch holds at least its clock.
const SHORTEST_FRAME: usize = 8;

/// The balancers by instance number.
#[derive(Default)]
struct Instances {
    balancers: Vec<Option<Balancer>>,
    actions: Vec<Action>,
}

impl Instances {
    /// Answers one frame, its length field included, into `reply`.
    fn answer(&mut self, frame: &[u8], reply: &mut Vec<u8>) -> Result<(), Malformed> {
        let mut reader = Reader::new(frame, 4);
        let now = reader.f64("the clock")?;
        reply.clear();
        reply.extend_from_slice(&[0; 8]);
        let mut records = 0u32;
        while !reader.done() {
            let start = reader.error("");
            let (instance, record) = reader.record()?;
            let at = usize::from(instance);
            if self.balancers.len() <= at {
                self.balancers.resize_with(at + 1, || None);
            }
            let event = match record {
                Record::Nothing => continue,
                Record::Detach => {
                    self.balancers[at] = None;
                    continue;
                }
                Record::Attach(seed, text) => {
                    let settings = marllink_settings::parse(text).map_err(|e| Malformed {
                        what: format!("settings of instance {instance}: {e}"),
                        ..start
                    })?;
                    self.balancers[at] = Some(Balancer::new(settings.balancing, seed, now));
                    continue;
                }
                Record::Event(event) => event,
            };
            let Some(balancer) = &mut self.balancers[at] else {
                let what = format!("instance {instance} is not attached");
                return Err(Malformed { what, ..start });
            };
            self.actions.clear();
            let actions = &mut self.actions;
            match catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, actions))) {
                Ok(()) => {
                    for action in &self.actions {
                        wire::put_action(reply, instance, action);
                    }
                    records += self.actions.len() as u32;
                }
                Err(panic) => {
                    let text = panic.downcast_ref::<String>().map(String::as_str);
                    let text = text.or_else(|| panic.downcast_ref::<&str>().copied());
                    wire::put_crash(reply, instance, text.unwrap_or("panic"));
                    records += 1;
                }
            }
        }
        let length = (reply.len() - 4) as u32;
        reply[..4].copy_from_slice(&length.to_le_bytes());
        reply[4..8].copy_from_slice(&records.to_le_bytes());
        Ok(())
    }
}

/// Reads a frame with its length field; false at the end of input.
fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, String> {
    frame.clear();
    let got = input.by_ref().take(4).read_to_end(frame).map_err(|e| e.to_string())?;
    if got == 0 {
        return Ok(false);
    }
    if got < 4 {
        return Err(format!("byte {got} of the frame: input ends within the length"));
    }
    let length = u32::from_le_bytes([frame[0], frame[1], frame[2], frame[3]]) as usize;
    if !(SHORTEST_FRAME..=LONGEST_FRAME).contains(&length) {
        return Err(format!("byte 0 of the frame: {length} is no length for a frame"));
    }
    let got = input.by_ref().take(length as u64).read_to_end(frame).map_err(|e| e.to_string())?;
    if got < length {
        return Err(format!("byte {} of the frame: input ends, {length} were told", got + 4));
    }
    Ok(true)
}

fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut instances = Instances::default();
    let (mut frame, mut reply) = (Vec::new(), Vec::new());
    let mut read = 0u64;
    loop {
        let place = |e: &dyn std::fmt::Display| format!("frame at input byte {read}, {e}");
        if !read_frame(input, &mut frame).map_err(|e| place(&e))? {
            return Ok(());
        }
        instances.answer(&frame, &mut reply).map_err(|e| place(&e))?;
        output.write_all(&reply).and_then(|()| output.flush()).map_err(|e| e.to_string())?;
        read += frame.len() as u64;
    }
}

fn main() -> ExitCode {
    let input = io::stdin().lock();
    let mut input = io::BufReader::with_capacity(1 << 16, input);
    match serve(&mut input, &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("marllink-wirehost: {message}");
            ExitCode::FAILURE
        }
    }
}
