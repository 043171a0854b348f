//! Tests over the real binaries, a file for each topic. See `CONTRIBUTING.md` for how to run one of them.

mod at_most_once;
mod authority;
mod bad_input;
mod catalogue;
mod client_crowds;
mod command_line;
mod endless_answers;
mod endpoint_rests;
mod orders;
mod planned_changes;
mod poison;
mod support;
mod thin_path;
mod traces;
mod whole_answers;
