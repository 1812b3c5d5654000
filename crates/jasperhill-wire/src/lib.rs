//! Wire formats of jasperhill: what users, workers, the cloud, the state service and the
//! controllers say to one another. No I/O. The protocol's odd field names stop here.

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
