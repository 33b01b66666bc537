//! Load and experiment tool.

use std::process::ExitCode;

use clap::Parser;
use fescue_bench::cli::{self, LoadArgs};

fn main() -> ExitCode {
    env_logger::init();
    let args = LoadArgs::parse();
    actix_rt::System::new().block_on(cli::run(args))
}
