//! Wire formats of jasperhill: the messages exchanged with users, workers, the cloud and the state
//! service, and between controllers.
//!
//! The crate parses and encodes messages and does no I/O. The field names that the protocols
//! prescribe appear only here, in serde attributes, string literals and parsers; the rest of the
//! code uses the scheduler's own terms.

pub mod cloud;
mod fields;
pub mod ids;
pub mod mesh;
pub mod record;
pub mod store;
pub mod units;
pub mod user;
pub mod worker;

pub use fields::Malformed;
pub use ids::{Attempt, FencingToken, HostId, JobId, Member, Name, Revision, TaskId};
pub use units::{Micros, Resources};
