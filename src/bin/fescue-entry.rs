//! The entry process of an instance.

use fescueshore::exit_codes::Exit;
use fescueshore::gateway::cli;

fn main() -> Exit {
    cli::run_entry()
}
