//! Balancing decisions for long-lived connections, as a library without I/O and without a clock.
//!
//! Each balancer counts its own open connections and gives a new one to the server that holds
//! the fewest per weight among `d` uniform draws, with `d` from Wieder, "Balanced Allocations
//! with Heterogenous Bins" (2007). Around that rule it tracks the server list and server health and handles
//! retries, slow start and overload.
//!
//! The node owns the sockets and timers. It passes in [`Event`]s and carries out the returned [`Action`]s:
//!
//! ```
//! use marllink::{
//!     Action, Balancer, CellId, Class, Event, ListKind, NewRequest, RequestId, ServerEntry,
//!     ServerId, ServerState, Settings, ZoneId,
//! };
//!
//! let settings = Settings { nodes: 1, classes: vec![Class::default()], ..Settings::default() };
//! let mut balancer = Balancer::new(settings, 7, 0.0);
//! let mut actions = Vec::new();
//!
//! let server = |id| ServerEntry {
//!     server: ServerId(id),
//!     zone: ZoneId(0),
//!     cell: CellId(0),
//!     state: ServerState::Ready,
//!     weight: 1.0,
//!     started_at: 0.0,
//! };
//! let list = Event::ServerList { kind: ListKind::Full, entries: vec![server(1), server(2)] };
//! balancer.handle(0.0, list, &mut actions);
//! // The node carries out the actions: here it sets a timer that later triggers `Event::Timer`.
//! assert!(matches!(actions[..], [Action::SetTimer { .. }]));
//! actions.clear();
//!
//! let request = NewRequest {
//!     request: RequestId(1),
//!     time_left_ms: 1000.0,
//!     ..NewRequest::default()
//! };
//! balancer.handle(5.0, Event::Request(request), &mut actions);
//! assert!(matches!(actions[0], Action::Send { request: RequestId(1), .. }));
//! ```

mod decide;
mod draws;
mod interface;
mod variant;

pub use decide::Balancer;
pub use draws::draw_count;
pub use interface::*;
pub use variant::{InjectedBug, Variant};
