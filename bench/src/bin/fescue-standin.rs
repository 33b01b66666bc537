//! Small fakes of the systems outside.

use std::process::ExitCode;

use clap::Parser;
use fescue_bench::standin::{self, StandinArgs};

fn main() -> ExitCode {
    env_logger::init();
    let args = StandinArgs::parse();
    match actix_rt::System::new().block_on(standin::run(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fescue-standin: {error}");
            ExitCode::FAILURE
        }
    }
}
