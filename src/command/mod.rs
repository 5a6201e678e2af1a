//! The command line, one subcommand a file.
