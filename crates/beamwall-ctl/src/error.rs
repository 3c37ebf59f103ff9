//! Why a command failed.

use beamwall_config::Faults;
use beamwall_http::ClientError;
use quick_error::quick_error;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum CommandError {
        /// The command line is not complete.
        Usage(reason: String) {
            display("{}", reason)
        }
        /// A file could not be read or written.
        File(path: String, cause: std::io::Error) {
            display("{}: {}", path, cause)
            source(cause)
        }
        /// A file is not in the expected format.
        Format(path: String, reason: String) {
            display("{}: {}", path, reason)
        }
        /// Settings are not valid.
        Invalid(faults: Faults) {
            from()
            display("{}", faults)
        }
        /// The node could not be reached.
        Node(cause: ClientError) {
            from()
            display("node: {}", cause)
            source(cause)
        }
        /// The node refused.
        Refused(status: u16, body: String) {
            display("refused with status {}: {}", status, body)
        }
        /// An experiment did not go as it must.
        Experiment(reason: String) {
            display("experiment failed: {}", reason)
        }
    }
}
