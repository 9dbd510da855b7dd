//! The stand-ins and the cases of the second review; `review/build-2.sh` builds them.

mod exposure;
mod foreign;
mod memory;
mod slow_list;
mod world;

use std::path::PathBuf;
use std::process::exit;

/// `stand-ins-2 CASE ROOT FOLDER`; the variable TROUBLE=0 leaves the disruption out.
fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = &arguments[..] else {
        eprintln!("usage: stand-ins-2 CASE ROOT FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let result = match case.as_str() {
        "exposure" => exposure::run(&root, &folder, trouble),
        "foreign" => foreign::run(&root, &folder, trouble),
        "memory" => memory::run(&root, &folder, trouble),
        "slow-list" => slow_list::run(&root, &folder, trouble),
        other => Err(format!("no case {other}")),
    };
    match result {
        Ok(true) => {
            println!("held");
            exit(0);
        }
        Ok(false) => {
            println!("broken");
            exit(1);
        }
        Err(reason) => {
            println!("could not run: {reason}");
            exit(2);
        }
    }
}
