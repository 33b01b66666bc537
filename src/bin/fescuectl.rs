//! The operators' command line tool.

use fescueshore::ctl;
use fescueshore::exit_codes::Exit;

fn main() -> Exit {
    actix_rt::System::new().block_on(ctl::run(std::env::args_os()))
}
