//! Runs balancers for a simulator: reads batches of events from standard input and writes one reply per
//! batch to standard output. Contains no balancing decisions.

mod wire;

use marllink::{Action, Balancer};
use std::io::{self, Read, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use wire::{Malformed, Reader, Record};

/// Maximum frame length. No batch comes near this; a greater value means a corrupt length field.
const MAX_FRAME_BYTES: usize = 1 << 30;
/// Minimum frame length: a batch contains at least its clock.
const MIN_FRAME_BYTES: usize = 8;

/// The attached balancers, indexed by instance number.
#[derive(Default)]
struct Instances {
    balancers: Vec<Option<Balancer>>,
    actions: Vec<Action>,
}

impl Instances {
    /// Handles one frame, including its length field, and writes the reply to `reply`.
    fn handle_frame(&mut self, frame: &[u8], reply: &mut Vec<u8>) -> Result<(), Malformed> {
        let mut reader = Reader::new(frame, 4);
        let now = reader.f64("the clock")?;
        reply.clear();
        reply.extend_from_slice(&[0; 8]);
        let mut record_count = 0u32;
        while !reader.done() {
            let record_start = reader.error("");
            let (instance, record) = reader.record()?;
            let index = usize::from(instance);
            if self.balancers.len() <= index {
                self.balancers.resize_with(index + 1, || None);
            }
            let event = match record {
                Record::Ignored => continue,
                Record::Detach => {
                    self.balancers[index] = None;
                    continue;
                }
                Record::Attach(seed, text) => {
                    let settings = marllink_settings::parse(text).map_err(|e| Malformed {
                        message: format!("settings of instance {instance}: {e}"),
                        ..record_start
                    })?;
                    self.balancers[index] = Some(Balancer::new(settings.balancing, seed, now));
                    continue;
                }
                Record::Event(event) => event,
            };
            let Some(balancer) = &mut self.balancers[index] else {
                let message = format!("instance {instance} is not attached");
                return Err(Malformed { message, ..record_start });
            };
            self.actions.clear();
            let actions = &mut self.actions;
            match catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, actions))) {
                Ok(()) => {
                    for action in &self.actions {
                        wire::put_action(reply, instance, action);
                    }
                    record_count += self.actions.len() as u32;
                }
                Err(panic) => {
                    let text = panic.downcast_ref::<String>().map(String::as_str);
                    let text = text.or_else(|| panic.downcast_ref::<&str>().copied());
                    wire::put_panic(reply, instance, text.unwrap_or("panic"));
                    record_count += 1;
                }
            }
        }
        let length = (reply.len() - 4) as u32;
        reply[..4].copy_from_slice(&length.to_le_bytes());
        reply[4..8].copy_from_slice(&record_count.to_le_bytes());
        Ok(())
    }
}

/// Reads a frame with its length field. Returns false at the end of input.
fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, String> {
    frame.clear();
    let read = input.by_ref().take(4).read_to_end(frame).map_err(|e| e.to_string())?;
    if read == 0 {
        return Ok(false);
    }
    if read < 4 {
        return Err(format!("byte {read} of the frame: input ends within the length field"));
    }
    let length = u32::from_le_bytes([frame[0], frame[1], frame[2], frame[3]]) as usize;
    if !(MIN_FRAME_BYTES..=MAX_FRAME_BYTES).contains(&length) {
        return Err(format!("byte 0 of the frame: invalid frame length {length}"));
    }
    let read = input.by_ref().take(length as u64).read_to_end(frame).map_err(|e| e.to_string())?;
    if read < length {
        return Err(format!("byte {} of the frame: input ends, expected {length} bytes", read + 4));
    }
    Ok(true)
}

fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut instances = Instances::default();
    let (mut frame, mut reply) = (Vec::new(), Vec::new());
    let mut offset = 0u64;
    loop {
        let locate = |e: &dyn std::fmt::Display| format!("frame at input byte {offset}, {e}");
        if !read_frame(input, &mut frame).map_err(|e| locate(&e))? {
            return Ok(());
        }
        instances.handle_frame(&frame, &mut reply).map_err(|e| locate(&e))?;
        output.write_all(&reply).and_then(|()| output.flush()).map_err(|e| e.to_string())?;
        offset += frame.len() as u64;
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
