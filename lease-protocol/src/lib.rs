//! The protocol between balancers and lease replicas.
//!
//! Lease replicas are servers that store session records and grant session leases. A connection to a server's port
//! that begins with a [`hello_line`] is a link: the server replies with a [`welcome_line`], and from then on both sides
//! send frames, [`Call`]s from the balancer and [`Reply`]s from the server, in order and without waiting for one
//! another. A frame is a protobuf message preceded by its length as a varint. `docs/keeper.proto` defines the same
//! messages for other languages, and `docs/protocol-resume.md` describes the meaning of each call.
//!
//! This crate contains only the syntax. It does no I/O, and does not implement a replica's replies.

mod frame;
mod messages;

pub use frame::{
    FrameReader, MAX_FRAME_BYTES, MalformedFrame, hello_line, parse_hello, parse_welcome, welcome_line,
    write_frame,
};
pub use messages::*;
