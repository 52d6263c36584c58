//! The `marllink` program; the implementation is in the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    marllink_node::main()
}
