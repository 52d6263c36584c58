//! What balancers and the keepers of sessions say to each other.
//!
//! A connection to a form host's port that begins with the line of [`hello_line`] is a link: the form host
//! answers with the line of [`welcome_line`], and from then on frames go both ways, [`Call`]s from the
//! balancer and [`Reply`]s from the form host, in order and without waiting for one another. A frame is
//! a protobuf message after its length as a varint. `docs/keeper.proto` has the same for other
//! languages, `docs/protocol-resume.md` what each call means.
//!
//! This package is syntax: it knows neither sockets nor what a keeper answers.

mod frame;
mod messages;

pub use frame::{
    FrameReader, MAX_FRAME_BYTES, MalformedFrame, hello_line, parse_hello, parse_welcome, welcome_line,
    write_frame,
};
pub use messages::*;
