//! The program: all of it is in the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    marllink_node::main()
}
